#include "poolpressure.h"

#include <algorithm>

namespace crocusport {

namespace {

// Prefill speed of a typical engine.
constexpr double kPrefillTokensPerMs = 80;
constexpr double kMsPerSecond = 1000;
constexpr double kMinRunMs = 1;

Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace

PoolPressure measurePressure(const std::vector<ServerDirectory::ServerPointer> &servers,
                             Instant now)
{
    PoolPressure pressure;
    for (const auto &server : servers) {
        if (!server->takesRequests(now) || server->health.isUnreachable(now))
            continue;
        const auto load = server->load();
        ++pressure.servers;
        pressure.slots += server->entry.slots;
        pressure.own += server->own.requests;
        pressure.requests += load.requests;
        // Little's law: the time of a run includes its wait in the queue of the server, and the
        // number of requests the queued ones.
        pressure.endsPerSecond +=
            load.requests * kMsPerSecond / std::max(server->meanRunMs, kMinRunMs);
    }
    return pressure;
}

Duration LoadEstimate::firstEvent(const KnownServer &server, std::uint32_t unreadTokens,
                                  UrgencyPosition position) const
{
    const auto load = server.load();
    const auto slots = std::max(server.entry.slots, 1U);
    const double prefill =
        static_cast<double>(load.prefillTokens + unreadTokens) / kPrefillTokensPerMs;
    if (load.requests < slots)
        return fromMs(prefill);
    // The most urgent request starts when the next slot is free. Others wait for all queued ones.
    const bool isFirst = position.moreUrgent == 0 && position.lessUrgent > 0;
    const double ends = isFirst ? 1 : load.requests + 1 - slots;
    return fromMs(prefill + ends * server.meanRunMs / load.requests);
}

} // namespace crocusport
