#include "retrywindow.h"

#include <algorithm>

namespace crocusport {

namespace {

// Share of the ratio that is used. The limit applies to arrivals at the servers, which are a little
// later than the requests counted here.
constexpr double kUsedShare = 0.8;
// Share of the slack that can be saved up, and share that accrues in each window. One window can
// contain both: the saved slack and the slack that accrues during it.
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

bool RetryWindow::isWithinRatio(Instant now)
{
    expire(requests_, now - limits_.window);
    expire(retries_, now - limits_.window);
    const double allowed = kUsedShare * limits_.ratio * static_cast<double>(requests_.size());
    return static_cast<double>(retries_.size()) + 1 <= allowed;
}

void RetryWindow::accrueSlack(std::size_t routerCount, Instant now)
{
    const double share =
        kSlackShare * limits_.slack / static_cast<double>(std::max<std::size_t>(routerCount, 1));
    const auto elapsed = now - accruedAt_;
    accruedAt_ = now;
    slack_ = std::min(share, slack_ + share * (toSeconds(elapsed) / toSeconds(limits_.window)));
}

bool RetryWindow::canRetry(std::size_t routerCount, Instant now)
{
    accrueSlack(routerCount, now);
    return isWithinRatio(now) || slack_ >= 1;
}

bool RetryWindow::tryRetry(std::size_t routerCount, Instant now)
{
    accrueSlack(routerCount, now);
    if (isWithinRatio(now)) {
        retries_.push_back(now);
        return true;
    }
    if (slack_ < 1)
        return false;
    slack_ -= 1;
    return true;
}

} // namespace crocusport
