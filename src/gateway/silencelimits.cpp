#include "silencelimits.h"

#include <algorithm>

namespace crocusport {

namespace {

// Streams in the queue of a healthy server are often silent for up to this time. A dead server is
// detected earlier: TCP acknowledgements are missing within a second.
constexpr Duration kMinStreamSilence = std::chrono::milliseconds(1700);
// A healthy server may need this long for a safe request.
constexpr Duration kMinSafeSilence = std::chrono::milliseconds(200);
// Callers abandon a stream after four times its latency target or eight times its maximum pause.
// These limits are half of that.
constexpr int kSilentTargets = 2;
constexpr int kSilentPauses = 4;
// Few responses take longer to start than this many times their mean.
constexpr double kSilentMeans = 3;
// Weight of the newest sample in the moving mean: about the last ten samples count.
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
