#include "statusscreen.h"

#include "texttable.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <tuple>

namespace crocusport {

namespace {

constexpr std::size_t kMaxMembers = 12;
constexpr std::size_t kMaxServersPerPool = 10;
constexpr std::array<const char *, 4> kMemberStates = { "alive", "suspect", "dead", "leaving" };

std::string memberStateText(MemberState state)
{
    return kMemberStates.at(static_cast<std::size_t>(state));
}

std::string millisecondsText(const std::optional<Milliseconds> &time)
{
    return time ? std::to_string(time->count()) + " ms" : "-";
}

std::string tenthsText(double number)
{
    const auto tenths = static_cast<long>(std::lround(number * 10));
    return std::to_string(tenths / 10) + '.' + std::to_string(tenths % 10);
}

std::string moreText(std::size_t total, std::size_t shown, const std::string &what)
{
    return total > shown ? "  ... and " + std::to_string(total - shown) + " more " + what + "\n"
                         : std::string();
}

std::string membersText(const RouterStatus &status)
{
    auto members = status.members;
    // Those that are not well come first.
    std::stable_sort(members.begin(), members.end(), [](const auto &left, const auto &right) {
        return (left.state != MemberState::Alive) > (right.state != MemberState::Alive);
    });
    const auto alive = std::count_if(members.begin(), members.end(), [](const auto &member) {
        return member.state == MemberState::Alive;
    });
    std::string text =
        "routers: " + std::to_string(alive) + " of " + std::to_string(members.size()) + " alive\n";
    TextTable table({ "router", "state", "availability zone", "region", "address" });
    const auto shown = std::min(members.size(), kMaxMembers);
    for (std::size_t i = 0; i < shown; ++i) {
        const auto &member = members[i];
        table.add({ member.name.value(), memberStateText(member.state), member.zone.value(),
                    member.region.value(), member.address.value() });
    }
    return text + table.text() + moreText(members.size(), shown, "routers");
}

std::string poolText(const PoolReport &pool)
{
    auto servers = pool.status.servers;
    std::stable_sort(servers.begin(), servers.end(), [](const auto &left, const auto &right) {
        const auto rank = [](const BackendServerStatus &status) {
            const auto load = static_cast<double>(status.running)
                / std::max<std::uint32_t>(status.server.slots, 1);
            return std::tuple(!status.excludedBecause.empty(), status.slowFactor, load);
        };
        return rank(left) > rank(right);
    });
    std::uint64_t running = 0;
    std::uint64_t slots = 0;
    for (const auto &server : servers) {
        running += server.running;
        slots += server.server.slots;
    }
    std::string text = "pool " + pool.status.pool.value() + ": holder " + pool.holder.value()
        + ", running " + std::to_string(running) + " of " + std::to_string(slots)
        + " slots, waiting by tier";
    for (const auto waiting : pool.status.waitingByTier)
        text += ' ' + std::to_string(waiting);
    TextTable table({ "backend server", "state", "load", "slow factor", "availability zone",
                      "excluded because" });
    const auto shown = std::min(servers.size(), kMaxServersPerPool);
    for (std::size_t i = 0; i < shown; ++i) {
        const auto &[server, serverRunning, slowFactor, excludedBecause] = servers[i];
        table.add({ server.name.value(),
                    server.state == BackendServerState::Live ? "live" : "leaving",
                    std::to_string(serverRunning) + '/' + std::to_string(server.slots),
                    tenthsText(slowFactor), server.zone.value(), excludedBecause });
    }
    return text + "\n" + table.text() + moreText(servers.size(), shown, "backend servers");
}

std::string classesText(const std::vector<ClassReport> &classes)
{
    TextTable table({ "class", "tier", "requests", "first token p95", "target", "answer p95",
                      "target", "within targets" });
    for (const auto &report : classes) {
        table.add({ report.name.value(), std::to_string(report.tier.value()),
                    std::to_string(report.requests), millisecondsText(report.firstTokenP95),
                    millisecondsText(report.firstTokenTarget), millisecondsText(report.answerP95),
                    millisecondsText(report.answerTarget),
                    report.attainment ? tenthsText(*report.attainment * 100) + "%" : "-" });
    }
    return "classes\n" + table.text();
}

} // namespace

std::string statusScreen(const RouterStatus &status)
{
    std::string text = "router " + status.router.value() + ": " + status.state
        + ", configuration version " + std::to_string(status.configurationVersion.value())
        + ", incarnation " + std::to_string(status.incarnation.value()) + "\n\n"
        + membersText(status);
    for (const auto &pool : status.pools)
        text += "\n" + poolText(pool);
    return text + "\n" + classesText(status.classes);
}

std::string configurationScreen(const Configuration &configuration)
{
    TextTable classes({ "class", "pool", "tier", "repeat", "first token", "answer", "deadline",
                        "path", "teams" });
    for (const auto &[name, requestClass] : configuration.classes) {
        std::string teams;
        for (const auto &team : requestClass.teams)
            teams += (teams.empty() ? "" : ",") + team.value();
        classes.add(
            { name.value(), requestClass.pool.value(), std::to_string(requestClass.tier.value()),
              std::string(repeatRuleName(requestClass.repeat)),
              millisecondsText(requestClass.firstTokenTarget),
              millisecondsText(requestClass.answerTarget), millisecondsText(requestClass.deadline),
              requestClass.path, teams.empty() ? "all" : teams });
    }
    TextTable pools({ "pool", "kind", "region" });
    for (const auto &[name, pool] : configuration.pools)
        pools.add({ name.value(), pool.kind == PoolKind::Engine ? "engine" : "service",
                    pool.region.value() });
    TextTable teams({ "team", "requests/s" });
    for (const auto &[name, team] : configuration.teams)
        teams.add({ name.value(),
                    team.requestsPerSecond > 0 ? tenthsText(team.requestsPerSecond) : "-" });
    return "configuration version " + std::to_string(configuration.version.value()) + "\n\n"
        + classes.text() + "\n" + pools.text() + "\n" + teams.text();
}

} // namespace crocusport
