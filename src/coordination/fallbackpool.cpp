#include "fallbackpool.h"

#include <utility>

namespace crocusport {

namespace {

//! A pool is kept for this long after the last request was added, because building its scheduler
//! anew takes time for each running request.
constexpr Duration kIdleTime = std::chrono::seconds(10);

} // namespace

FallbackPool::FallbackPool(AnyScheduler scheduler, std::size_t limit)
    : scheduler_(std::move(scheduler)), limit_(limit)
{ }

bool FallbackPool::isIdle(Instant now) const
{
    return waiting_.empty() && scheduler_.waitingCount() == 0 && now - usedAt_ >= kIdleTime;
}

void FallbackPool::add(const SlotRequest &request, Instant now)
{
    isChanged_ = true;
    usedAt_ = now;
    const Rank rank { request.tier, request.arrived, request.request };
    if (ranks_.emplace(request.request, rank).second)
        waiting_.emplace(rank, request);
}

void FallbackPool::addRunning(const SlotRequest &request, Instant now)
{
    isChanged_ = true;
    scheduler_.submit(request, now);
}

void FallbackPool::remove(const RequestId &request, Instant now)
{
    isChanged_ = true;
    if (const auto found = ranks_.find(request); found != ranks_.end()) {
        waiting_.erase(found->second);
        ranks_.erase(found);
    }
    scheduled_.erase(request);
    scheduler_.cancel(request, now);
}

SchedulerDecisions FallbackPool::run(Instant now)
{
    const auto next = scheduler_.nextDecisionTime(now);
    if (!isChanged_ && !(next && *next <= now))
        return {};
    isChanged_ = false;
    while (!waiting_.empty() && scheduled_.size() < limit_) {
        const auto first = waiting_.begin();
        scheduler_.submit(first->second, now);
        scheduled_.insert(first->second.request);
        ranks_.erase(first->second.request);
        waiting_.erase(first);
    }
    auto decisions = scheduler_.decide(now);
    for (const auto &refusal : decisions.refusals)
        scheduled_.erase(refusal.request);
    if (!decisions.refusals.empty() && !waiting_.empty())
        isChanged_ = true;
    return decisions;
}

std::optional<Instant> FallbackPool::nextRunTime(Instant now) const
{
    return isChanged_ ? std::optional(now) : scheduler_.nextDecisionTime(now);
}

} // namespace crocusport
