#include "latencytracker.h"

#include <algorithm>

namespace crocusport {

namespace {

//! Weight of a new value. With it, ten probe requests show that a server has recovered.
constexpr double kWeight = 0.2;
//! Relative step by which a value moves the median of its class: kFirstMedianStep divided by the
//! number of values so far, but at least kMedianStep.
constexpr double kMedianStep = 0.01;
constexpr double kFirstMedianStep = 0.5;
//! A server with fewer values than this is not excluded for its latency.
constexpr std::uint32_t kMinSamples = 8;
//! Maximum slow factor of a server with fewer than kMinSamples values: the largest that does not
//! yet exclude the server.
constexpr double kUnconfirmedFactor = 4;
//! Differences from the class's median below these are ignored as noise: where requests take
//! 0.3 ms, one server easily takes five times as long as the others, and callers do not notice a
//! difference of about 1 ms.
constexpr double kNegligibleFirstTokenUs = 5000;
constexpr double kNegligibleTokenGapUs = 2000;
constexpr Duration kRefreshInterval = std::chrono::seconds(1);

} // namespace

void LatencyTracker::Mean::add(double sample)
{
    ++samples;
    value += std::max(kWeight, 1.0 / samples) * (sample - value);
}

void LatencyTracker::Median::add(double sample)
{
    ++samples;
    if (samples == 1)
        value = sample;
    const auto step = 1 + std::max(kMedianStep, kFirstMedianStep / samples);
    value = sample > value ? value * step : value / step;
}

void LatencyTracker::addSample(Median &classMedian, Mean &serverMean, Mean &excess, Duration value)
{
    if (value <= Duration::zero())
        return;
    const auto sample = static_cast<double>(value.count());
    classMedian.add(sample);
    serverMean.add(sample / classMedian.value);
    excess.add(sample - classMedian.value);
}

void LatencyTracker::add(ServerIndex server, StartNumber start, ClassIndex requestClass,
                         const SlotRelease &release)
{
    if (server.value() >= servers_.size())
        servers_.resize(server.value() + 1);
    auto &entry = servers_[server.value()];
    if (entry.start != start)
        entry = { .start = start, .latency = {} };
    auto &classLatency = classes_[requestClass];
    const auto firstToken =
        release.firstToken > Duration::zero() ? release.firstToken : release.serviceTime;
    auto &latency = entry.latency;
    addSample(classLatency.firstToken, latency.firstToken, latency.firstTokenExcess, firstToken);
    addSample(classLatency.tokenGap, latency.tokenGap, latency.tokenGapExcess, release.tokenGap);
    changed_ = true;
}

double LatencyTracker::median(const BackendServerTable &servers, Mean Latency::*mean)
{
    scratch_.clear();
    for (std::uint32_t i = 0; i < servers_.size(); ++i) {
        const auto &value = servers_[i].latency.*mean;
        if (value.samples > 0 && servers.at(ServerIndex(i)).listed)
            scratch_.push_back(value.value);
    }
    if (scratch_.empty())
        return 0;
    // Of an even number of values, the lower of the two in the middle: of two servers, the slower
    // one is then compared with the faster one.
    const auto middle = scratch_.begin() + static_cast<std::ptrdiff_t>((scratch_.size() - 1) / 2);
    std::nth_element(scratch_.begin(), middle, scratch_.end());
    return *middle;
}

bool LatencyTracker::refreshMedians(const BackendServerTable &servers, Instant now)
{
    if (!changed_ || now < nextRefresh_)
        return false;
    medianFirstToken_ = median(servers, &Latency::firstToken);
    medianTokenGap_ = median(servers, &Latency::tokenGap);
    nextRefresh_ = now + kRefreshInterval;
    changed_ = false;
    return true;
}

double LatencyTracker::slowFactor(ServerIndex server) const
{
    if (server.value() >= servers_.size())
        return 1;
    const auto ratio = [](const Mean &mean, double median, const Mean &excess, double negligible) {
        if (mean.samples == 0 || median <= 0 || excess.value < negligible)
            return 1.0;
        const auto factor = mean.value / median;
        return mean.samples < kMinSamples ? std::min(factor, kUnconfirmedFactor) : factor;
    };
    const auto &latency = servers_[server.value()].latency;
    return std::max(
        ratio(latency.firstToken, medianFirstToken_, latency.firstTokenExcess,
              kNegligibleFirstTokenUs),
        ratio(latency.tokenGap, medianTokenGap_, latency.tokenGapExcess, kNegligibleTokenGapUs));
}

} // namespace crocusport
