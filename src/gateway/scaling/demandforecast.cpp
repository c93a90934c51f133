#include "demandforecast.h"

#include <algorithm>
#include <cmath>

namespace crocusport {

namespace {

// Engines prefill 60 to 125 prompt tokens per ms; a low value errs on the side of more servers.
constexpr double kPrefillTokensPerS = 70'000;
// With all slots busy, an engine generates one token per slot each 3 to 5 ms.
constexpr double kSecondsPerToken = 0.004;
// Share of an engine's time that is planned for. Streams with a first event within 300 ms and
// pauses under 250 ms wait for each prompt of 12,000 tokens that is prefilled before them, 100 to
// 200 ms; at this share, two such prompts rarely meet at one engine.
constexpr double kTargetUtilisation = 0.4;
// Share of the slots that are busy in the mean. Requests do not spread evenly: the busiest server
// has about twice the mean, and must not queue.
constexpr double kTargetSlotShare = 0.5;
// Bursts reach 2.7 times of one class, which is at most this factor of a pool's whole demand.
constexpr double kBurstFactor = 2.5;
// Rates are smoothed over this time: two reports of each router.
constexpr Duration kRateTime = std::chrono::seconds(1);
constexpr Duration kMeanTime = std::chrono::seconds(30);
// A peak decays to about a third within this time, as bursts recur.
constexpr Duration kPeakTime = std::chrono::seconds(25);

bool hasRestarted(const PoolDemand &before, const PoolDemand &after)
{
    return after.requests < before.requests || after.prefillTokens < before.prefillTokens
        || after.outputTokens < before.outputTokens;
}

DemandRates ratesBetween(const PoolDemand &before, const PoolDemand &after, double seconds)
{
    const auto rate = [seconds](std::uint64_t from, std::uint64_t to) {
        return static_cast<double>(to - from) / seconds;
    };
    return { rate(before.requests, after.requests), rate(before.prefillTokens, after.prefillTokens),
             rate(before.outputTokens, after.outputTokens), static_cast<double>(after.running) };
}

} // namespace

DemandRates &DemandRates::operator+=(const DemandRates &other)
{
    requests += other.requests;
    prefillTokens += other.prefillTokens;
    outputTokens += other.outputTokens;
    running += other.running;
    return *this;
}

void DemandRates::approach(const DemandRates &sample, double weight)
{
    *this = scaled(1 - weight);
    *this += sample.scaled(weight);
}

DemandRates DemandRates::scaled(double factor) const
{
    return { requests * factor, prefillTokens * factor, outputTokens * factor, running * factor };
}

ServerCapacity ServerCapacity::of(const PoolEntry &pool, double slots)
{
    ServerCapacity capacity;
    capacity.slots = std::max(slots, 1.0);
    if (!pool.engine)
        return capacity;
    capacity.prefillTokensPerS = kPrefillTokensPerS;
    capacity.outputTokensPerS = capacity.slots / kSecondsPerToken;
    return capacity;
}

double serversFor(const DemandRates &rates, const ServerCapacity &capacity)
{
    double work = 0;
    if (capacity.prefillTokensPerS > 0) {
        work = rates.prefillTokens / capacity.prefillTokensPerS
            + rates.outputTokens / capacity.outputTokensPerS;
    }
    return std::max(work / kTargetUtilisation, rates.running / (kTargetSlotShare * capacity.slots));
}

void DemandForecast::note(const RouterName &router, const PoolDemand &demand, Instant now)
{
    const auto [found, isNew] = routers_.try_emplace(router);
    auto &known = found->second;
    if (isNew || now - known.lastAt > kSilence) {
        known = { demand, now, {}, false };
        known.rates.running = demand.running;
        return;
    }
    if (now <= known.lastAt)
        return;
    if (hasRestarted(known.last, demand))
        known.last = {};
    const double seconds = toSeconds(now - known.lastAt);
    const auto sample = ratesBetween(known.last, demand, seconds);
    known.rates.approach(sample,
                         known.hasRates ? 1 - std::exp(-seconds / toSeconds(kRateTime)) : 1);
    known.rates.running = demand.running;
    known.hasRates = true;
    known.last = demand;
    known.lastAt = now;
}

void DemandForecast::updateMean(Instant now)
{
    const auto age = std::min<Duration>(now - *firstDemandAt_, kMeanTime);
    const auto elapsed = std::min<Duration>(now - updatedAt_, age);
    mean_.approach(rates_, age.count() > 0 ? toSeconds(elapsed) / toSeconds(age) : 1);
}

void DemandForecast::update(const ServerCapacity &capacity, Instant now)
{
    std::erase_if(routers_,
                  [now](const auto &item) { return now - item.second.lastAt > kSilence; });
    rates_ = {};
    for (const auto &[name, router] : routers_)
        rates_ += router.rates;
    if (!firstDemandAt_ && (rates_.requests > 0 || rates_.running > 0))
        firstDemandAt_ = now;
    need_.reset();
    if (routers_.empty() || !firstDemandAt_) {
        updatedAt_ = now;
        return;
    }
    updateMean(now);
    const double current = serversFor(rates_, capacity);
    const double decay = std::exp(-toSeconds(now - updatedAt_) / toSeconds(kPeakTime));
    retained_ = std::max(current, retained_ * decay);
    updatedAt_ = now;
    if (now - *firstDemandAt_ >= kLearningTime)
        need_ = { current, retained_, serversFor(mean_.scaled(kBurstFactor), capacity) };
}

} // namespace crocusport
