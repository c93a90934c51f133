#include "poolschedulerprivate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusport {

namespace {

//! Requests are also long if the p90 of their service time is above this multiple of the threshold,
//! because a low mean can hide a long tail.
constexpr int kLongTailFactor = 2;
//! The expected service time of a waiting request is replaced if the current estimate differs from
//! it by more than this share.
constexpr double kEstimateTolerance = 0.25;
//! Each decision checks this many waiting requests again, so that its cost does not grow with the
//! queue.
constexpr int kReviewsPerDecision = 2;
//! Pools with fewer slots than this keep no slot free for tier 1; other pools keep at
//! least one.
constexpr std::uint32_t kMinSlotsForReserve = 4;
constexpr Duration kCrashExpiryInterval = std::chrono::minutes(1);

//! Returns the time between the arrival of \a record and its deadline.
Duration allowanceOf(const RequestRecord &record)
{
    return std::max(record.deadline - record.arrived, Duration::zero());
}

/*!
    Returns the service time that is assumed for \a record when its deadline is checked: the
    expected one, but at most half of the time between its arrival and its deadline. Without this
    limit, an estimate above the time that callers allow would refuse every request of the class.
    None would complete then, and the estimate would never be corrected.
*/
Duration neededTime(const RequestRecord &record)
{
    return std::min(record.expected, allowanceOf(record) / 2);
}

std::uint32_t shareOf(std::uint32_t slots, double share)
{
    return static_cast<std::uint32_t>(std::max(1L, std::lround(share * slots)));
}

} // namespace

PoolScheduler::Private::Private(const PoolPolicy &poolPolicy, std::uint64_t seed) : placement_(seed)
{
    setPolicy(poolPolicy);
}

void PoolScheduler::Private::setPolicy(const PoolPolicy &newPolicy)
{
    policy = newPolicy;
    servers.setLongShare(policy.longShare);
    changed = true;
}

RequestRecord &PoolScheduler::Private::createRecord(const SlotRequest &request, Instant now)
{
    auto &record = requests.create(request.request);
    record.router = request.router;
    record.tier = Tier(std::clamp(request.tier.value(), kUrgentTier, kLowestTier));
    record.team = teams_.indexOf(request.team);
    record.requestClass = classes_.indexOf(request.requestClass);
    record.zone = servers.zoneOf(request.zone);
    record.arrived = std::min(request.arrived, now);
    record.deadline = request.deadline;
    record.prefix = request.prefix;
    record.fingerprint = request.fingerprint;
    record.excluded = request.excluded;
    updateEstimate(record);
    return record;
}

void PoolScheduler::Private::updateEstimate(RequestRecord &record)
{
    const auto estimate = serviceTimes_.estimate(record.requestClass, record.team);
    const bool isLong = estimate.mean > policy.longThreshold
        || estimate.p90 > policy.longThreshold * kLongTailFactor;
    record.expected = estimate.mean;
    record.measured = estimate.measured;
    record.length = isLong ? RequestLength::Long : RequestLength::Short;
    record.latestStart = record.deadline - 2 * record.expected;
    record.dueAt = std::min(record.latestStart, record.arrived + policy.floorAfter);
    record.expiresAt = record.deadline - neededTime(record);
}

bool PoolScheduler::Private::isEstimateOutdated(const RequestRecord &record) const
{
    const auto current = serviceTimes_.estimate(record.requestClass, record.team);
    const auto difference = std::chrono::abs(current.mean - record.expected);
    return static_cast<double>(difference.count())
        > kEstimateTolerance * static_cast<double>(record.expected.count());
}

void PoolScheduler::Private::enqueue(RequestRecord &record)
{
    estimator_.add(record);
    queue_.insert(record);
    reviews_.push_back(record);
}

void PoolScheduler::Private::dequeue(RequestRecord &record)
{
    estimator_.remove(record);
    queue_.erase(record);
    record.reviewHook.unlink();
}

void PoolScheduler::Private::occupy(RequestRecord &record, ServerIndex server)
{
    record.server = server;
    record.serverStart = servers.at(server).server.start;
    record.running = true;
    servers.occupy(record);
    estimator_.add(record);
    lowerRunning_ += record.isUrgent() ? 0 : 1;
}

void PoolScheduler::Private::submit(const SlotRequest &request, Instant now)
{
    if (requests.find(request.request) != nullptr)
        return;
    auto &record = createRecord(request, now);
    changed = true;
    if (request.runningOn) {
        record.crashSuspect = crashes_.isCrashSuspect(record.fingerprint);
        occupy(record, servers.indexOf(*request.runningOn));
        return;
    }
    enqueue(record);
    newRequests_.push_back(record);
}

void PoolScheduler::Private::remove(RequestRecord &record)
{
    if (record.running) {
        servers.vacate(record);
        estimator_.remove(record);
        lowerRunning_ -= record.isUrgent() ? 0 : 1;
    } else {
        dequeue(record);
    }
    requests.remove(record);
    changed = true;
}

void PoolScheduler::Private::addMeasurements(const RequestRecord &record,
                                             const SlotRelease &release)
{
    if (release.reason != ReleaseReason::Completed || release.serviceTime <= Duration::zero())
        return;
    serviceTimes_.add(record.requestClass, record.team, release.serviceTime);
    // Latencies from before a restart of the server say nothing about the server as it runs now.
    if (record.serverStart != servers.at(record.server).server.start)
        return;
    latencies_.add(record.server, record.serverStart, record.requestClass, release);
}

void PoolScheduler::Private::release(const SlotRelease &release, Instant now)
{
    auto *const record = requests.find(release.request);
    if (record == nullptr || !record->running)
        return;
    servers.advance(now);
    addMeasurements(*record, release);
    if (release.reason == ReleaseReason::Crashed)
        recordCrash(*record, now);
    else if (release.reason == ReleaseReason::Completed)
        clearCrashes(record->fingerprint);
    remove(*record);
}

void PoolScheduler::Private::recordCrash(const RequestRecord &record, Instant now)
{
    const auto &server = servers.at(record.server);
    const auto crash = crashId(server.server.name, record.serverStart);
    if (record.crashSuspect)
        crashes_.attribute(record.fingerprint, crash, now);
    else if (server.suspectsRunning == 0)
        crashes_.add(record.fingerprint, crash, now);
    crashesChanged_ = true;
    setCrashSuspect(record.fingerprint, crashes_.isCrashSuspect(record.fingerprint));
}

void PoolScheduler::Private::addCrashReport(Fingerprint fingerprint, const std::string &crash,
                                            Instant now)
{
    crashes_.add(fingerprint, crash, now);
    crashesChanged_ = true;
    changed = true;
    setCrashSuspect(fingerprint, crashes_.isCrashSuspect(fingerprint));
}

void PoolScheduler::Private::clearCrashes(Fingerprint fingerprint)
{
    if (!crashes_.isCrashSuspect(fingerprint))
        return;
    crashes_.clear(fingerprint);
    setCrashSuspect(fingerprint, false);
}

void PoolScheduler::Private::setCrashSuspect(Fingerprint fingerprint, bool crashSuspect)
{
    const auto toChange = requests.select([&](const RequestRecord &record) {
        return record.running && record.crashSuspect != crashSuspect
            && record.fingerprint == fingerprint;
    });
    for (auto *const record : toChange)
        servers.setCrashSuspect(*record, crashSuspect);
}

void PoolScheduler::Private::refreshSlowFactors(Instant now)
{
    if (!latencies_.refreshMedians(servers, now))
        return;
    for (std::uint32_t i = 0; i < servers.entries().size(); ++i)
        servers.setSlowFactor(ServerIndex(i), latencies_.slowFactor(ServerIndex(i)));
}

void PoolScheduler::Private::expireCrashes(Instant now)
{
    if (now < nextCrashExpiry_)
        return;
    crashes_.expire(now);
    nextCrashExpiry_ = now + kCrashExpiryInterval;
}

PoolCapacity PoolScheduler::Private::capacity() const
{
    const auto slots = servers.slots();
    return { .slots = slots,
             .longSlots = servers.longSlots(),
             .dueSlots = shareOf(slots, policy.backgroundShare),
             .reservedSlots =
                 slots < kMinSlotsForReserve ? 0 : shareOf(slots, policy.urgentReserve),
             .slotsNotUsedByUrgent = servers.slotsNotUsedByUrgent(),
             .longSlotsNotUsedByUrgent = servers.longSlotsNotUsedByUrgent() };
}

QueueEstimate PoolScheduler::Private::estimate(const RequestRecord &record, Instant now) const
{
    if (record.running)
        return {};
    const auto ahead = queue_.tier(record.tierIndex())
                           .workAheadInTeam(record, estimator_.waitingWorkOfTeam(record));
    return estimator_.estimate(record, ahead, capacity(), now);
}

std::optional<Instant> PoolScheduler::Private::nextDecisionTime(Instant now) const
{
    if (changed)
        return now;
    auto next = queue_.nextEventTime();
    if (next && servers.nextEventTime())
        next = std::min(*next, *servers.nextEventTime());
    return next;
}

SchedulerDecisions PoolScheduler::Private::decide(Instant now)
{
    servers.advance(now);
    queue_.advance(now);
    refreshSlowFactors(now);
    expireCrashes(now);
    refuseSuspectedCrashCauses(now);
    refuseExpired(now);
    startAll(now);
    // Waiting requests that cannot meet their deadlines are refused before the wait of new requests
    // is estimated, because that estimate counts all waiting requests.
    review(now);
    admitNewRequests(now);
    changed = false;
    return std::exchange(decisions_, {});
}

bool PoolScheduler::Private::canRun(const RequestRecord &record) const
{
    if (record.excluded.size() < servers.presentCount())
        return true;
    auto names = record.excluded;
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    const auto excluded = std::count_if(names.begin(), names.end(),
                                        [&](const auto &name) { return servers.isPresent(name); });
    return static_cast<std::uint32_t>(excluded) < servers.presentCount();
}

std::optional<ResultCode> PoolScheduler::Private::refusalReason(const RequestRecord &record,
                                                                Duration slack, Instant now) const
{
    if (!canRun(record))
        return ResultCode::NoBackendServer;
    // Without measurements of the class, the estimate is a default, too inexact for a refusal.
    if (!record.measured)
        return std::nullopt;
    const auto tolerableWait = record.deadline - now - neededTime(record) + slack;
    if (servers.slots() == 0 && servers.nextAvailableTime().value_or(now) - now > tolerableWait)
        return ResultCode::DeadlineUnreachable;
    // The first estimate assumes that all waiting work of the team is ahead. This costs less than
    // the second, which finds out what is ahead.
    const auto teamWork = estimator_.waitingWorkOfTeam(record);
    if (estimator_.estimate(record, teamWork, capacity(), now).wait <= tolerableWait
        || estimate(record, now).wait <= tolerableWait)
        return std::nullopt;
    return ResultCode::DeadlineUnreachable;
}

Duration PoolScheduler::Private::retryAfter(const RequestRecord &record, Instant now) const
{
    // A new attempt has the full time between arrival and deadline again. So the caller has to wait
    // only for the part of the queue's wait that would not leave enough of this time for the
    // service.
    const auto wait = estimate(record, now).wait;
    const auto tolerableWait = allowanceOf(record) - neededTime(record);
    return std::max(wait - tolerableWait, estimator_.slotInterval(record, capacity()));
}

void PoolScheduler::Private::refuse(RequestRecord &record, ResultCode code, Duration retryAfter)
{
    decisions_.refusals.push_back({ .request = *record.id,
                                    .router = record.router,
                                    .pool = policy.name,
                                    .code = static_cast<int>(code),
                                    .retryAfter = retryAfter });
    remove(record);
}

void PoolScheduler::Private::refuseSuspectedCrashCauses(Instant now)
{
    const auto refuseIfSuspectedCause = [&](RequestRecord &record) {
        if (const auto until = crashes_.refusedUntil(record.fingerprint, now))
            refuse(record, ResultCode::SuspectedCrashCause, *until - now);
    };
    if (std::exchange(crashesChanged_, false)) {
        const auto isWaiting = [](const RequestRecord &record) { return !record.running; };
        for (auto *const record : requests.select(isWaiting))
            refuseIfSuspectedCause(*record);
        return;
    }
    for (auto it = newRequests_.begin(); it != newRequests_.end();)
        refuseIfSuspectedCause(*it++);
}

void PoolScheduler::Private::refuseExpired(Instant now)
{
    while (auto *const record = queue_.firstExpired(now))
        refuse(*record, ResultCode::DeadlinePassed, retryAfter(*record, now));
}

void PoolScheduler::Private::admitNewRequests(Instant now)
{
    refuseAboveBound(now);
    while (!newRequests_.empty()) {
        auto &record = newRequests_.front();
        newRequests_.pop_front();
        refuseIfCannotSucceed(record, Duration::zero(), now);
    }
}

void PoolScheduler::Private::refuseAboveBound(Instant now)
{
    for (std::size_t tier = 0; tier < kTierCount; ++tier) {
        // Tier-1 requests must not be refused because lower tiers occupy slots, so the bound of
        // tier 1 grows by one for each running request of a lower tier.
        const auto bound = policy.maxQueuedPerTier + (tier == 0 ? lowerRunning_ : 0);
        while (queue_.tier(tier).size() > bound) {
            // Refuses a request of the team with the most requests, so that this team cannot keep
            // others out of a full queue.
            auto &record = *queue_.lastOfLargestTeam(tier);
            refuse(record, ResultCode::QueueFull,
                   std::max(estimate(record, now).wait, retryAfter(record, now)));
        }
    }
}

void PoolScheduler::Private::refuseIfCannotSucceed(RequestRecord &record, Duration slack,
                                                   Instant now)
{
    if (const auto reason = refusalReason(record, slack, now))
        refuse(record, *reason, retryAfter(record, now));
}

void PoolScheduler::Private::review(Instant now)
{
    auto remaining = std::min<std::size_t>(kReviewsPerDecision, queue_.size());
    if (std::exchange(capacityFell, false))
        remaining = queue_.size();
    for (; remaining > 0 && !reviews_.empty(); --remaining) {
        auto &record = reviews_.front();
        reviews_.pop_front();
        reviews_.push_back(record);
        if (isEstimateOutdated(record)) {
            dequeue(record);
            updateEstimate(record);
            enqueue(record);
        }
        // The estimate counts the whole expected service time of running requests until they end,
        // so it falls only when one ends, while the time to the deadline shrinks steadily. Without
        // slack, a request that was just accepted would be refused.
        refuseIfCannotSucceed(record, record.expected, now);
    }
}

void PoolScheduler::Private::startAll(Instant now)
{
    while (startNext(now)) {
    }
    for (auto *const record : setAside_)
        queue_.restore(*record);
    setAside_.clear();
}

bool PoolScheduler::Private::startNext(Instant now)
{
    const auto hasSlot = [&] {
        return !servers.serversWithFreeSlot(RequestLength::Short).empty()
            || !servers.serversToProbe(RequestLength::Short).empty();
    };
    if (!hasSlot())
        return false;
    const auto limits = capacity();
    if (lowerRunning_ < limits.dueSlots && startFirst(Pick::LowerDue, now))
        return true;
    if (startFirst(Pick::Urgent, now))
        return true;
    return servers.freeSlots() > limits.reservedSlots && startFirst(Pick::Lower, now);
}

RequestRecord *PoolScheduler::Private::front(Pick pick)
{
    const bool hasLongSlot = !servers.serversWithFreeSlot(RequestLength::Long).empty()
        || !servers.serversToProbe(RequestLength::Long).empty();
    switch (pick) {
    case Pick::Urgent:
        return queue_.frontUrgent(hasLongSlot ? LaneFilter::Any : LaneFilter::Short);
    case Pick::Lower:
        return queue_.frontLower(hasLongSlot ? LaneFilter::Any : LaneFilter::Short);
    case Pick::LowerDue:
        return queue_.frontLower(hasLongSlot ? LaneFilter::Due : LaneFilter::DueShort);
    }
    return nullptr;
}

bool PoolScheduler::Private::startFirst(Pick pick, Instant now)
{
    while (auto *const record = front(pick)) {
        const bool crashSuspect = crashes_.isCrashSuspect(record->fingerprint);
        if (const auto server = placement_.choose(servers, *record, crashSuspect, now)) {
            start(*record, *server, crashSuspect);
            return true;
        }
        // No slot becomes free during a decision, so the request is not tried again in this one.
        queue_.setAside(*record);
        setAside_.push_back(record);
    }
    return false;
}

void PoolScheduler::Private::start(RequestRecord &record, ServerIndex server, bool crashSuspect)
{
    estimator_.remove(record);
    queue_.start(record);
    record.newRequestsHook.unlink();
    record.reviewHook.unlink();
    record.crashSuspect = crashSuspect;
    occupy(record, server);
    if (servers.at(server).slow)
        servers.noteProbe(server);
    placement_.noteStart(record);
    decisions_.grants.push_back({ .request = *record.id,
                                  .router = record.router,
                                  .pool = policy.name,
                                  .server = servers.at(server).server.name });
}

} // namespace crocusport
