#include "crocusport/protocol/statusdocument.h"

#include "jsondocument.h"

namespace crocusport {

namespace {

// Types of their own, since the same structures have other keys in other documents.
struct MemberRow
{
    MemberInfo member;
};

struct ServerRow
{
    BackendServerStatus status;
};

struct PoolRow
{
    PoolName name;
    std::vector<std::uint32_t> waitingByTier;
    std::vector<ServerRow> servers;
};

struct StatusRow
{
    RouterStatus status; //!< Without members and pools.
    std::vector<MemberRow> members;
    std::vector<PoolRow> pools;
};

void describe(auto &fields, Is<MemberRow> auto &row)
{
    fields.required("name", row.member.name);
    fields.required("state", row.member.state);
    fields.required("availability_zone", row.member.zone);
    fields.required("region", row.member.region);
    fields.required("address", row.member.address);
}

void describe(auto &fields, Is<ServerRow> auto &row)
{
    auto &server = row.status.server;
    fields.required("name", server.name);
    fields.required("address", server.address);
    fields.required("availability_zone", server.zone);
    fields.required("slots", server.slots);
    fields.required("running", row.status.running);
    fields.required("slow_factor", row.status.slowFactor);
    fields.required("excluded_because", row.status.excludedBecause);
}

void describe(auto &fields, Is<PoolRow> auto &row)
{
    fields.required("name", row.name);
    fields.required("waiting_by_tier", row.waitingByTier);
    fields.required("backend_servers", row.servers);
}

} // namespace

void describe(auto &fields, Is<ClassReport> auto &report)
{
    fields.required("name", report.name);
    fields.required("ended", report.ended);
    fields.required("completed", report.completed);
    fields.required("target_met", report.targetMet);
}

void describe(auto &fields, Is<ConfigurationReport> auto &report)
{
    fields.required("version", report.version);
    fields.defaulted("publish_id", report.publishId);
    fields.defaulted("is_store_watcher", report.isStoreWatcher);
    fields.defaulted("is_store_reachable", report.isStoreReachable);
    fields.optional("age_seconds", report.ageSeconds);
}

void describe(auto &fields, Is<Explanation> auto &explanation)
{
    fields.required("request", explanation.request);
    fields.required("events", explanation.events);
}

namespace {

void describe(auto &fields, Is<StatusRow> auto &row)
{
    auto &status = row.status;
    fields.required("router", status.router);
    fields.required("availability_zone", status.zone);
    fields.required("region", status.region);
    fields.required("ready", status.isReady);
    fields.defaulted("uptime_seconds", status.uptimeSeconds);
    fields.defaulted("open_requests", status.openRequests);
    fields.required("configuration", status.configuration);
    fields.required("pool_holders", status.poolHolders);
    fields.required("members", row.members);
    fields.required("pools", row.pools);
    fields.required("classes", status.classes);
}

} // namespace

std::string writeRouterStatus(const RouterStatus &status)
{
    StatusRow row { status, {}, {} };
    for (const auto &member : status.members)
        row.members.push_back({ member });
    for (const auto &pool : status.pools) {
        auto &poolRow = row.pools.emplace_back(PoolRow { pool.pool, pool.waitingByTier, {} });
        for (const auto &server : pool.servers)
            poolRow.servers.push_back({ server });
    }
    return writeJsonDocument(row);
}

Result<RouterStatus> parseRouterStatus(std::string_view text)
{
    BOOST_LEAF_AUTO(row, parseJsonDocument<StatusRow>(text, "status"));
    auto status = std::move(row.status);
    for (auto &member : row.members)
        status.members.push_back(std::move(member.member));
    for (auto &poolRow : row.pools) {
        auto &pool = status.pools.emplace_back();
        pool.pool = std::move(poolRow.name);
        pool.waitingByTier = std::move(poolRow.waitingByTier);
        for (auto &server : poolRow.servers)
            pool.servers.push_back(std::move(server.status));
    }
    return status;
}

std::string writeExplanation(const Explanation &explanation)
{
    return writeJsonDocument(explanation);
}

Result<Explanation> parseExplanation(std::string_view text)
{
    return parseJsonDocument<Explanation>(text, "explanation");
}

} // namespace crocusport
