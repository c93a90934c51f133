#include "servicetimeestimator.h"

#include <algorithm>
#include <cmath>

namespace crocusport {

namespace {

//! Assumed for classes of which no request has completed yet.
constexpr Duration kDefaultServiceTime = std::chrono::seconds(1);
//! Weight of a new value from the 20th value on. Before that, the mean weighs all values equally.
constexpr double kWeight = 0.05;
constexpr double kQuantile = 0.9;

std::uint64_t keyOf(ClassIndex requestClass, TeamIndex team)
{
    return std::uint64_t { requestClass.value() } << 32U | team.value();
}

Duration fromMicroseconds(double value)
{
    return Duration(std::max<std::int64_t>(1, std::llround(value)));
}

} // namespace

void ServiceTimeEstimator::Entry::add(double value)
{
    ++samples;
    if (samples == 1) {
        mean = p90 = value;
        return;
    }
    const auto weight = std::max(kWeight, 1.0 / samples);
    deviation += weight * (std::abs(value - mean) - deviation);
    mean += weight * (value - mean);
    // The expected value of the step is zero if 90% of the values are below p90, so p90 converges
    // to that value.
    const auto step = 2 * weight * deviation;
    p90 += step * (value > p90 ? kQuantile : kQuantile - 1);
    p90 = std::max(p90, mean);
}

ServiceTimeEstimate ServiceTimeEstimator::Entry::estimate() const
{
    return { .mean = fromMicroseconds(mean), .p90 = fromMicroseconds(p90), .measured = true };
}

void ServiceTimeEstimator::add(ClassIndex requestClass, TeamIndex team, Duration serviceTime)
{
    const auto value = static_cast<double>(serviceTime.count());
    teams_[keyOf(requestClass, team)].add(value);
    classes_[requestClass].add(value);
}

ServiceTimeEstimate ServiceTimeEstimator::estimate(ClassIndex requestClass, TeamIndex team) const
{
    if (const auto found = teams_.find(keyOf(requestClass, team)); found != teams_.end())
        return found->second.estimate();
    if (const auto found = classes_.find(requestClass); found != classes_.end())
        return found->second.estimate();
    return { .mean = kDefaultServiceTime, .p90 = kDefaultServiceTime, .measured = false };
}

} // namespace crocusport
