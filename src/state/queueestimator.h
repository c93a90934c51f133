#ifndef CROCUSPORT_QUEUEESTIMATOR_H
#define CROCUSPORT_QUEUEESTIMATOR_H

#include "crocusport/state/poolscheduler.h"
#include "requestrecord.h"

#include <array>
#include <cstdint>
#include <vector>

namespace crocusport {

//! Slots of a pool and how the policy divides them.
struct PoolCapacity
{
    std::uint32_t slots = 0;
    std::uint32_t longSlots = 0;            //!< Slots that long requests may use.
    std::uint32_t dueSlots = 1;             //!< Slots that due requests of tiers 2 to 4 get first.
    std::uint32_t reservedSlots = 0;        //!< Slots that tiers 2 to 4 leave free for tier 1.
    std::uint32_t slotsNotUsedByUrgent = 0; //!< Slots that would be free if only tier 1 ran.
    //! Those of slotsNotUsedByUrgent that a long request could use.
    std::uint32_t longSlotsNotUsedByUrgent = 0;
};

/*!
    Estimates how long a waiting request has to wait for a slot, from the expected service times of
    the waiting and running requests of the pool. Short and long requests are estimated as separate
    queues, because long ones cannot use all slots.

    The estimate for a tier-1 request counts only waiting and running requests of tier 1, so that
    requests of lower tiers cannot cause its refusal (docs/design.md section 4.1, rule 1).

    Thread safety: none; use from one thread.
*/
class QueueEstimator
{
public:
    //! Counts \a record as running if its running flag is set, otherwise as waiting.
    void add(const RequestRecord &record);
    //! Stops counting \a record. Precondition: \a record was added with the same running flag,
    //! team, tier, length and expected service time.
    void remove(const RequestRecord &record);

    //! Returns the expected service time of all waiting requests of \a record's team, tier and
    //! length. Precondition: \a record was added.
    Duration waitingWorkOfTeam(const RequestRecord &record) const;
    /*!
        Returns the estimate for \a record if the waiting requests of its team that start before it
        have \a aheadInTeam of expected service time. Precondition: \a record is added as waiting.
    */
    QueueEstimate estimate(const RequestRecord &record, Duration aheadInTeam,
                           const PoolCapacity &capacity, Instant now) const;
    //! Returns the mean time between two starts of requests of \a record's tier and length.
    Duration slotInterval(const RequestRecord &record, const PoolCapacity &capacity) const;

private:
    struct Load
    {
        Duration waiting {};     //!< Expected service time of the waiting requests.
        Duration running {};     //!< Expected service time of the running requests.
        std::uint32_t count = 0; //!< Waiting and running requests.
        std::uint32_t runningCount = 0;

        Duration work() const { return waiting + running; }
        //! Returns this load with only \a share of the running requests.
        Load withRunning(double share) const;
    };
    struct LengthLoad
    {
        Load total;
        std::vector<Load> teams;
        std::uint32_t activeTeams = 0;
    };
    using TierLoad = std::array<LengthLoad, 2>;

    const LengthLoad &loadOf(const RequestRecord &record) const;
    std::uint32_t countOf(std::size_t tier) const;
    //! Returns the share of the running requests of \a record's tier and length that occupy slots
    //! which waiting requests could get. Always 1 for tiers 2 to 4.
    double shareOccupyingSlots(const RequestRecord &record, const PoolCapacity &capacity) const;
    double slotsOfTier(const RequestRecord &record, double available) const;
    double slotsFor(const RequestRecord &record, const PoolCapacity &capacity) const;
    double lowerTierSlots(const PoolCapacity &capacity) const;
    static double slotsForLength(double available, double usableByLong, std::uint32_t longCount,
                                 RequestLength length);

    std::array<TierLoad, kTierCount> tiers_;
};

} // namespace crocusport

#endif // CROCUSPORT_QUEUEESTIMATOR_H
