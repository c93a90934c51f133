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
    std::uint32_t longSlots = 0;      //!< Open to long requests.
    std::uint32_t floor = 1;          //!< For due requests of tiers 2 to 4.
    std::uint32_t reserve = 0;        //!< Left free by tiers 2 to 4.
    std::uint32_t urgentRoom = 0;     //!< Would be free if only tier 1 ran.
    std::uint32_t urgentLongRoom = 0; //!< Of these, open to long requests.
};

/*!
    Estimates how long a request waits, from the expected service time of the requests in the
    system. Short and long requests are estimated as separate queues, because long ones cannot use
    all slots.

    The estimate for tier 1 depends only on tier-1 requests, waiting and running alike, so that
    requests of lower tiers cannot cause a refusal (docs/design.md section 4.1, rule 1).

    Thread safety: none; use from one thread.
*/
class QueueEstimator
{
public:
    //! Counts \a record as waiting or running, according to its state.
    void add(const RequestRecord &record);
    //! Precondition: added in the same state.
    void remove(const RequestRecord &record);

    //! Returns the work of the waiting requests of \a record's team, tier and length.
    Duration waitingOfTeam(const RequestRecord &record) const;
    /*!
        Returns the estimate for \a record when requests of its team with \a aheadInTeam of work
        start before it. Precondition: \a record is added as waiting.
    */
    QueueEstimate estimate(const RequestRecord &record, Duration aheadInTeam,
                           const PoolCapacity &capacity, Instant now) const;
    //! Returns the mean time between two starts in \a record's queue.
    Duration slotInterval(const RequestRecord &record, const PoolCapacity &capacity) const;

private:
    struct Load
    {
        Duration waiting {};
        Duration running {};
        std::uint32_t count = 0;
        std::uint32_t runningCount = 0;

        Duration total() const { return waiting + running; }
        //! Returns this load with only \a share of what runs.
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
    double effectiveShare(const RequestRecord &record, const PoolCapacity &capacity) const;
    double shareOfLowerTier(const RequestRecord &record, double available) const;
    double slotsFor(const RequestRecord &record, const PoolCapacity &capacity) const;
    double lowerTierSlots(const PoolCapacity &capacity) const;
    static double divide(double available, double openToLong, std::uint32_t longCount,
                         RequestLength length);

    std::array<TierLoad, kTierCount> tiers_;
};

} // namespace crocusport

#endif // CROCUSPORT_QUEUEESTIMATOR_H
