#include "teamshares.h"

#include <algorithm>
#include <cmath>

namespace crocusport {

namespace {

// Bursts last 3 to 9 s. Over a shorter time, a router of a large fleet receives too few requests to
// tell the teams apart.
constexpr Duration kDecayTime = std::chrono::seconds(5);
constexpr int kForgottenAfterTimes = 4;
// Teams differ by chance and by their usual loads; only a clear excess counts.
constexpr double kAllowedExcess = 1.5;

} // namespace

double TeamShares::Sum::decayed(Instant now) const
{
    return value * std::exp(-toSeconds(now - at) / toSeconds(kDecayTime));
}

void TeamShares::note(const TeamName &team, Duration work, Instant now)
{
    auto &sum = sums_[team];
    sum = { sum.decayed(now) + toSeconds(work), now };
}

double TeamShares::factor(const TeamName &team, Instant now) const
{
    double total = 0;
    double own = 0;
    for (const auto &[name, sum] : sums_) {
        const double value = sum.decayed(now);
        total += value;
        own = name == team ? value : own;
    }
    const double fair = total / static_cast<double>(std::max<std::size_t>(sums_.size(), 1));
    if (own <= kAllowedExcess * fair)
        return 1;
    return std::max(kMinFactor, kAllowedExcess * fair / own);
}

void TeamShares::expire(Instant now)
{
    std::erase_if(sums_, [&](const auto &item) {
        return now - item.second.at > kForgottenAfterTimes * kDecayTime;
    });
}

} // namespace crocusport
