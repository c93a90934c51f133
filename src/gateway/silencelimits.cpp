#include "silencelimits.h"

#include <algorithm>

namespace crocusport {

namespace {

// Shorter silence is usual for streams that wait at a server; one that does not even acknowledge
// bytes shows by that within a second.
constexpr Duration kMinStreamSilence = std::chrono::milliseconds(1700);
// A usual server may need this long for a safe request.
constexpr Duration kMinSafeSilence = std::chrono::milliseconds(200);
// Callers give a stream up after four times its objective or eight times its longest pause.
constexpr int kSilentTargets = 2;
constexpr int kSilentPauses = 4;
// Times to the first byte are spread widely; few are longer than this many times their mean.
constexpr double kSilentMeans = 3;
// Weight of the newest answer in the mean: about the last ten count.
constexpr double kNewestWeight = 0.1;

} // namespace

void SilenceLimits::noteBegin(const std::string &route, Duration waited)
{
    const double seconds = toSeconds(waited);
    const auto [mean, isNew] = meanSeconds_.try_emplace(route, seconds);
    if (!isNew)
        mean->second += kNewestWeight * (seconds - mean->second);
}

Duration SilenceLimits::limit(const Route &route, Duration longestPause) const
{
    const auto limit = this->limit(route);
    if (limit == Duration::max())
        return limit;
    const auto own = std::chrono::duration<double>(longestPause) * kSilentMeans;
    return std::max(limit, std::chrono::duration_cast<Duration>(own));
}

Duration SilenceLimits::limit(const Route &route) const
{
    if (!route.isIdempotent())
        return Duration::max();
    auto limit = std::max(route.target * kSilentTargets, kMinSafeSilence);
    if (route.kind != RequestKind::Safe)
        limit = std::max({ limit, kMinStreamSilence, route.maxPause * kSilentPauses });
    const auto mean = meanSeconds_.find(route.name);
    if (mean == meanSeconds_.end())
        return limit;
    const auto usual = std::chrono::duration<double>(kSilentMeans * mean->second);
    return std::max(limit, std::chrono::duration_cast<Duration>(usual));
}

} // namespace crocusport
