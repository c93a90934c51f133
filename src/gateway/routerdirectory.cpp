#include "routerdirectory.h"

#include <algorithm>
#include <iterator>

namespace crocusport {

namespace {

// A router that is neither registered nor mentioned in any message is dropped after this time.
constexpr Duration kRouterRetentionTime = std::chrono::seconds(15);
// A router that did not answer a store query is not queried again for this long.
constexpr Duration kNoAnswerPause = std::chrono::seconds(2);
// Zone sizes are kept for this long without a report, also during a network partition, since the
// retry budget is divided by the size of the fleet.
constexpr Duration kZoneSizeRetentionTime = std::chrono::seconds(120);
// In a fleet of up to this many routers, each router reports to all others.
constexpr std::size_t kMaxFullMeshRouters = 16;
// Number of routers of each other zone that receive the sums of this zone in turn.
constexpr std::size_t kFarRoutersPerZone = 2;

} // namespace

bool RouterDirectory::Known::isAlive(Duration now) const
{
    return lastMessageAt && now - *lastMessageAt <= kSilenceLimit;
}

void RouterDirectory::noteMessage(const RouterEntry &router, const std::optional<StoreHint> &hint,
                                  Duration now)
{
    if (router.name == self_)
        return;
    auto &known = routers_[router.name];
    known.router = router;
    known.lastMessageAt = now;
    known.lastMentionAt = now;
    if (hint) {
        known.hintPosition = hint->relevant;
        known.hintFreshAt = now - hint->age;
    } else {
        known.hintPosition.reset();
    }
}

void RouterDirectory::noteMention(const RouterEntry &router, Duration now)
{
    if (router.name == self_)
        return;
    auto &known = routers_[router.name];
    if (known.router.address != router.address)
        known.router = router;
    known.lastMentionAt = now;
}

void RouterDirectory::addRegistered(const RouterEntry &router, Duration now)
{
    noteMention(router, now);
    if (router.name != self_)
        routers_[router.name].isRegistered = true;
}

void RouterDirectory::removeRegistered(const RouterName &router)
{
    const auto found = routers_.find(router);
    if (found != routers_.end())
        found->second.isRegistered = false;
}

void RouterDirectory::noteShutdown(const RouterName &router)
{
    const auto found = routers_.find(router);
    if (found == routers_.end())
        return;
    found->second.lastMessageAt.reset();
    found->second.hintPosition.reset();
}

void RouterDirectory::noteAnswer(const RouterName &router, const StoreHint &hint, Duration now)
{
    const auto found = routers_.find(router);
    if (found == routers_.end())
        return;
    found->second.lastMessageAt = now;
    found->second.hintPosition = hint.relevant;
    found->second.hintFreshAt = std::max(found->second.hintFreshAt, now - hint.age);
    found->second.avoidedUntil = Duration::zero();
}

void RouterDirectory::noteNoAnswer(const RouterName &router, Duration now)
{
    const auto found = routers_.find(router);
    if (found != routers_.end())
        found->second.avoidedUntil = now + kNoAnswerPause;
}

void RouterDirectory::noteZoneSize(const AvailabilityZone &zone, std::size_t size, Duration now)
{
    if (zone != zone_)
        zoneSizes_[zone] = { size, now };
}

void RouterDirectory::expire(Duration now)
{
    std::erase_if(routers_, [&](const auto &item) {
        const auto &known = item.second;
        return !known.isRegistered && now - known.lastMentionAt > kRouterRetentionTime;
    });
    std::erase_if(zoneSizes_,
                  [&](const auto &item) { return now - item.second.at > kZoneSizeRetentionTime; });
}

bool RouterDirectory::isFullMesh() const
{
    return fleetSize() <= kMaxFullMeshRouters;
}

RouterDirectory::Neighbourhood RouterDirectory::neighbourhood(const AvailabilityZone &zone) const
{
    return { zone, isFullMesh() };
}

std::vector<RouterEntry> RouterDirectory::neighbours() const
{
    std::vector<RouterEntry> routers;
    const auto neighbourhood = this->neighbourhood(zone_);
    for (const auto &[name, known] : routers_) {
        if (neighbourhood.has(known))
            routers.push_back(known.router);
    }
    return routers;
}

std::vector<RouterEntry> RouterDirectory::neighboursOf(const RouterEntry &requester,
                                                       Duration now) const
{
    std::vector<RouterEntry> routers;
    const auto neighbourhood = this->neighbourhood(requester.zone);
    for (const auto &[name, known] : routers_) {
        if (known.isAlive(now) && name != requester.name && neighbourhood.has(known))
            routers.push_back(known.router);
    }
    return routers;
}

std::size_t RouterDirectory::livingNeighbourCount(Duration now) const
{
    return countLivingNeighbours(routers_.end(), now);
}

std::size_t RouterDirectory::rank(Duration now) const
{
    return countLivingNeighbours(routers_.lower_bound(self_), now);
}

std::size_t RouterDirectory::zoneRank() const
{
    if (isFullMesh())
        return 0;
    return static_cast<std::size_t>(
        std::distance(zoneSizes_.begin(), zoneSizes_.lower_bound(zone_)));
}

std::size_t RouterDirectory::countLivingNeighbours(Routers::const_iterator end, Duration now) const
{
    const auto neighbourhood = this->neighbourhood(zone_);
    return static_cast<std::size_t>(std::count_if(routers_.begin(), end, [&](const auto &item) {
        return item.second.isAlive(now) && neighbourhood.has(item.second);
    }));
}

std::optional<RouterEntry> RouterDirectory::source(StoreEra era, bool isAnyRank, Duration maxAge,
                                                   Duration now) const
{
    const auto neighbourhood = this->neighbourhood(zone_);
    for (const auto &[name, known] : routers_) {
        if (name > self_ && !isAnyRank)
            break;
        const auto &hint = known.hintPosition;
        if (known.isAlive(now) && neighbourhood.has(known) && hint && hint->era >= era
            && hint->revision != 0 && now - known.hintFreshAt <= maxAge
            && known.avoidedUntil <= now)
            return known.router;
    }
    return std::nullopt;
}

StorePosition RouterDirectory::latestHint(Duration now) const
{
    StorePosition latest;
    const auto neighbourhood = this->neighbourhood(zone_);
    for (const auto &[name, known] : routers_) {
        if (known.isAlive(now) && known.hintPosition && neighbourhood.has(known))
            latest = std::max(latest, *known.hintPosition);
    }
    return latest;
}

std::optional<Duration> RouterDirectory::latestHintFreshAt(Duration now) const
{
    std::optional<Duration> latest;
    const auto neighbourhood = this->neighbourhood(zone_);
    for (const auto &[name, known] : routers_) {
        if (known.isAlive(now) && known.hintPosition && neighbourhood.has(known))
            latest = std::max(latest.value_or(known.hintFreshAt), known.hintFreshAt);
    }
    return latest;
}

std::vector<RouterEntry> RouterDirectory::farRouters(std::uint64_t turn) const
{
    std::map<AvailabilityZone, std::vector<const Known *>> zones;
    for (const auto &[name, known] : routers_) {
        if (known.router.zone != zone_)
            zones[known.router.zone].push_back(&known);
    }
    std::vector<RouterEntry> routers;
    for (auto &[zone, known] : zones) {
        // Registered routers are preferred: they run for a long time. Other routers may have
        // stopped since they were last mentioned.
        std::stable_partition(known.begin(), known.end(),
                              [](const Known *router) { return router->isRegistered; });
        const auto count = std::min(known.size(), kFarRoutersPerZone);
        routers.push_back(known[turn % count]->router);
    }
    return routers;
}

std::vector<RouterName> RouterDirectory::silentRegisteredRouters(Duration silence,
                                                                 Duration now) const
{
    std::vector<RouterName> names;
    for (const auto &[name, known] : routers_) {
        if (known.isRegistered && known.router.zone == zone_
            && now - std::max(known.lastMessageAt.value_or(Duration::zero()), known.lastMentionAt)
                > silence)
            names.push_back(name);
    }
    return names;
}

// A zone that has not reported its size counts with the number of its known routers.
std::size_t RouterDirectory::fleetSize() const
{
    std::map<AvailabilityZone, std::size_t> zones;
    zones[zone_] = 1;
    for (const auto &[name, known] : routers_)
        ++zones[known.router.zone];
    std::size_t size = 0;
    for (auto &[zone, count] : zones) {
        const auto reported = zoneSizes_.find(zone);
        size += reported == zoneSizes_.end() ? count : std::max(count, reported->second.size);
    }
    return size;
}

} // namespace crocusport
