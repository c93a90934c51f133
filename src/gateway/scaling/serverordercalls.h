#ifndef CROCUSPORT_SERVERORDERCALLS_H
#define CROCUSPORT_SERVERORDERCALLS_H

#include "gatewayduties.h"
#include "serverordering.h"

#include <optional>
#include <string>

namespace crocusport {

/*!
    Sends the orders of ServerOrdering to the platform while this router holds the duties, and keeps
    the plan in the store for the next holder.

    Thread safety: loop thread only. The parts must outlive the object.
*/
class ServerOrderCalls
{
public:
    struct Parts
    {
        GatewayDuties &duties;
        const ServerDirectory &servers;
        const StoreMirror &mirror;
        LogWriter &log;
    };

    explicit ServerOrderCalls(Parts parts);

    ServerOrderCalls(const ServerOrderCalls &) = delete;
    ServerOrderCalls &operator=(const ServerOrderCalls &) = delete;

    //! Updates the plan by \a table, and sends the order that is due. Must be called every 100 ms.
    void tick(const RoutingTable &table, Instant now);
    //! Sets the gauges of the orders.
    void describe(RequestMetrics &metrics) const;

private:
    void noteDemand(const RouterName &router, const PoolName &pool, PoolDemand demand);
    void send(const ServerOrder &order, Instant now);
    OrderOutcome outcomeOf(DutyOutcome outcome) const;
    void savePlan(Instant now);
    void logPlan() const;

    Parts parts_;
    ServerOrdering ordering_;
    std::map<PoolName, std::uint32_t> tokensPerEvent_;
    std::string savedPlan_;
    Instant saveAt_ {};
    bool isHolder_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_SERVERORDERCALLS_H
