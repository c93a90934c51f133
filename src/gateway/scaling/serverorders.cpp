#include "serverorders.h"

#include <algorithm>

namespace crocusport {

namespace {

constexpr std::array<std::string_view, kOrderOutcomeCount> kOutcomeNames {
    "accepted", "none_available", "rate_limited", "unanswered", "fenced"
};

// Time after an accepted order in which the entries may differ, beside the boot time: servers
// register and the change reaches the router's copy of the store.
constexpr Duration kEntryMargin = std::chrono::seconds(2);
// An order without a response is repeated after this time, and at most once a second after that.
constexpr Duration kRepeatTime = std::chrono::seconds(1);
// Orders without a response are carried out up to some seconds later. When the entries have matched
// for this time, none is expected any more.
constexpr Duration kDoubtTime = std::chrono::seconds(4);

} // namespace

std::string_view orderOutcomeName(OrderOutcome outcome)
{
    return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

void ServerOrders::update(const ServerCounts &wanted, const PresentServers &present,
                          const PoolScaling &scaling, Instant now)
{
    bootTime_ = scaling.bootTime;
    max_ = scaling.max;
    std::erase_if(zones_, [&wanted](const auto &item) { return !wanted.contains(item.first); });
    for (const auto &[zone, counts] : wanted) {
        auto &zoneState = zones_[zone];
        expire(zoneState, now);
        const auto found = present.find(zone);
        for (const auto kind : kServerKinds) {
            auto &state = zoneState.kinds[kind];
            state.wanted = counts[kind];
            state.live = found == present.end() ? 0 : found->second.live[kind];
            if (state.live != state.wanted)
                state.matchedSince.reset();
            else if (!state.matchedSince)
                state.matchedSince = now;
            if (state.matchedSince && state.outcome != OrderOutcome::Unanswered
                && now - std::max(*state.matchedSince, state.outcomeAt) >= kDoubtTime) {
                state.isDoubtful = false;
            }
        }
    }
}

void ServerOrders::expire(ZoneState &zone, Instant now)
{
    if (!zone.underWay)
        return;
    auto &state = zone.kinds[*zone.underWay];
    if (now - state.sentAt < kOutcomeTime)
        return;
    zone.underWay.reset();
    state.outcome = OrderOutcome::Unanswered;
    state.outcomeAt = now;
    state.isDoubtful = true;
}

// A smaller number of the other kind may be wanted, but not be accepted yet: orders of a zone are
// under way one after the other, and the platform counts both kinds together.
bool ServerOrders::hasRoom(const ZoneState &zone, ServerKind kind) const
{
    const auto &state = zone.kinds[kind];
    const auto &other = zone.kinds[otherKind(kind)];
    auto taken = std::max({ other.wanted, other.live, other.accepted.value_or(0) });
    if (other.outcome == OrderOutcome::Unanswered)
        taken = std::max(taken, *other.sent);
    return state.wanted <= std::max(state.live, state.accepted.value_or(0))
        || state.wanted + taken <= max_;
}

bool ServerOrders::isDue(const ZoneState &zone, ServerKind kind, Instant now) const
{
    const auto &state = zone.kinds[kind];
    const bool isChanged = state.sent ? *state.sent != state.wanted : state.live != state.wanted;
    if (now < state.refusedUntil) {
        const bool isLess =
            state.wanted < state.live || (state.accepted && state.wanted < *state.accepted);
        return isChanged && isLess;
    }
    return (isChanged || isRepeatDue(state, now)) && hasRoom(zone, kind);
}

bool ServerOrders::isRepeatDue(const KindState &state, Instant now) const
{
    if (!state.sent)
        return false;
    const auto elapsed = now - state.outcomeAt;
    if (state.outcome == OrderOutcome::RateLimited || state.outcome == OrderOutcome::Fenced)
        return true; // The order has had no effect.
    if (state.outcome == OrderOutcome::Unanswered)
        return elapsed >= kRepeatTime;
    if (state.live == state.wanted)
        return false;
    if (state.outcome == OrderOutcome::NoneAvailable)
        return true; // The refusal has ended.
    const bool isBooting = state.live < state.wanted && !state.isDoubtful;
    return elapsed >= (isBooting ? bootTime_ + kEntryMargin : kEntryMargin);
}

std::optional<ServerOrder> ServerOrders::next(Instant now) const
{
    std::optional<ServerOrder> best;
    std::pair<bool, Instant> bestRank;
    for (const auto &[zone, zoneState] : zones_) {
        if (zoneState.underWay)
            continue;
        for (const auto kind : kServerKinds) {
            const auto &state = zoneState.kinds[kind];
            if (!isDue(zoneState, kind, now))
                continue;
            const std::pair rank(state.wanted <= state.live, state.sentAt);
            if (best && bestRank <= rank)
                continue;
            best = ServerOrder { pool_, zone, kind == ServerKind::Spot, state.wanted };
            bestRank = rank;
        }
    }
    return best;
}

void ServerOrders::noteSent(const ServerOrder &order, Instant now)
{
    const auto found = zones_.find(order.zone);
    if (found == zones_.end())
        return;
    const auto kind = order.isSpot ? ServerKind::Spot : ServerKind::Regular;
    auto &state = found->second.kinds[kind];
    state.sent = order.count;
    state.sentAt = now;
    found->second.underWay = kind;
}

void ServerOrders::noteOutcome(const ServerOrder &order, OrderOutcome outcome, Instant now)
{
    const auto found = zones_.find(order.zone);
    if (found == zones_.end())
        return;
    const auto kind = order.isSpot ? ServerKind::Spot : ServerKind::Regular;
    auto &state = found->second.kinds[kind];
    if (found->second.underWay == kind)
        found->second.underWay.reset();
    state.outcome = outcome;
    state.outcomeAt = now;
    switch (outcome) {
    case OrderOutcome::Accepted:
        if (order.count < std::max(state.live, state.accepted.value_or(0)))
            state.reducedAt = now;
        state.accepted = order.count;
        state.dueUntil = now + bootTime_ + kEntryMargin;
        state.refusal = {};
        break;
    case OrderOutcome::NoneAvailable:
        refuse(state, now);
        // The platform has fewer than were asked for, as it has taken some away.
        if (state.accepted)
            state.accepted = std::min(*state.accepted, order.count);
        break;
    case OrderOutcome::RateLimited:
    case OrderOutcome::Fenced:
        break;
    case OrderOutcome::Unanswered:
        state.isDoubtful = true;
        break;
    }
}

void ServerOrders::noteReclaimed(const AvailabilityZone &zone, Instant now)
{
    auto &state = zones_[zone].kinds[ServerKind::Spot];
    if (state.reducedAt && now - *state.reducedAt < kDrainTime)
        return;
    state.refusedUntil = std::max(state.refusedUntil, now + kMinRefusal);
    state.dueUntil = now;
}

void ServerOrders::refuse(KindState &state, Instant now)
{
    state.refusal = std::clamp(2 * state.refusal, kMinRefusal, kMaxRefusal);
    state.refusedUntil = now + state.refusal;
}

bool ServerOrders::isRefused(const AvailabilityZone &zone, ServerKind kind, Instant now) const
{
    const auto found = zones_.find(zone);
    return found != zones_.end() && now < found->second.kinds[kind].refusedUntil;
}

std::uint32_t ServerOrders::due(const AvailabilityZone &zone, ServerKind kind, Instant now) const
{
    const auto found = zones_.find(zone);
    if (found == zones_.end())
        return 0;
    const auto &state = found->second.kinds[kind];
    return now < state.dueUntil ? state.accepted.value_or(0) : 0;
}

} // namespace crocusport
