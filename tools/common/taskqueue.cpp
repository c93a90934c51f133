#include "taskqueue.h"

#include <algorithm>

namespace crocusport {

namespace {

// Tasks due within this time run together: at 20,000 tasks per second, a wake-up for each one would
// cost more than the tasks.
constexpr Duration kShortestDelay = std::chrono::microseconds(250);

} // namespace

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
    isRunning_ = true;
    while (!tasks_.empty() && now >= suspendedUntil_ && tasks_.begin()->first.first <= now) {
        const auto task = std::move(tasks_.begin()->second);
        tasks_.erase(tasks_.begin());
        task();
    }
    isRunning_ = false;
    restartTimer();
}

void TaskQueue::restartTimer()
{
    if (isRunning_)
        return;
    if (tasks_.empty()) {
        timer_.stop();
        return;
    }
    const auto due = std::max(tasks_.begin()->first.first, suspendedUntil_);
    timer_.startOnce(std::max(due - monotonicNow(), kShortestDelay));
}

} // namespace crocusport
