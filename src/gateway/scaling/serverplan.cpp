#include "serverplan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusport {

namespace {

// A zone has at most this factor of its even share of the regular servers, so that the loss of a
// zone takes little more than with equal shares.
constexpr double kMaxRegularSkew = 1.2;
// A saved plan is ignored if more than this share of its total are regular servers that it has not
// ordered. It covers a removal that was under way.
constexpr double kPlanTolerance = 0.25;

std::uint32_t roundUp(double value, std::uint64_t limit)
{
    // Rates that decay to a whole number must not count as one more because of rounding.
    constexpr double kTolerance = 1e-6;
    const double bounded = std::clamp(value - kTolerance, 0.0, static_cast<double>(limit));
    return static_cast<std::uint32_t>(std::ceil(bounded));
}

std::uint32_t lessBy(std::uint32_t value, std::uint32_t amount)
{
    return value - std::min(value, amount);
}

std::uint32_t sumOf(const std::map<AvailabilityZone, std::uint32_t> &shares)
{
    std::uint32_t sum = 0;
    for (const auto &[zone, count] : shares)
        sum += count;
    return sum;
}

std::uint32_t sumOf(const ServerCounts &counts, ServerKind kind)
{
    std::uint32_t sum = 0;
    for (const auto &[zone, count] : counts)
        sum += count[kind];
    return sum;
}

} // namespace

void ServerPlan::restore(SavedPlan plan)
{
    saved_ = std::move(plan);
}

SavedPlan ServerPlan::save() const
{
    return { baseline_, need_, total_, wanted_ };
}

void ServerPlan::update(const std::optional<ServerNeed> &need, const PoolScaling &scaling,
                        const PresentServers &present, Instant now)
{
    adoptZones(scaling, present, now);
    if (saved_)
        adoptSaved(present);
    updateNeed(need, scaling, now);
    if (scaling.spotCost)
        planSpot(scaling, now);
    else
        planRegularOnly(scaling, now);
    increase(scaling);
    decrease(scaling, now);
    limitZones(scaling.max);
}

ServerCounts ServerPlan::orders() const
{
    auto counts = wanted_;
    for (const auto &[zone, state] : zones_) {
        for (const auto kind : kServerKinds) {
            if (!state.kinds[kind].isOrdered)
                counts[zone][kind] = state.present.live[kind];
        }
    }
    return counts;
}

void ServerPlan::adoptZones(const PoolScaling &scaling, const PresentServers &present, Instant now)
{
    for (const auto &[zone, cost] : scaling.zoneCosts)
        zones_.try_emplace(zone);
    for (const auto &[zone, servers] : present)
        zones_.try_emplace(zone);
    for (auto &[zone, state] : zones_) {
        const auto cost = scaling.zoneCosts.find(zone);
        state.cost = cost == scaling.zoneCosts.end() ? 1 : cost->second;
        const auto found = present.find(zone);
        state.present = found == present.end() ? ZoneServers() : found->second;
        for (const auto kind : kServerKinds) {
            auto &known = state.kinds[kind];
            const auto live = state.present.live[kind];
            known.live.note(live, now);
            if (known.isOrdered)
                continue;
            known.initial.note(live, now);
            wanted_[zone][kind] = known.initial.value();
        }
    }
    if (!steppedAt_)
        steppedAt_ = now;
}

void ServerPlan::adoptSaved(const PresentServers &present)
{
    const auto saved = std::exchange(saved_, std::nullopt);
    std::uint32_t regular = 0;
    for (const auto &[zone, servers] : present)
        regular += servers.live[ServerKind::Regular];
    const auto tolerance = roundUp(kPlanTolerance * saved->total, saved->total);
    if (regular > sumOf(saved->wanted, ServerKind::Regular) + tolerance)
        return;
    for (const auto &[zone, counts] : saved->wanted) {
        auto &state = zones_[zone];
        for (const auto kind : kServerKinds) {
            auto &wanted = wanted_[zone][kind];
            wanted = std::max(wanted, counts[kind]);
            state.kinds[kind].isOrdered = true;
        }
    }
    baseline_ = saved->baseline;
    need_ = saved->need;
    total_ = saved->total;
    isNeedKnown_ = true;
}

void ServerPlan::updateNeed(const std::optional<ServerNeed> &need, const PoolScaling &scaling,
                            Instant now)
{
    const auto limit = static_cast<std::uint64_t>(scaling.max) * zones_.size();
    std::uint32_t initial = 0;
    for (const auto &[zone, state] : zones_) {
        for (const auto kind : kServerKinds)
            initial += state.kinds[kind].initial.value();
    }
    if (!isNeedKnown_)
        baseline_ = static_cast<std::uint32_t>(std::min<std::uint64_t>(initial, limit));
    if (need) {
        isNeedKnown_ = true;
        need_ = std::max(roundUp(std::max(need->current, need->retained), limit), 1U);
        total_ = std::max(need_, std::min(roundUp(need->burst, limit), baseline_));
    } else if (!isNeedKnown_) {
        total_ = baseline_;
        const auto zones = static_cast<std::uint32_t>(zones_.size());
        need_ = zones > 0 ? static_cast<std::uint32_t>(static_cast<std::uint64_t>(baseline_)
                                                       * (zones - 1) / zones)
                          : 0;
    }
    needs_.note(need_, now);
    totals_.note(total_, now);
    need_ = needs_.value();
    total_ = totals_.value();
}

std::vector<AvailabilityZone> ServerPlan::byCost() const
{
    std::vector<AvailabilityZone> zones;
    for (const auto &[zone, state] : zones_)
        zones.push_back(zone);
    std::stable_sort(zones.begin(), zones.end(), [this](const auto &left, const auto &right) {
        return zones_.at(left).cost < zones_.at(right).cost;
    });
    return zones;
}

std::vector<ZoneOption> ServerPlan::spotOptions(const PoolScaling &scaling) const
{
    std::vector<ZoneOption> options;
    for (const auto &[zone, state] : zones_) {
        const auto least = std::min(scaling.min, scaling.max);
        const auto due = std::min(state.present.due[ServerKind::Spot], scaling.max);
        const bool isRefused = state.present.isRefused[ServerKind::Spot];
        options.push_back(
            { zone, state.cost, least, isRefused ? std::max(least, due) : scaling.max });
    }
    return options;
}

// With a single zone, no spot server counts, as all of them may be lost at once.
std::uint32_t ServerPlan::missingSpot(const std::vector<ZoneOption> &options) const
{
    if (options.size() == 1)
        return need_;
    std::uint64_t available = 0;
    for (const auto &option : options) {
        const auto &present = zones_.at(option.zone).present;
        const bool isRefused = present.isRefused[ServerKind::Spot];
        available += isRefused ? present.due[ServerKind::Spot] : option.most;
    }
    return available >= need_ ? 0 : need_ - static_cast<std::uint32_t>(available);
}

void ServerPlan::planSpot(const PoolScaling &scaling, Instant now)
{
    const auto options = spotOptions(scaling);
    missing_.note(missingSpot(options), now);
    const auto regular = missing_.value();
    SpreadGoal goal { lessBy(need_, regular), lessBy(total_, regular) };
    if (options.size() == 1)
        goal.afterLoss = 0;
    const auto shares = spreadServers(options, goal);
    setTargets(ServerKind::Spot, shares, now);
    auto regulars = regularShares(regular, scaling, shares);
    for (const auto &[zone, state] : zones_) {
        if (state.present.isRefused[ServerKind::Spot]) {
            regulars[zone] =
                std::max(regulars[zone], lessBy(scaling.min, state.present.due[ServerKind::Spot]));
        }
    }
    setTargets(ServerKind::Regular, regulars, now);
    goal_ = sumOf(shares) + regular;
}

void ServerPlan::planRegularOnly(const PoolScaling &scaling, Instant now)
{
    std::vector<ZoneOption> options;
    for (const auto &[zone, state] : zones_) {
        const auto least = std::min(scaling.min, scaling.max);
        const auto due = std::min(state.present.due[ServerKind::Regular], scaling.max);
        const bool isRefused = state.present.isRefused[ServerKind::Regular];
        options.push_back(
            { zone, state.cost, least, isRefused ? std::max(least, due) : scaling.max });
    }
    const auto total = std::max(total_, need_);
    const auto even = static_cast<double>(total) / static_cast<double>(options.size());
    const auto largest = roundUp(kMaxRegularSkew * even, total);
    const auto shares = spreadServers(options, { total - largest, total });
    setTargets(ServerKind::Regular, shares, now);
    goal_ = sumOf(shares);
}

ServerPlan::Shares ServerPlan::regularShares(std::uint32_t count, const PoolScaling &scaling,
                                             const Shares &spot) const
{
    Shares shares;
    std::uint32_t sum = 0;
    for (const auto &[zone, state] : zones_) {
        shares[zone] = wanted_.at(zone)[ServerKind::Regular];
        sum += shares[zone];
    }
    const auto zones = byCost();
    for (auto zone = zones.rbegin(); zone != zones.rend() && sum > count; ++zone) {
        const auto removed = std::min(shares[*zone], sum - count);
        shares[*zone] -= removed;
        sum -= removed;
    }
    for (bool isAdded = true; isAdded && sum < count;) {
        isAdded = false;
        for (const auto &zone : zones) {
            const auto &present = zones_.at(zone).present;
            const auto others = std::min(present.due[ServerKind::Spot], spot.at(zone));
            if (sum >= count || present.isRefused[ServerKind::Regular]
                || shares[zone] + others >= scaling.max) {
                continue;
            }
            ++shares[zone];
            ++sum;
            isAdded = true;
        }
    }
    return shares;
}

void ServerPlan::setTargets(ServerKind kind, const Shares &shares, Instant now)
{
    for (const auto &[zone, count] : shares)
        zones_[zone].kinds[kind].target.note(count, now);
}

void ServerPlan::increase(const PoolScaling &scaling)
{
    isRoomShort_ = false;
    // Regular servers come first: they are wanted only if there are no spot servers.
    for (const auto kind : kServerKinds) {
        const auto other = otherKind(kind);
        for (auto &[zone, state] : zones_) {
            auto &wanted = wanted_[zone];
            const auto target = state.kinds[kind].target.value();
            if (target <= wanted[kind])
                continue;
            const auto due = state.present.due[other];
            if (kind == ServerKind::Regular && state.present.isRefused[other])
                wanted[other] = std::min(wanted[other], std::max(due, lessBy(scaling.max, target)));
            const auto taken = std::max(wanted[other], due);
            const auto count = std::min(target, lessBy(scaling.max, taken));
            isRoomShort_ = isRoomShort_ || count < target;
            if (count <= wanted[kind])
                continue;
            wanted[kind] = count;
            state.kinds[kind].isOrdered = true;
        }
    }
}

std::uint32_t ServerPlan::settled(const AvailabilityZone &zone, ServerKind kind) const
{
    return std::min(zones_.at(zone).kinds[kind].live.value(), wanted_.at(zone)[kind]);
}

std::uint32_t ServerPlan::settledOf(ServerKind kind) const
{
    std::uint32_t sum = 0;
    for (const auto &[zone, state] : zones_)
        sum += settled(zone, kind);
    return sum;
}

// All spot servers that fit beside the regular ones are there; the spare servers must be given up
// for the next ones, else the two kinds would wait for each other for ever.
bool ServerPlan::isStuck() const
{
    return isRoomShort_ && settledOf(ServerKind::Spot) >= sumOf(wanted_, ServerKind::Spot);
}

void ServerPlan::decrease(const PoolScaling &scaling, Instant now)
{
    const auto floor = isStuck() ? need_ : std::max(goal_, total_);
    const auto settledAll = settledOf(ServerKind::Regular) + settledOf(ServerKind::Spot);
    if (settledAll < floor)
        keepLive(floor - settledAll, scaling.max);
    if (settledAll < floor || now - *steppedAt_ < kStepTime)
        return;
    const auto spare = settledAll - floor;
    const auto step = std::max(1U, roundUp(kStepShare * goal_, goal_));
    auto allowance = std::min(spare, step);
    const auto before = wanted_;
    decreaseKind(ServerKind::Regular, scaling.min, allowance);
    decreaseKind(ServerKind::Spot, scaling.min, allowance);
    if (wanted_ != before)
        steppedAt_ = now;
}

// A plan that was continued and servers that came late may add up to more than a zone may have.
void ServerPlan::limitZones(std::uint32_t max)
{
    for (auto &[zone, wanted] : wanted_) {
        for (const auto kind : kServerKinds) {
            const auto excess = lessBy(wanted[kind] + wanted[otherKind(kind)], max);
            const auto live = zones_.at(zone).present.live[kind];
            wanted[kind] -= std::min(excess, lessBy(wanted[kind], live));
        }
    }
}

// Takes removals back that have not been carried out, as other servers were lost in the meantime.
void ServerPlan::keepLive(std::uint32_t count, std::uint32_t max)
{
    for (auto &[zone, state] : zones_) {
        auto &wanted = wanted_[zone];
        for (const auto kind : kServerKinds) {
            const auto other = otherKind(kind);
            const auto room = lessBy(max, wanted[kind] + state.present.live[other]);
            const auto kept =
                std::min({ count, room, lessBy(state.present.live[kind], wanted[kind]) });
            if (kept == 0)
                continue;
            wanted[kind] += kept;
            wanted[other] = std::min(wanted[other], lessBy(max, wanted[kind]));
            count -= kept;
        }
    }
}

void ServerPlan::decreaseKind(ServerKind kind, std::uint32_t min, std::uint32_t &allowance)
{
    auto zones = byCost();
    std::reverse(zones.begin(), zones.end());
    for (const auto &zone : zones) {
        auto &state = zones_.at(zone).kinds[kind];
        auto &wanted = wanted_.at(zone)[kind];
        const auto target =
            std::max(state.target.value(), lessBy(min, settled(zone, otherKind(kind))));
        if (wanted <= target)
            continue;
        // The platform chooses which servers leave: as many live ones as possible are assumed.
        const auto live = settled(zone, kind);
        const auto removed =
            allowance >= live ? wanted - target : std::min(wanted - target, allowance);
        if (removed == 0)
            continue;
        allowance -= std::min(removed, live);
        wanted -= removed;
        state.isOrdered = true;
    }
}

} // namespace crocusport
