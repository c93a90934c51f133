#include "serverordercalls.h"

#include "logline.h"

#include <cmath>
#include <utility>

namespace crocusport {

namespace {

const std::string kPlanKey = "crocusport/servers-plan";
// The plan changes with each step of an adjustment; the next holder needs the last one only.
constexpr Duration kSaveInterval = std::chrono::seconds(2);

} // namespace

ServerOrderCalls::ServerOrderCalls(Parts parts) : parts_(parts)
{
    parts_.duties.setDemandHandler(
        [this](const RouterName &router, const PoolName &pool, const PoolDemand &demand) {
            noteDemand(router, pool, demand);
        });
}

void ServerOrderCalls::noteDemand(const RouterName &router, const PoolName &pool, PoolDemand demand)
{
    // Routers count the events of streams.
    const auto found = tokensPerEvent_.find(pool);
    if (found != tokensPerEvent_.end())
        demand.outputTokens *= found->second;
    ordering_.noteDemand(router, pool, demand, monotonicNow());
}

void ServerOrderCalls::tick(const RoutingTable &table, Instant now)
{
    if (!parts_.duties.mayAct()) {
        if (std::exchange(isHolder_, false))
            ordering_.reset();
        return;
    }
    if (!std::exchange(isHolder_, true)) {
        savedPlan_ = parts_.mirror.value(kPlanKey).value_or("");
        if (!savedPlan_.empty())
            ordering_.restore(savedPlan_);
    }
    for (const auto &pool : table.configuration().pools) {
        if (pool.engine)
            tokensPerEvent_[pool.name] = pool.engine->tokensPerEvent;
    }
    ordering_.update(table, parts_.servers, now);
    if (const auto order = ordering_.next(now))
        send(*order, now);
    if (now >= saveAt_)
        savePlan(now);
}

void ServerOrderCalls::send(const ServerOrder &order, Instant now)
{
    const bool isSent = parts_.duties.sendOrder(order, [this, order](DutyOutcome outcome) {
        ordering_.noteOutcome(order, outcomeOf(outcome), monotonicNow());
    });
    if (isSent)
        ordering_.noteSent(order, now);
}

// The platform refuses an order of an earlier holder with the same status as one for which it has
// no servers. The store's copy tells which router holds the duties.
OrderOutcome ServerOrderCalls::outcomeOf(DutyOutcome outcome) const
{
    switch (outcome) {
    case DutyOutcome::Accepted:
        return OrderOutcome::Accepted;
    case DutyOutcome::Refused:
        return parts_.duties.isNamedHolder() ? OrderOutcome::NoneAvailable : OrderOutcome::Fenced;
    case DutyOutcome::Limited:
        return OrderOutcome::RateLimited;
    case DutyOutcome::NoResponse:
    case DutyOutcome::Failed:
        break;
    }
    return OrderOutcome::Unanswered;
}

void ServerOrderCalls::savePlan(Instant now)
{
    const auto text = ordering_.planText();
    if (text.empty() || text == savedPlan_)
        return;
    savedPlan_ = text;
    saveAt_ = now + kSaveInterval;
    parts_.duties.store().put(kPlanKey, text);
    logPlan();
}

void ServerOrderCalls::logPlan() const
{
    for (const auto &status : ordering_.status()) {
        const auto forecast = status.forecast.value_or(ServerNeed());
        LogLine line("server_plan");
        line.add("pool", status.pool.value())
            .add("need", status.need)
            .add("total", status.total)
            .add("forecast", std::llround(forecast.current))
            .add("retained", std::llround(forecast.retained))
            .add("burst", std::llround(forecast.burst))
            .add("requests_per_s", std::llround(status.demand.requests))
            .add("prefill_tokens_per_s", std::llround(status.demand.prefillTokens))
            .add("output_tokens_per_s", std::llround(status.demand.outputTokens))
            .add("running", std::llround(status.demand.running));
        for (const auto &[zone, counts] : status.wanted) {
            const auto present = status.present.find(zone);
            for (const auto kind : kServerKinds) {
                const auto live = present == status.present.end() ? 0 : present->second.live[kind];
                line.add(zone.value() + (kind == ServerKind::Spot ? "_spot" : "_regular"),
                         std::to_string(counts[kind]) + '/' + std::to_string(live));
            }
        }
        parts_.log.write(line.text());
    }
}

void ServerOrderCalls::describe(RequestMetrics &metrics) const
{
    double need = 0;
    double planned = 0;
    double live = 0;
    double spot = 0;
    for (const auto &status : ordering_.status()) {
        need += status.need;
        for (const auto &[zone, counts] : status.wanted)
            planned += counts[ServerKind::Regular] + counts[ServerKind::Spot];
        for (const auto &[zone, servers] : status.present) {
            live += servers.live[ServerKind::Regular] + servers.live[ServerKind::Spot];
            spot += servers.live[ServerKind::Spot];
        }
    }
    metrics.setGauge("crocusport_servers_needed", "Servers that the forecast of demand needs.",
                     need);
    metrics.setGauge("crocusport_servers_planned", "Servers that the plan orders.", planned);
    metrics.setGauge("crocusport_servers_live", "Usable servers of the pools with a plan.", live);
    metrics.setGauge("crocusport_servers_spot", "Usable spot servers of the pools with a plan.",
                     spot);
    for (std::size_t i = 0; i < kOrderOutcomeCount; ++i) {
        const auto outcome = static_cast<OrderOutcome>(i);
        metrics.setGauge("crocusport_server_orders_" + std::string(orderOutcomeName(outcome)),
                         "Orders of servers by outcome.",
                         static_cast<double>(ordering_.ordersWith(outcome)));
    }
}

} // namespace crocusport
