#include "serverordering.h"

#include "jsondocument.h"

#include <algorithm>

namespace crocusport {

namespace {

// Pause of all orders after the platform has had too many calls; its rate is counted per second.
constexpr Duration kRateLimitPause = std::chrono::milliseconds(500);

struct PlanRow
{
    std::uint32_t baseline = 0;
    std::uint32_t need = 0;
    std::uint32_t total = 0;
    std::map<AvailabilityZone, std::vector<std::uint32_t>> zones; //!< Regular and spot servers.
};

struct PlanDocument
{
    std::map<PoolName, PlanRow> pools;
};

void describe(auto &fields, Is<PlanRow> auto &row)
{
    fields.required("baseline", row.baseline);
    fields.required("need", row.need);
    fields.required("total", row.total);
    fields.required("zones", row.zones);
}

void describe(auto &fields, Is<PlanDocument> auto &document)
{
    fields.required("pools", document.pools);
}

SavedPlan savedPlan(const PlanRow &row)
{
    SavedPlan plan { row.baseline, row.need, row.total, {} };
    for (const auto &[zone, counts] : row.zones) {
        if (counts.size() == kServerKinds.size())
            plan.wanted[zone].values = { counts[0], counts[1] };
    }
    return plan;
}

PlanRow rowOf(const SavedPlan &plan)
{
    PlanRow row { plan.baseline, plan.need, plan.total, {} };
    for (const auto &[zone, counts] : plan.wanted)
        row.zones[zone].assign(counts.values.begin(), counts.values.end());
    return row;
}

double meanSlots(const PoolEntry &entry, const std::vector<ServerDirectory::ServerPointer> &servers)
{
    double slots = 0;
    double count = 0;
    for (const auto &server : servers) {
        if (!server->isUsable())
            continue;
        slots += server->entry.slots;
        ++count;
    }
    if (count > 0)
        return slots / count;
    return entry.engine ? entry.engine->slots : 1;
}

bool isLeaving(const KnownServer &server)
{
    return !server.isGone && !server.isSuperseded
        && (server.isLeaving || server.entry.state == BackendServerState::Leaving);
}

} // namespace

bool ServerOrdering::restore(std::string_view planText)
{
    return handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(document, parseJsonDocument<PlanDocument>(planText, "plan of servers"));
            for (const auto &[pool, row] : document.pools)
                saved_[pool] = savedPlan(row);
            return true;
        },
        [](const Error &) { return false; });
}

std::string ServerOrdering::planText() const
{
    if (pools_.empty())
        return {};
    PlanDocument document;
    for (const auto &[name, pool] : pools_)
        document.pools[name] = rowOf(pool.plan.save());
    return writeJsonDocument(document);
}

void ServerOrdering::reset()
{
    pools_.clear();
    saved_.clear();
    nextOrderAt_ = {};
    isFenced_ = false;
}

void ServerOrdering::noteDemand(const RouterName &router, const PoolName &pool,
                                const PoolDemand &demand, Instant now)
{
    const auto found = pools_.find(pool);
    if (found != pools_.end())
        found->second.forecast.note(router, demand, now);
}

void ServerOrdering::update(const RoutingTable &table, const ServerDirectory &directory,
                            Instant now)
{
    std::erase_if(pools_, [&table](const auto &item) {
        const auto *entry = table.findPool(item.first);
        return !entry || !entry->scaling || entry->scaling->max == 0;
    });
    for (const auto &entry : table.configuration().pools) {
        if (entry.scaling && entry.scaling->max > 0)
            updatePool(entry, directory, now);
    }
}

ServerOrdering::Pool &ServerOrdering::poolNamed(const PoolName &name)
{
    const auto [found, isNew] = pools_.try_emplace(name, name);
    const auto saved = saved_.find(name);
    if (isNew && saved != saved_.end()) {
        found->second.plan.restore(std::move(saved->second));
        saved_.erase(saved);
    }
    return found->second;
}

void ServerOrdering::notePresent(Pool &pool,
                                 const std::vector<ServerDirectory::ServerPointer> &servers,
                                 Instant now)
{
    pool.present.clear();
    for (const auto &server : servers) {
        const auto kind = server->entry.isSpot ? ServerKind::Spot : ServerKind::Regular;
        auto &zone = pool.present[server->entry.zone];
        if (server->isUsable())
            ++zone.live[kind];
        else if (isLeaving(*server))
            ++zone.leaving[kind];
    }
    constexpr auto kSpot = ServerKind::Spot;
    for (auto &[zone, present] : pool.present) {
        const auto wanted = pool.plan.wanted().find(zone);
        // Half of a zone's spot servers leave without an order: the platform takes them all.
        if (wanted != pool.plan.wanted().end() && wanted->second[kSpot] > present.live[kSpot]
            && present.leaving[kSpot] > 0 && present.leaving[kSpot] >= present.live[kSpot]) {
            pool.orders.noteReclaimed(zone, now);
        }
    }
    for (const auto &[zone, counts] : pool.plan.wanted())
        pool.present.try_emplace(zone);
    for (auto &[zone, present] : pool.present) {
        for (const auto kind : kServerKinds) {
            present.isRefused[kind] = pool.orders.isRefused(zone, kind, now);
            present.due[kind] = std::max(present.live[kind], pool.orders.due(zone, kind, now));
        }
    }
}

void ServerOrdering::updatePool(const PoolEntry &entry, const ServerDirectory &directory,
                                Instant now)
{
    auto &pool = poolNamed(entry.name);
    const auto &servers = directory.pool(entry.name);
    notePresent(pool, servers, now);
    if (pool.present.empty() && entry.scaling->zoneCosts.empty())
        return; // No zone is known to order servers in.
    pool.forecast.update(ServerCapacity::of(entry, meanSlots(entry, servers)), now);
    pool.plan.update(pool.forecast.need(), *entry.scaling, pool.present, now);
    pool.orders.update(pool.plan.orders(), pool.present, *entry.scaling, now);
}

std::optional<ServerOrder> ServerOrdering::next(Instant now) const
{
    if (isFenced_ || now < nextOrderAt_)
        return std::nullopt;
    // The pools take turns, as one with many orders must not delay the others.
    for (const auto &[name, pool] : pools_) {
        if (name <= lastPool_)
            continue;
        if (auto order = pool.orders.next(now))
            return order;
    }
    for (const auto &[name, pool] : pools_) {
        if (auto order = pool.orders.next(now))
            return order;
    }
    return std::nullopt;
}

void ServerOrdering::noteSent(const ServerOrder &order, Instant now)
{
    nextOrderAt_ = now + kOrderInterval;
    lastPool_ = order.pool;
    const auto found = pools_.find(order.pool);
    if (found != pools_.end())
        found->second.orders.noteSent(order, now);
}

void ServerOrdering::noteOutcome(const ServerOrder &order, OrderOutcome outcome, Instant now)
{
    ++outcomes_.at(static_cast<std::size_t>(outcome));
    if (outcome == OrderOutcome::RateLimited)
        nextOrderAt_ = now + kRateLimitPause;
    const auto found = pools_.find(order.pool);
    if (found == pools_.end())
        return;
    isFenced_ = isFenced_ || outcome == OrderOutcome::Fenced;
    found->second.orders.noteOutcome(order, outcome, now);
}

std::vector<OrderingStatus> ServerOrdering::status() const
{
    std::vector<OrderingStatus> rows;
    for (const auto &[name, pool] : pools_) {
        rows.push_back({ name, pool.forecast.rates(), pool.forecast.need(), pool.plan.need(),
                         pool.plan.total(), pool.plan.wanted(), pool.present });
    }
    return rows;
}

std::uint64_t ServerOrdering::ordersWith(OrderOutcome outcome) const
{
    return outcomes_.at(static_cast<std::size_t>(outcome));
}

} // namespace crocusport
