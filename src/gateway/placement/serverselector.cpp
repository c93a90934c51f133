#include "serverselector.h"

#include "startpace.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace crocusport {

namespace {

// Costs are in milliseconds of expected delay.

// Prefill speed of a typical engine in prompt tokens per ms; only the ratio of costs matters.
constexpr double kPrefillTokensPerMs = 80;
// Each running request makes every step of the engine slightly longer.
constexpr double kMsPerRunningRequest = 2;
// The prefill of a longer prompt takes several chunks and delays several steps of the engine.
constexpr std::uint32_t kLongPromptTokens = 1500;
// Expected delay that the prefill of the longest prompt causes to one stream of sensitivity 1.
constexpr double kDisturbanceMs = 120;
// Prefill beyond this many tokens happens after a sensitive stream has sent most of its events.
constexpr double kMaxDisturbingTokens = 8000;
// Weight of pending prefill for a sensitive stream, as it delays each event of the stream.
constexpr double kSensitivePrefillFactor = 3;
// Traffic between zones is expensive: each kilobyte costs as much as this delay.
constexpr double kOtherZoneMsPerKb = 3;
constexpr double kBytesPerKb = 1000;
// Bytes of a response per output token, including the framing of events.
constexpr double kBytesPerOutputToken = 18;
// Cost of the prefill of a prompt token that another server has cached: it takes engine time from
// all requests, and memory for a second copy.
constexpr double kMsPerRepeatedPrefillToken = 0.25;
// Additional cost of all servers except the preferred one for a shared prefix that no server is
// known to have cached. All routers compute the same preferred server by rendezvous hashing, so the
// prefix may be cached there through a router from which this one receives no reports.
constexpr double kNonPreferredMs = 25;
constexpr double kNonPreferredMsPerSharedToken = 0.12;
// Additional cost of a long prompt on a server for short prompts, and of a stream of sensitivity 1
// on a server for long prompts. All routers divide a pool in the same way, so the two kinds of
// requests are separated even while reports of loads are delayed.
constexpr double kSeparationMs = 80;
// Share of a pool's servers that are for long prompts.
constexpr double kLongPromptShare = 0.65;
// Expected delay through an attempt that fails.
constexpr double kFailureMs = 300;
// Maximum number of requests at a server per slot. The queue of a server orders the requests of all
// routers by urgency, so a short queue at a server is better than separate queues at the routers.
constexpr double kMaxRequestsPerSlot = 3;
// Service time of one request in a pool without model engines.
constexpr double kServiceMs = 20;
// Cost of a server that has just started and is still slow.
constexpr double kColdMs = 50;
// The cost of a slow server is multiplied by its slowness, plus this per unit of slowness above 1.
constexpr double kSlowMs = 80;
// Minimum number of servers with a known pace for a meaningful median.
constexpr std::size_t kMinPaces = 3;
// Share of an engine's memory that requests may fill; outputs may become longer than expected.
constexpr double kPlannedMemoryShare = 0.9;
// Random noise up to this is added to each cost, so that routers that see the same loads do not all
// choose the same server.
constexpr double kNoiseMs = 4;

// A stream is fully sensitive with at most this pause objective and at least this many tokens.
constexpr Duration kReferencePause = std::chrono::milliseconds(250);
constexpr double kReferenceOutputTokens = 150;

// The last part of a prompt is specific to its request or session; the parts before it are shared.
std::optional<PromptPrefixHash> sharedPrefixHash(const WorkProfile &profile)
{
    if (profile.prefixHashes.size() < 2)
        return std::nullopt;
    return profile.prefixHashes[profile.prefixHashes.size() - 2];
}

std::uint32_t sharedTokens(const WorkProfile &profile)
{
    std::uint32_t tokens = 0;
    for (std::size_t i = 0; i + 1 < profile.parts.size(); ++i)
        tokens += profile.parts[i].tokens;
    return tokens;
}

//! Returns the median of the recent paces of a pool's servers, or 0 if too few are known.
double medianPace(const std::vector<ServerDirectory::ServerPointer> &servers, Instant now)
{
    std::vector<double> paces;
    for (const auto &server : servers) {
        if (const auto pace = server->pace.recent(now))
            paces.push_back(*pace);
    }
    if (paces.size() < kMinPaces)
        return 0;
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    return *middle;
}

std::uint64_t rendezvousScore(const BackendServerName &server, PromptPrefixHash prefix)
{
    return XXH64(server.value().data(), server.value().size(), prefix);
}

} // namespace

double pauseSensitivity(Duration maxPause, std::uint32_t outputTokens)
{
    if (maxPause <= Duration::zero())
        return 0;
    const double pace = std::min(1.0, toSeconds(kReferencePause) / toSeconds(maxPause));
    const double length = std::min(1.0, outputTokens / kReferenceOutputTokens);
    return pace * pace * length;
}

ServerLoad WorkProfile::loadWith(std::uint32_t cachedTokens) const
{
    ServerLoad load;
    load.requests = 1;
    load.sensitivity = sensitivity;
    load.prefillTokens = promptTokens - std::min(promptTokens, cachedTokens);
    load.memoryTokens = promptTokens + outputTokens;
    return load;
}

ServerSelector::ServerSelector(const ServerDirectory &directory, const PrefixMemory &prefixes,
                               AvailabilityZone zone, std::uint64_t seed)
    : directory_(directory), prefixes_(prefixes), zone_(std::move(zone)), random_(seed)
{ }

double ServerSelector::generationCost(const WorkProfile &profile, const ServerLoad &load,
                                      std::uint32_t cachedTokens) const
{
    const double unread =
        profile.promptTokens - std::min<double>(profile.promptTokens, cachedTokens);
    const auto pending = static_cast<double>(load.prefillTokens);
    double cost = (pending + unread) / kPrefillTokensPerMs + kMsPerRunningRequest * load.requests;
    if (unread > kLongPromptTokens)
        cost += kDisturbanceMs * load.sensitivity * std::min(unread, kMaxDisturbingTokens)
            / kMaxDisturbingTokens;
    cost += profile.sensitivity * kSensitivePrefillFactor * std::min(pending, kMaxDisturbingTokens)
        / kPrefillTokensPerMs;
    return cost;
}

double ServerSelector::cost(const KnownServer &server, const PoolEntry *entry,
                            const WorkProfile &profile, std::uint32_t cachedTokens,
                            Instant now) const
{
    const auto load = server.load();
    double cost = entry && entry->engine
        ? generationCost(profile, load, cachedTokens)
        : kServiceMs * load.requests / std::max(1U, server.entry.slots);
    if (server.entry.zone != zone_) {
        const double bytes =
            static_cast<double>(profile.bodyBytes) + kBytesPerOutputToken * profile.outputTokens;
        cost += kOtherZoneMsPerKb * bytes / kBytesPerKb;
    }
    if (now < server.coldUntil)
        cost += kColdMs;
    cost += kFailureMs * server.health.failureShare();
    // Requests beyond the number of slots wait at the server until others have ended.
    if (load.requests >= server.entry.slots)
        cost += server.meanRunMs / server.entry.slots * (load.requests + 1 - server.entry.slots);
    return cost;
}

std::vector<ServerSelector::Candidate>
ServerSelector::candidates(const PoolName &pool, const PoolEntry *entry, const WorkProfile &profile,
                           const std::vector<BackendServerName> &excluded, Instant now) const
{
    std::vector<Candidate> found;
    const auto &servers = directory_.pool(pool);
    const auto isEligible = [&](const ServerDirectory::ServerPointer &server) {
        return server->takesRequests(now)
            && std::find(excluded.begin(), excluded.end(), server->entry.name) == excluded.end();
    };
    // An unreachable server looks idle and would attract the requests that wait for other servers.
    const bool isAnyReachable =
        std::any_of(servers.begin(), servers.end(), [&](const auto &server) {
            return isEligible(server) && !server->health.isUnreachable(now);
        });
    std::size_t position = 0;
    for (const auto &server : servers) {
        const auto serverPosition = position++;
        if (!isEligible(server) || (isAnyReachable && server->health.isUnreachable(now)))
            continue;
        const auto load = server->load();
        if (load.requests >= kMaxRequestsPerSlot * server->entry.slots)
            continue;
        if (entry && entry->engine && entry->engine->memoryTokens > 0 && load.requests > 0) {
            const auto planned = static_cast<double>(load.memoryTokens + profile.promptTokens
                                                     + profile.outputTokens);
            if (planned > kPlannedMemoryShare * static_cast<double>(entry->engine->memoryTokens))
                continue;
        }
        const auto cached = profile.parts.empty()
            ? 0
            : prefixes_.cachedTokens(server->hash, profile.parts, profile.prefixHashes, now);
        found.push_back({ server, cached, serverPosition });
    }
    applyStartPace(found, now);
    return found;
}

void ServerSelector::applyStartPace(std::vector<Candidate> &found, Instant now) const
{
    if (!startPace_)
        return;
    const bool hasOther = std::any_of(found.begin(), found.end(), [&](const auto &candidate) {
        const auto &server = *candidate.server;
        return server.load().requests < server.entry.slots && !server.health.isAvoided(now)
            && startPace_->admits(server, now);
    });
    if (hasOther)
        std::erase_if(found, [&](const auto &candidate) {
            return !startPace_->admits(*candidate.server, now);
        });
}

Duration ServerSelector::pause(const PoolName &pool, Instant now) const
{
    auto shortest = Duration::max();
    for (const auto &server : directory_.pool(pool)) {
        if (server->isUsable())
            shortest = std::min(shortest, server->health.pausedUntil() - now);
    }
    return shortest == Duration::max() ? Duration::zero() : std::max(shortest, Duration::zero());
}

ServerSelector::Choice ServerSelector::choose(const PoolName &pool, const PoolEntry *entry,
                                              const WorkProfile &profile,
                                              const std::vector<BackendServerName> &excluded,
                                              Instant now)
{
    std::uniform_real_distribution<double> noise(0, kNoiseMs);
    const auto servers = candidates(pool, entry, profile, excluded, now);
    std::uint32_t mostCached = 0;
    for (const auto &candidate : servers)
        mostCached = std::max(mostCached, candidate.cachedTokens);
    const auto longPromptServers = static_cast<std::size_t>(
        std::lround(kLongPromptShare * static_cast<double>(directory_.pool(pool).size())));
    const bool isLong = profile.promptTokens > kLongPromptTokens;
    const auto sharedPrefix = sharedPrefixHash(profile);
    const bool isUncachedPrefix = sharedPrefix && mostCached < sharedTokens(profile);
    std::uint64_t preferredScore = 0;
    BackendServerName preferred;
    for (const auto &candidate : servers) {
        if (!isUncachedPrefix)
            break;
        if (isLong && candidate.position >= longPromptServers)
            continue;
        const auto &name = candidate.server->entry.name;
        const auto score = rendezvousScore(name, *sharedPrefix);
        if (score >= preferredScore) {
            preferredScore = score;
            preferred = name;
        }
    }

    const double median = medianPace(directory_.pool(pool), now);
    Choice best;
    double bestCost = std::numeric_limits<double>::infinity();
    bool isBestAvoided = true;
    for (const auto &[server, cached, position] : servers) {
        const bool isAvoided = server->health.isAvoided(now);
        const double slowness = server->pace.slowness(median, now);
        double serverCost = slowness * cost(*server, entry, profile, cached, now)
            + (slowness - 1) * kSlowMs + noise(random_);
        serverCost += kMsPerRepeatedPrefillToken * (mostCached - cached);
        const bool isForLongPrompts = position < longPromptServers;
        if (isLong && !isForLongPrompts)
            serverCost += kSeparationMs;
        if (!isLong && isForLongPrompts)
            serverCost += kSeparationMs * profile.sensitivity;
        if (isUncachedPrefix && server->entry.name != preferred)
            serverCost += kNonPreferredMs + kNonPreferredMsPerSharedToken * sharedTokens(profile);
        if (std::pair(isAvoided, serverCost) < std::pair(isBestAvoided, bestCost)) {
            best = { server, profile.loadWith(cached), cached, mostCached };
            bestCost = serverCost;
            isBestAvoided = isAvoided;
        }
    }
    return best;
}

} // namespace crocusport
