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
    RouterName holder;
    PoolName pool;
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
    fields.required("incarnation", row.member.incarnation);
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
    fields.required("region", server.region);
    fields.required("state", server.state);
    fields.required("start", server.start);
    fields.required("slots", server.slots);
    fields.required("running", row.status.running);
    fields.required("slow_factor", row.status.slowFactor);
    fields.required("excluded_because", row.status.excludedBecause);
}

void describe(auto &fields, Is<PoolRow> auto &row)
{
    fields.required("name", row.pool);
    fields.required("holder", row.holder);
    fields.required("waiting_by_tier", row.waitingByTier);
    fields.required("servers", row.servers);
}

} // namespace

void describe(auto &fields, Is<ClassReport> auto &report)
{
    fields.required("name", report.name);
    fields.required("tier", report.tier);
    fields.required("requests", report.requests);
    fields.optional("first_token_target_ms", report.firstTokenTarget);
    fields.optional("first_token_p95_ms", report.firstTokenP95);
    fields.optional("answer_target_ms", report.answerTarget);
    fields.optional("answer_p95_ms", report.answerP95);
    fields.optional("attainment", report.attainment);
}

void describe(auto &fields, Is<Explanation> auto &explanation)
{
    fields.required("request", explanation.request);
    fields.required("events", explanation.events);
}

namespace {

void describe(auto &fields, Is<StatusRow> auto &row)
{
    fields.required("router", row.status.router);
    fields.required("incarnation", row.status.incarnation);
    fields.required("state", row.status.state);
    fields.required("configuration_version", row.status.configurationVersion);
    fields.required("members", row.members);
    fields.required("pools", row.pools);
    fields.required("classes", row.status.classes);
}

} // namespace

std::string writeRouterStatus(const RouterStatus &status)
{
    StatusRow row { status, {}, {} };
    for (const auto &member : status.members)
        row.members.push_back({ member });
    for (const auto &[holder, pool] : status.pools) {
        auto &poolRow =
            row.pools.emplace_back(PoolRow { holder, pool.pool, pool.waitingByTier, {} });
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
    for (auto &pool : row.pools) {
        auto &report = status.pools.emplace_back();
        report.holder = std::move(pool.holder);
        report.status.pool = pool.pool;
        report.status.waitingByTier = std::move(pool.waitingByTier);
        for (auto &server : pool.servers) {
            server.status.server.pool = pool.pool;
            report.status.servers.push_back(std::move(server.status));
        }
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
