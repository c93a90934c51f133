#include "usagecounter.h"

namespace crocusport {

void UsageCounter::note(const TeamName &team, UsageWindow window)
{
    auto &counted = windows_[window];
    ++counted.counts[team];
    counted.sendsLeft = kRepeats;
}

void UsageCounter::dropBefore(UsageWindow oldest)
{
    windows_.erase(windows_.begin(), windows_.lower_bound(oldest));
}

void UsageCounter::restartSending()
{
    for (auto &[number, window] : windows_)
        window.sendsLeft = kRepeats;
}

std::vector<WindowCounts>
UsageCounter::nextToSend(const std::function<bool(UsageWindow)> &isReported)
{
    std::vector<WindowCounts> counts;
    for (auto &[number, window] : windows_) {
        if (window.sendsLeft == 0 || isReported(number))
            continue;
        --window.sendsLeft;
        counts.push_back({ number, window.counts });
    }
    return counts;
}

} // namespace crocusport
