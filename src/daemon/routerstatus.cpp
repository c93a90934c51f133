#include "routerstatus.h"

#include <nlohmann/json.hpp>

#include <array>
#include <string_view>

namespace crocusport {

namespace {

constexpr std::array<std::string_view, 4> kMemberStateNames = { "alive", "suspect", "dead",
                                                                "leaving" };

nlohmann::json membersJson(const Membership &membership)
{
    auto members = nlohmann::json::array();
    for (const auto &member : membership.members())
        members.push_back(
            { { "name", member.name.value() },
              { "address", member.address.value() },
              { "availability_zone", member.zone.value() },
              { "region", member.region.value() },
              { "state", kMemberStateNames.at(static_cast<std::size_t>(member.state)) } });
    return members;
}

nlohmann::json poolJson(const PoolStatus &pool)
{
    auto servers = nlohmann::json::array();
    for (const auto &status : pool.servers)
        servers.push_back({ { "name", status.server.name.value() },
                            { "address", status.server.address.value() },
                            { "availability_zone", status.server.zone.value() },
                            { "slots", status.server.slots },
                            { "running", status.running },
                            { "slow_factor", status.slowFactor },
                            { "excluded_because", status.excludedBecause } });
    return { { "name", pool.pool.value() },
             { "waiting_by_tier", pool.waitingByTier },
             { "backend_servers", std::move(servers) } };
}

nlohmann::json configurationJson(const RouterStatusSources &sources)
{
    const auto &current = sources.configuration.configuration();
    nlohmann::json json { { "version", sources.configuration.version().value() },
                          { "publish_id", current ? current->publishId : "" },
                          { "is_store_watcher", sources.configuration.isStoreWatcher() },
                          { "is_store_reachable", sources.manifest.isStoreReachable() } };
    if (sources.configurationAge)
        json["age_seconds"] = toSeconds(*sources.configurationAge);
    return json;
}

nlohmann::json holdersJson(const RouterStatusSources &sources)
{
    auto holders = nlohmann::json::object();
    const auto &current = sources.configuration.configuration();
    if (!current)
        return holders;
    for (const auto &[name, policy] : current->pools)
        holders[name.value()] = sources.slots.broker().holderOf(name).value();
    return holders;
}

} // namespace

std::string routerStatusJson(const RouterStatusSources &sources, const RequestMetrics &metrics)
{
    auto pools = nlohmann::json::array();
    for (const auto &pool : sources.slots.broker().status(monotonicNow()))
        pools.push_back(poolJson(pool));
    auto classes = nlohmann::json::array();
    for (const auto &attainment : metrics.attainment())
        classes.push_back({ { "name", attainment.requestClass.value() },
                            { "ended", attainment.ended },
                            { "completed", attainment.completed },
                            { "target_met", attainment.targetMet } });
    const nlohmann::json status { { "router", sources.settings.router.value() },
                                  { "availability_zone", sources.settings.zone.value() },
                                  { "region", sources.settings.region.value() },
                                  { "ready", sources.isReady },
                                  { "uptime_seconds", toSeconds(sources.uptime) },
                                  { "open_requests", sources.openRequests },
                                  { "configuration", configurationJson(sources) },
                                  { "members", membersJson(sources.peers.membership()) },
                                  { "pool_holders", holdersJson(sources) },
                                  { "pools", std::move(pools) },
                                  { "classes", std::move(classes) } };
    return status.dump();
}

} // namespace crocusport
