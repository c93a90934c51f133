#include "retrywindow.h"

#include <algorithm>

namespace crocusport {

namespace {

// Part of the budget that is used: arrivals are counted at the servers, a little later than here.
constexpr double kUsedShare = 0.8;
// The other half is for what was spent before a restart.
constexpr double kSlackShare = 0.5;

} // namespace

void RetryWindow::expire(std::deque<Instant> &times, Instant limit)
{
    while (!times.empty() && times.front() <= limit)
        times.pop_front();
}

void RetryWindow::noteRequest(Instant now)
{
    expire(requests_, now - limits_.window);
    requests_.push_back(now);
}

bool RetryWindow::canRepeat(std::size_t routerCount, Instant now)
{
    expire(requests_, now - limits_.window);
    expire(repeats_, now - limits_.window);
    double allowed = limits_.ratio * static_cast<double>(requests_.size());
    if (routerCount > 0)
        allowed += kSlackShare * limits_.slack / static_cast<double>(routerCount);
    return static_cast<double>(repeats_.size()) + 1 <= kUsedShare * allowed;
}

bool RetryWindow::tryRepeat(std::size_t routerCount, Instant now)
{
    if (!canRepeat(routerCount, now))
        return false;
    repeats_.push_back(now);
    return true;
}

} // namespace crocusport
