#ifndef CROCUSPORT_SERVERPLAN_H
#define CROCUSPORT_SERVERPLAN_H

#include "demandforecast.h"
#include "serverkind.h"
#include "slidingextreme.h"
#include "zonespread.h"

#include "crocusport/gateway/routingtable.h"

#include <optional>
#include <vector>

namespace crocusport {

//! What the next holder needs of a plan.
struct SavedPlan
{
    std::uint32_t baseline = 0; //!< See ServerPlan::baseline().
    std::uint32_t need = 0;
    std::uint32_t total = 0;
    ServerCounts wanted;

    bool operator==(const SavedPlan &) const = default;
};

/*!
    Decides how many servers of each kind a pool shall have in each zone.

    Load pattern: many regular servers run through a quiet day, demand bursts without warning, and
    the platform takes all spot servers of a zone at once.

    - Spot servers carry the whole need, also after those of any one zone are lost.
    - Regular servers are added only when spot servers cannot be had for the need.
    - Numbers rise at once. They fall after kHoldTime, in steps of a quarter of the pool, and only
      as far as the remaining servers that have been live for kSettleTime carry the plan.
    - Until the need is known, the total number of servers that was found is kept.

    Memory: a few hundred bytes for each zone. Thread safety: none; use from one thread.
*/
class ServerPlan
{
public:
    /*!
        Continues the plan of an earlier holder. It is ignored at the first update() if there are
        clearly more regular servers than it ordered: it is then older than these servers.
        Precondition: update() has not been called.
    */
    void restore(SavedPlan plan);
    SavedPlan save() const;

    //! Computes wanted(). Without \a need the last one is kept. Preconditions: scaling.max > 0;
    //! \a now never falls.
    void update(const std::optional<ServerNeed> &need, const PoolScaling &scaling,
                const PresentServers &present, Instant now);

    //! Numbers to order, as of the last update().
    const ServerCounts &wanted() const { return wanted_; }
    //! Like wanted(), but with the live servers where nothing has been ordered yet: how many these
    //! are is known from their entries only, and crashed ones return without an order.
    ServerCounts orders() const;
    //! Servers that must remain after the loss of a zone's spot servers.
    std::uint32_t need() const { return need_; }
    //! Servers of both kinds that are kept: the need and headroom for bursts.
    std::uint32_t total() const { return total_; }
    //! Servers at the start of the plan. The headroom for bursts is not larger.
    std::uint32_t baseline() const { return baseline_; }

    static constexpr Duration kHoldTime = std::chrono::seconds(15);
    static constexpr Duration kSettleTime = std::chrono::seconds(1);
    //! Time between two steps of removal, in which the requests of the removed servers move.
    static constexpr Duration kStepTime = std::chrono::seconds(1);
    //! Share of the planned total that one step removes at most.
    static constexpr double kStepShare = 0.25;

private:
    struct KindState
    {
        //! Most live servers within the hold time before the first order. Crashed servers return
        //! within it, and the directory may still be filling.
        SlidingMaximum initial { kHoldTime };
        bool isOrdered = false;
        SlidingMinimum live { kSettleTime };
        SlidingMaximum target { kHoldTime };
    };
    struct ZoneState
    {
        double cost = 1;
        ZoneServers present;
        PerKind<KindState> kinds;
    };
    using Shares = std::map<AvailabilityZone, std::uint32_t>;

    void adoptZones(const PoolScaling &scaling, const PresentServers &present, Instant now);
    void adoptSaved(const PresentServers &present);
    void updateNeed(const std::optional<ServerNeed> &need, const PoolScaling &scaling, Instant now);
    void planSpot(const PoolScaling &scaling, Instant now);
    void planRegularOnly(const PoolScaling &scaling, Instant now);
    std::uint32_t missingSpot(const std::vector<ZoneOption> &options) const;
    //! Returns the regular servers of each zone if there are \a count in all.
    Shares regularShares(std::uint32_t count, const PoolScaling &scaling, const Shares &spot) const;
    void setTargets(ServerKind kind, const Shares &shares, Instant now);
    void increase(const PoolScaling &scaling);
    void decrease(const PoolScaling &scaling, Instant now);
    void limitZones(std::uint32_t max);
    void keepLive(std::uint32_t count, std::uint32_t max);
    void decreaseKind(ServerKind kind, std::uint32_t min, std::uint32_t &allowance);
    std::uint32_t settled(const AvailabilityZone &zone, ServerKind kind) const;
    std::uint32_t settledOf(ServerKind kind) const;
    bool isStuck() const;
    std::vector<AvailabilityZone> byCost() const; //!< Cheapest first.
    std::vector<ZoneOption> spotOptions(const PoolScaling &scaling) const;

    std::optional<SavedPlan> saved_;
    std::map<AvailabilityZone, ZoneState> zones_;
    ServerCounts wanted_;
    SlidingMaximum needs_ { kHoldTime };
    SlidingMaximum totals_ { kHoldTime };
    SlidingMaximum missing_ { kHoldTime }; //!< Regular servers in place of missing spot servers.
    std::uint32_t baseline_ = 0;
    std::uint32_t need_ = 0;
    std::uint32_t total_ = 0;
    std::uint32_t goal_ = 0; //!< Servers of both kinds, with those that may be lost.
    bool isNeedKnown_ = false;
    bool isRoomShort_ = false; //!< New servers have no room before regular ones leave.
    std::optional<Instant> steppedAt_;
};

} // namespace crocusport

#endif // CROCUSPORT_SERVERPLAN_H
