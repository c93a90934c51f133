#include "heldpool.h"

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

//! A request of another router is removed when it has not been repeated for this long. Routers
//! repeat running requests every 10 s and waiting ones at least every 16 s, so a request is removed
//! only when at least two repeats in succession were lost.
constexpr Duration kEntryLease = std::chrono::seconds(40);
constexpr Duration kLeaseCheckInterval = std::chrono::seconds(5);

} // namespace

HeldPool::HeldPool(const RouterName &self, AnyScheduler scheduler, Instant graceUntil)
    : self_(self), scheduler_(std::move(scheduler)), graceUntil_(graceUntil)
{ }

void HeldPool::submit(const SlotRequest &request, Instant now)
{
    isChanged_ = true;
    const auto found = entries_.find(request.request);
    if (found != entries_.end()) {
        if (found->second.router == request.router)
            repeat(found->second, request, now);
        return;
    }
    entries_[request.request] = { request.router, request.runningOn, request.excluded.size(), now };
    queue(request, now);
}

void HeldPool::queue(const SlotRequest &request, Instant now)
{
    if (request.runningOn) {
        scheduler_.submit(request, now);
        return;
    }
    if (now < graceUntil_ && request.tier.value() > kUrgentTier)
        deferred_.push_back(request);
    else
        scheduler_.submit(request, now);
    unacknowledged_.push_back(request.request);
}

void HeldPool::repeat(Entry &entry, const SlotRequest &request, Instant now)
{
    entry.refreshedAt = now;
    // A late message of an older attempt does not describe the current attempt.
    if (request.excluded.size() < entry.excludedCount)
        return;
    const bool isNewAttempt = request.excluded.size() > entry.excludedCount;
    if (request.runningOn ? entry.server == request.runningOn && !isNewAttempt : !isNewAttempt) {
        if (!request.runningOn && entry.server)
            repeatedGrants_.push_back(
                { request.request, request.router, request.pool, *entry.server });
        else if (!request.runningOn)
            unacknowledged_.push_back(request.request);
        return;
    }
    // Either the request runs on a server that this holder did not grant, or it is a new attempt
    // and the release of the previous attempt was lost or is late.
    withdraw(request.request, now);
    entry.server = request.runningOn;
    entry.excludedCount = request.excluded.size();
    queue(request, now);
}

void HeldPool::withdraw(const RequestId &request, Instant now)
{
    scheduler_.cancel(request, now);
    std::erase_if(deferred_, [&](const auto &deferred) { return deferred.request == request; });
}

void HeldPool::release(const RouterName &from, const SlotRelease &release, Instant now)
{
    const auto found = entries_.find(release.request);
    if (found == entries_.end() || found->second.router != from
        || found->second.server != release.server)
        return;
    isChanged_ = true;
    scheduler_.release(release, now);
    entries_.erase(found);
}

void HeldPool::cancel(const RouterName &from, const RequestId &request, Instant now)
{
    const auto found = entries_.find(request);
    if (found == entries_.end() || found->second.router != from)
        return;
    isChanged_ = true;
    withdraw(request, now);
    entries_.erase(found);
}

void HeldPool::removeRouter(const RouterName &router, Instant now)
{
    isChanged_ = true;
    scheduler_.removeRouter(router, now);
    std::erase_if(deferred_, [&](const auto &deferred) { return deferred.router == router; });
    std::erase_if(entries_, [&](const auto &entry) { return entry.second.router == router; });
}

void HeldPool::endGrace(Instant now)
{
    if (deferred_.empty() || now < graceUntil_)
        return;
    for (const auto &request : std::exchange(deferred_, {}))
        scheduler_.submit(request, now);
    isChanged_ = true;
}

void HeldPool::expireEntries(Instant now)
{
    if (checkedAt_ && now - *checkedAt_ < kLeaseCheckInterval)
        return;
    const auto elapsed = checkedAt_ ? now - *checkedAt_ : Duration {};
    // If this router was paused, repeats that arrived meanwhile may not have been read yet. The
    // pause does not count towards the lease of any entry.
    const auto pause = elapsed > 2 * kLeaseCheckInterval ? elapsed : Duration {};
    checkedAt_ = now;
    for (auto it = entries_.begin(); it != entries_.end();) {
        Entry &entry = it->second;
        entry.refreshedAt = std::min(entry.refreshedAt + pause, now);
        if (entry.router == self_ || now - entry.refreshedAt < kEntryLease) {
            ++it;
            continue;
        }
        withdraw(it->first, now);
        isChanged_ = true;
        it = entries_.erase(it);
    }
}

HeldPoolDecisions HeldPool::run(Instant now)
{
    expireEntries(now);
    endGrace(now);
    HeldPoolDecisions decisions;
    const auto next = scheduler_.nextDecisionTime(now);
    if (isChanged_ || (next && *next <= now)) {
        isChanged_ = false;
        auto decided = scheduler_.decide(now);
        decisions.grants = std::move(decided.grants);
        decisions.refusals = std::move(decided.refusals);
    }
    for (const auto &grant : decisions.grants) {
        const auto found = entries_.find(grant.request);
        if (found != entries_.end())
            found->second.server = grant.server;
    }
    for (const auto &refusal : decisions.refusals)
        entries_.erase(refusal.request);
    for (auto &grant : std::exchange(repeatedGrants_, {})) {
        const auto found = entries_.find(grant.request);
        if (found != entries_.end() && found->second.server == grant.server)
            decisions.grants.push_back(std::move(grant));
    }
    for (const auto &request : std::exchange(unacknowledged_, {})) {
        const auto found = entries_.find(request);
        if (found == entries_.end() || found->second.server || found->second.router == self_)
            continue;
        const auto estimate = scheduler_.estimate(request, now);
        decisions.queued.emplace_back(
            found->second.router, SlotQueuedMessage { request, estimate.position, estimate.wait });
    }
    return decisions;
}

std::optional<Instant> HeldPool::nextRunTime(Instant now) const
{
    if (isChanged_ || !unacknowledged_.empty() || !repeatedGrants_.empty())
        return now;
    auto next = scheduler_.nextDecisionTime(now);
    const auto consider = [&](Instant time) { next = next ? std::min(*next, time) : time; };
    if (!deferred_.empty())
        consider(graceUntil_);
    if (!entries_.empty())
        consider(checkedAt_.value_or(now) + kLeaseCheckInterval);
    return next;
}

} // namespace crocusport
