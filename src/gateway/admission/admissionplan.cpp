#include "admissionplan.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace crocusport {

namespace {

// A kind of requests counts as in use for this long. A router of a large fleet receives only a few
// requests per second.
constexpr Duration kKindRetentionTime = std::chrono::seconds(15);
// Pressure is measured again after this time; until then, this router's own requests are added.
constexpr Duration kMeasureInterval = std::chrono::milliseconds(5);
// Limits of the least urgent kind, in requests for each slot. With fewer requests, nearly every
// request finds a free slot. The width of the band makes the share of sent requests change slowly
// enough for reports that are delayed by up to half a second.
constexpr double kLowestBand = 0.92;
// Limits of kinds between the most and the least urgent one begin where those of the least urgent
// kind end.
constexpr double kMiddleBand = 1.04;
constexpr double kBandWidth = 0.12;
// Share of each kind that is sent up to kFloorLimit, so that no kind, team or session is excluded.
constexpr double kFloorShare = 0.2;
constexpr double kFloorLimit = 1.5;
// A request is never held while fewer than this share of the slots are taken.
constexpr double kNeverHeldShare = 0.5;
// Routers that have started hear the first loads within 0.3 s, and within this time if datagrams
// are lost or if there are no other routers.
constexpr Duration kStartTime = std::chrono::seconds(1);
// Waiting costs callers nothing up to an eighth of the objective.
constexpr double kFreeWaitShare = 1.0 / 8;
// Callers honour Retry-After up to a third of the time that they have left.
constexpr double kRetryShare = 1.0 / 3;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(500);
// Retry-After values that would be too long are spread over this last share of the longest one.
constexpr double kSpreadShare = 0.3;
constexpr double kMinEndsPerSecond = 0.1;
// Callers that come back do so within this time.
constexpr Duration kReturnTime = std::chrono::seconds(15);
constexpr std::size_t kMaxRefusals = 4096;

constexpr std::array<std::string_view, AdmissionPlan::kHoldReasonCount> kHoldReasonNames {
    "none", "pressure", "start", "too_late"
};

Duration scale(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

Duration seconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

double admissionDraw(std::string_view requestId)
{
    constexpr double kRange = 4294967296.0;
    return XXH32(requestId.data(), requestId.size(), 0) / kRange;
}

std::string_view holdReasonName(HoldReason reason)
{
    return kHoldReasonNames.at(static_cast<std::size_t>(reason));
}

void AdmissionPlan::setFleet(std::size_t routerCount, bool hasReports, Instant now)
{
    if (!startedAt_)
        startedAt_ = now;
    routerCount_ = std::max<std::size_t>(routerCount, 1);
    areLoadsUnknown_ = routerCount_ > 1 && !hasReports && now - *startedAt_ < kStartTime;
}

double AdmissionPlan::noteArrival(const AdmissionFacts &facts, Instant now, Duration work)
{
    auto &kind = pools_[facts.pool].kinds[facts.urgency];
    kind.seenAt = now;
    kind.target = facts.target;
    kind.teams.note(facts.team, work, now);
    counts_.returned += facts.isReturned ? 1 : 0;
    return kind.teams.factor(facts.team, now);
}

bool AdmissionPlan::isReturned(Fingerprint fingerprint, Instant now) const
{
    const auto refusal = refusals_.find(fingerprint);
    return refusal != refusals_.end() && now - refusal->second <= kReturnTime;
}

const PoolPressure &AdmissionPlan::pressure(const PoolName &name, Instant now)
{
    auto &pool = pools_[name];
    if (!pool.measuredAt || now - *pool.measuredAt >= kMeasureInterval) {
        pool.pressure = measurePressure(directory_.pool(name), now);
        pool.measuredAt = now;
    }
    return pool.pressure;
}

UrgencyPosition AdmissionPlan::position(const AdmissionFacts &facts, Instant now) const
{
    UrgencyPosition position;
    const auto pool = pools_.find(facts.pool);
    if (pool == pools_.end())
        return position;
    for (const auto &[urgency, kind] : pool->second.kinds) {
        if (now - kind.seenAt > kKindRetentionTime)
            continue;
        position.moreUrgent += urgency < facts.urgency ? 1 : 0;
        position.lessUrgent += urgency > facts.urgency ? 1 : 0;
    }
    return position;
}

double AdmissionPlan::limit(const AdmissionFacts &facts, Instant now) const
{
    const auto position = this->position(facts, now);
    // Nothing more urgent would be delayed; only the limits of the servers hold.
    if (position.moreUrgent == 0)
        return std::numeric_limits<double>::infinity();
    if (facts.draw < kFloorShare)
        return kFloorLimit;
    const double band = position.lessUrgent == 0 ? kLowestBand : kMiddleBand;
    const double place = facts.isReturned ? 1 : 1 - facts.draw;
    return band + kBandWidth * place * facts.teamFactor;
}

// The hold ends by itself, so that no request is refused while servers may have free slots.
bool AdmissionPlan::exceedsStartShare(const AdmissionFacts &facts, Instant now)
{
    if (!areLoadsUnknown_ || now - facts.arrival >= scale(facts.target, kFreeWaitShare))
        return false;
    const auto &state = pressure(facts.pool, now);
    return state.own >= std::max(1.0, state.slots / static_cast<double>(routerCount_));
}

HoldReason AdmissionPlan::hold(const AdmissionFacts &facts, Instant now)
{
    if (exceedsStartShare(facts, now))
        return HoldReason::Start;
    const auto share = pressure(facts.pool, now).share();
    if (share < kNeverHeldShare)
        return HoldReason::None;
    if (share >= limit(facts, now))
        return HoldReason::Pressure;
    return HoldReason::None;
}

void AdmissionPlan::noteSent(const AdmissionFacts &facts, Instant now)
{
    const auto position = this->position(facts, now);
    const double band = position.lessUrgent == 0 ? kLowestBand : kMiddleBand;
    auto &pool = pools_[facts.pool];
    if (position.moreUrgent > 0 && pool.pressure.share() >= band)
        ++counts_.sentUnderPressure;
    pool.pressure.own += 1;
    pool.pressure.requests += 1;
}

Duration AdmissionPlan::expectedWait(const AdmissionFacts &facts, Instant now)
{
    const auto &state = pressure(facts.pool, now);
    const double excess = state.requests - std::min(limit(facts, now), kFloorLimit) * state.slots;
    return seconds(std::max(excess, 0.0) / std::max(state.endsPerSecond, kMinEndsPerSecond));
}

Duration AdmissionPlan::refuse(const AdmissionFacts &facts, HoldReason reason,
                               std::size_t routerCount, Instant now)
{
    ++counts_.refused.at(static_cast<std::size_t>(reason));
    if (refusals_.size() < kMaxRefusals)
        refusals_[facts.fingerprint] = now;
    const auto longest = scale(std::max(facts.deadline - now, Duration::zero()), kRetryShare);
    const auto wait = std::max<Duration>(expectedWait(facts, now), kMinRetryAfter);
    const auto &state = pressure(facts.pool, now);
    const auto spacing = seconds(static_cast<double>(std::max<std::size_t>(routerCount, 1))
                                 / std::max(state.endsPerSecond, kMinEndsPerSecond));
    auto &next = pools_[facts.pool].nextReturn;
    const auto at = std::max(now + wait, next);
    // Requests of other routers are due in the same interval.
    const auto after = at + scale(spacing, facts.draw) - now;
    if (after > longest)
        return scale(longest, 1 - kSpreadShare * facts.draw);
    next = at + spacing;
    return after;
}

void AdmissionPlan::expire(Instant now)
{
    std::erase_if(refusals_, [&](const auto &item) { return now - item.second > kReturnTime; });
    for (auto &[name, pool] : pools_) {
        for (auto &[urgency, kind] : pool.kinds)
            kind.teams.expire(now);
        std::erase_if(pool.kinds, [&](const auto &item) {
            return now - item.second.seenAt > kKindRetentionTime;
        });
    }
    std::erase_if(pools_, [&](const auto &item) { return item.second.kinds.empty(); });
}

} // namespace crocusport
