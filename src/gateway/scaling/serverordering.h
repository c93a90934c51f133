#ifndef CROCUSPORT_SERVERORDERING_H
#define CROCUSPORT_SERVERORDERING_H

#include "demandforecast.h"
#include "serverdirectory.h"
#include "serverorders.h"
#include "serverplan.h"

#include <array>
#include <string>

namespace crocusport {

//! State of the orders of one pool, for operators.
struct OrderingStatus
{
    PoolName pool;
    DemandRates demand;
    std::optional<ServerNeed> forecast; //!< Nothing while the demand is not known.
    std::uint32_t need = 0;             //!< See ServerPlan::need().
    std::uint32_t total = 0;            //!< See ServerPlan::total().
    ServerCounts wanted;
    PresentServers present;
};

/*!
    Orders servers for all pools that have PoolEntry::scaling. Used by the router that holds the
    duty. The parts that decide are DemandForecast, ServerPlan and ServerOrders.

    Load pattern: see these classes; beside that, many pools share the rate of calls that the
    platform accepts.

    Memory: about 100 bytes for each router and pool, and 1 KB for each pool and zone. Time of
    update(): in proportion to the routers of all pools and the servers. Thread safety: none; use
    from one thread.
*/
class ServerOrdering
{
public:
    //! Continues with planText() of an earlier holder. Unreadable texts are ignored. Call it before
    //! the first update() after the duty was obtained. Returns whether the text was readable.
    bool restore(std::string_view planText);
    //! Returns the plan for the next holder; empty before the first update(). The text changes
    //! only if the plan does.
    std::string planText() const;
    //! Forgets all plans and demand, since this router no longer holds the duty.
    void reset();

    //! Records the counters of \a router for \a pool; see DemandForecast::note(). Ignored if the
    //! last update() did not know the pool.
    void noteDemand(const RouterName &router, const PoolName &pool, const PoolDemand &demand,
                    Instant now);
    //! Computes the plans. Call it at least each 250 ms, and when many servers change.
    //! Precondition: \a now never falls.
    void update(const RoutingTable &table, const ServerDirectory &directory, Instant now);

    //! Returns the order to send now, if any; the next one at the earliest after kOrderInterval.
    //! None after an outcome Fenced, until reset().
    std::optional<ServerOrder> next(Instant now) const;
    //! Records that \a order, the result of next(), was sent.
    void noteSent(const ServerOrder &order, Instant now);
    //! Records the outcome of \a order. Call it once for each order that was sent.
    void noteOutcome(const ServerOrder &order, OrderOutcome outcome, Instant now);

    std::vector<OrderingStatus> status() const;
    //! Returns how many orders of this process have had \a outcome; not changed by reset().
    std::uint64_t ordersWith(OrderOutcome outcome) const;

    //! 20 orders per second leave more than half of the usual rate of 50 calls to other duties.
    static constexpr Duration kOrderInterval = std::chrono::milliseconds(50);

private:
    struct Pool
    {
        explicit Pool(const PoolName &name) : orders(name) { }

        DemandForecast forecast;
        ServerPlan plan;
        ServerOrders orders;
        PresentServers present;
    };

    Pool &poolNamed(const PoolName &name);
    void updatePool(const PoolEntry &entry, const ServerDirectory &directory, Instant now);
    static void notePresent(Pool &pool, const std::vector<ServerDirectory::ServerPointer> &servers,
                            Instant now);

    std::map<PoolName, Pool> pools_;
    std::map<PoolName, SavedPlan> saved_; //!< Restored plans of pools that no update() has seen.
    std::array<std::uint64_t, kOrderOutcomeCount> outcomes_ {};
    PoolName lastPool_; //!< Pool of the last order.
    Instant nextOrderAt_ {};
    bool isFenced_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_SERVERORDERING_H
