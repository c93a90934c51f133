#include "placement.h"

#include <algorithm>

namespace crocusport {

namespace {

constexpr std::size_t kCandidates = 8;
//! Size of the table of prefixes; a power of two. 16384 entries take 256 KiB for each pool.
constexpr std::size_t kPrefixEntries = 16'384;
//! Slow factors up to this do not raise the cost of a server, because they vary that much with
//! load.
constexpr double kToleratedSlowFactor = 2;
//! Factor on the cost of a server that has the request's prefix cached. With otherwise equal
//! factors, it is chosen as long as its load is below twice that of the other candidates.
constexpr double kPrefixFactor = 0.5;
//! Factor on the cost of a server in the router's availability zone, where the network delay is
//! lower. Close to 1, so that it decides only between servers with nearly equal load.
constexpr double kSameZoneFactor = 0.95;
//! While other servers have a free slot, a tier-1 request probes a slow server only if the probe
//! has been due for this time, so that requests of the lower tiers can be used as probes first.
constexpr Duration kUrgentProbeDelay = std::chrono::seconds(10);

bool accepts(const BackendServerEntry &entry, const RequestRecord &record, bool crashSuspect)
{
    if (crashSuspect && entry.suspectsRunning > 0)
        return false;
    return std::find(record.excluded.begin(), record.excluded.end(), entry.server.name)
        == record.excluded.end();
}

//! Returns the cost of placing \a record; lower is better.
double costOf(const BackendServerEntry &entry, const RequestRecord &record, bool hasPrefix)
{
    auto cost = (entry.running + 1.0) / entry.server.slots;
    if (entry.slowFactor > kToleratedSlowFactor)
        cost *= entry.slowFactor;
    if (hasPrefix)
        cost *= kPrefixFactor;
    if (entry.zone == record.zone)
        cost *= kSameZoneFactor;
    return cost;
}

//! Returns the first member of \a set that accepts \a record.
std::optional<ServerIndex> firstAccepting(const BackendServerTable &servers, const IndexSet &set,
                                          const RequestRecord &record, bool crashSuspect)
{
    for (std::size_t i = 0; i < set.size(); ++i) {
        if (accepts(servers.at(set.at(i)), record, crashSuspect))
            return set.at(i);
    }
    return std::nullopt;
}

} // namespace

Placement::Placement(std::uint64_t seed) : random_(seed) { }

std::size_t Placement::sample(std::size_t size)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
}

std::optional<ServerIndex> Placement::serverWithPrefix(const RequestRecord &record) const
{
    if (record.prefix.value() == 0 || prefixes_.empty())
        return std::nullopt;
    const auto &entry = prefixes_[record.prefix.value() % kPrefixEntries];
    return entry.prefix == record.prefix ? std::optional(entry.server) : std::nullopt;
}

void Placement::noteStart(const RequestRecord &record)
{
    if (record.prefix.value() == 0)
        return;
    prefixes_.resize(kPrefixEntries);
    prefixes_[record.prefix.value() % kPrefixEntries] = { record.prefix, record.server };
}

std::optional<ServerIndex> Placement::chooseProbe(const BackendServerTable &servers,
                                                  const RequestRecord &record, bool crashSuspect,
                                                  Instant now)
{
    const auto &probes = servers.serversToProbe(record.length);
    if (probes.empty())
        return std::nullopt;
    const auto index = firstAccepting(servers, probes, record, crashSuspect);
    const bool noOtherSlotFree = servers.serversWithFreeSlot(record.length).empty();
    if (index && record.isUrgent() && !noOtherSlotFree
        && now < servers.at(*index).nextProbe + kUrgentProbeDelay)
        return std::nullopt;
    return index;
}

std::optional<ServerIndex> Placement::chooseLowestCost(const BackendServerTable &servers,
                                                       const RequestRecord &record,
                                                       bool crashSuspect)
{
    const auto &withFreeSlot = servers.serversWithFreeSlot(record.length);
    if (withFreeSlot.empty())
        return std::nullopt;
    std::optional<ServerIndex> best;
    double lowestCost = 0;
    const auto consider = [&](ServerIndex index, bool hasPrefix) {
        const auto &entry = servers.at(index);
        if (!accepts(entry, record, crashSuspect))
            return;
        const auto cost = costOf(entry, record, hasPrefix);
        if (!best || cost < lowestCost) {
            best = index;
            lowestCost = cost;
        }
    };
    if (const auto index = serverWithPrefix(record); index && withFreeSlot.contains(*index))
        consider(*index, true);
    if (withFreeSlot.size() <= kCandidates) {
        // Of servers with equal cost the first one considered is chosen, so a random one is first.
        const auto first = sample(withFreeSlot.size());
        for (std::size_t i = 0; i < withFreeSlot.size(); ++i)
            consider(withFreeSlot.at((first + i) % withFreeSlot.size()), false);
    } else {
        for (std::size_t i = 0; i < kCandidates; ++i)
            consider(withFreeSlot.at(sample(withFreeSlot.size())), false);
    }
    // A retried request or a crash suspect may have to avoid all servers of the sample.
    return best ? best : firstAccepting(servers, withFreeSlot, record, crashSuspect);
}

std::optional<ServerIndex> Placement::choose(const BackendServerTable &servers,
                                             const RequestRecord &record, bool crashSuspect,
                                             Instant now)
{
    if (const auto probe = chooseProbe(servers, record, crashSuspect, now))
        return probe;
    return chooseLowestCost(servers, record, crashSuspect);
}

} // namespace crocusport
