#include "truetime.h"

#include <algorithm>
#include <vector>

namespace crocusport {

namespace {

// A report that was delayed makes the other clock look slow. Of the reports of this time, the one
// with the shortest delay counts.
constexpr Duration kSampleTime = std::chrono::seconds(10);
// Routers that are silent for this long no longer count.
constexpr Duration kMaxSampleAge = std::chrono::seconds(30);

} // namespace

void TrueTime::noteClock(const RouterName &router, Duration clock, Duration boot)
{
    const auto offset = clock - own(boot);
    const auto [found, isNew] = samples_.try_emplace(router, Sample { offset, boot });
    auto &sample = found->second;
    if (!isNew && offset < sample.offset && boot - sample.at < kSampleTime)
        return;
    const bool isUnchanged = !isNew && sample.offset == offset;
    sample = { offset, boot };
    if (!isUnchanged)
        correct(boot);
}

void TrueTime::correct(Duration boot)
{
    std::erase_if(samples_,
                  [&](const auto &item) { return boot - item.second.at > kMaxSampleAge; });
    std::vector<Duration> offsets { Duration::zero() };
    for (const auto &[router, sample] : samples_)
        offsets.push_back(sample.offset);
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    correction_ = *middle;
}

} // namespace crocusport
