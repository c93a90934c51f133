#include "serverstatus.h"

#include <algorithm>

namespace crocusport {

namespace {

std::string reasonOfExclusion(const BackendServerEntry &entry, Instant now)
{
    if (!entry.listed)
        return "not in the host list";
    if (entry.leaving)
        return "leaving";
    if (entry.unavailableUntil > now)
        return "unavailable";
    return entry.slow ? "slow" : "";
}

} // namespace

std::vector<BackendServerStatus> serverStatus(const BackendServerTable &servers, Instant now)
{
    std::vector<BackendServerStatus> status;
    for (const auto &entry : servers.entries()) {
        if (!entry.listed && entry.running == 0)
            continue;
        status.push_back({ .server = entry.server,
                           .running = entry.running,
                           .slowFactor = entry.slowFactor,
                           .excludedBecause = reasonOfExclusion(entry, now) });
    }
    std::sort(status.begin(), status.end(), [](const auto &left, const auto &right) {
        return left.server.name < right.server.name;
    });
    return status;
}

} // namespace crocusport
