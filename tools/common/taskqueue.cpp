#include "taskqueue.h"

#include <algorithm>

namespace crocusport {

TaskQueue::TaskQueue(EventLoop &loop) : timer_(loop, [this] { onTimer(); }) { }

void TaskQueue::runAt(Instant due, std::function<void()> task)
{
    const auto added = tasks_.emplace(std::pair(due, ++sequence_), std::move(task)).first;
    if (added == tasks_.begin())
        restartTimer();
}

void TaskQueue::runAfter(Duration delay, std::function<void()> task)
{
    runAt(monotonicNow() + delay, std::move(task));
}

void TaskQueue::suspendUntil(Instant end)
{
    suspendedUntil_ = end;
    restartTimer();
}

bool TaskQueue::isSuspended() const
{
    return monotonicNow() < suspendedUntil_;
}

void TaskQueue::onTimer()
{
    const auto now = monotonicNow();
    while (!tasks_.empty() && now >= suspendedUntil_ && tasks_.begin()->first.first <= now) {
        const auto task = std::move(tasks_.begin()->second);
        tasks_.erase(tasks_.begin());
        task();
    }
    restartTimer();
}

void TaskQueue::restartTimer()
{
    if (tasks_.empty()) {
        timer_.stop();
        return;
    }
    const auto due = std::max(tasks_.begin()->first.first, suspendedUntil_);
    timer_.startOnce(std::max(due - monotonicNow(), Duration::zero()));
}

} // namespace crocusport
