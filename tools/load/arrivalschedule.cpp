#include "arrivalschedule.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace crocusport {

ArrivalSchedule::ArrivalSchedule(const LoadClass &loadClass, const std::vector<LoadBurst> &bursts,
                                 double rateFactor, std::uint64_t seed)
    : baseRate_(loadClass.rate * rateFactor), maxRate_(baseRate_),
      random_(XXH3_64bits_withSeed(loadClass.name.data(), loadClass.name.size(), seed))
{
    std::copy_if(bursts.begin(), bursts.end(), std::back_inserter(bursts_),
                 [&](const LoadBurst &burst) { return burst.className == loadClass.name; });
    // Overlapping bursts multiply, so the product bounds the rate.
    for (const auto &burst : bursts_)
        maxRate_ *= std::max(1.0, burst.factor);
}

Duration ArrivalSchedule::next()
{
    // Thinning: candidates at the highest rate, each kept with the share that its time has of it.
    std::exponential_distribution<double> gap(maxRate_);
    std::uniform_real_distribution<double> share(0, maxRate_);
    for (;;) {
        seconds_ += gap(random_);
        const Duration time(static_cast<Duration::rep>(seconds_ * 1'000'000));
        if (share(random_) < rateAt(time))
            return time;
    }
}

double ArrivalSchedule::rateAt(Duration time) const
{
    auto rate = baseRate_;
    for (const auto &burst : bursts_) {
        if (time >= burst.start && time < burst.start + burst.length)
            rate *= burst.factor;
    }
    return rate;
}

} // namespace crocusport
