#include "callratelimiter.h"

#include <algorithm>

namespace crocusport {

namespace {

constexpr double kBurstSeconds = 0.25;

} // namespace

CallRateLimiter::CallRateLimiter(double perSecond)
    : perSecond_(perSecond), available_(std::max(1.0, perSecond * kBurstSeconds))
{ }

bool CallRateLimiter::take(Instant now)
{
    if (perSecond_ <= 0)
        return true;
    available_ = std::min(available_ + perSecond_ * toSeconds(now - filledAt_),
                          std::max(1.0, perSecond_ * kBurstSeconds));
    filledAt_ = now;
    if (available_ < 1)
        return false;
    available_ -= 1;
    return true;
}

} // namespace crocusport
