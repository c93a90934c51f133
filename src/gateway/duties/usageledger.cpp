#include "usageledger.h"

#include <algorithm>

namespace crocusport {

void UsageLedger::merge(const RouterName &router, Incarnation incarnation,
                        const WindowCounts &counts)
{
    auto &known = windows_[counts.window][{ router, incarnation }];
    for (const auto &[team, count] : counts.counts) {
        auto &highest = known[team];
        highest = std::max(highest, count);
    }
    if (windows_.size() > kMaxWindows)
        windows_.erase(windows_.begin());
}

TeamCounts UsageLedger::sums(UsageWindow window) const
{
    TeamCounts sums;
    const auto found = windows_.find(window);
    if (found == windows_.end())
        return sums;
    for (const auto &[process, counts] : found->second) {
        for (const auto &[team, count] : counts)
            sums[team] += count;
    }
    return sums;
}

void UsageLedger::dropBefore(UsageWindow oldest)
{
    windows_.erase(windows_.begin(), windows_.lower_bound(oldest));
}

} // namespace crocusport
