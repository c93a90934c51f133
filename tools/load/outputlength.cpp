#include "outputlength.h"

#include <algorithm>
#include <cmath>

namespace crocusport {

std::uint32_t OutputLength::draw(std::mt19937_64 &random) const
{
    // Both numbers are drawn always, so that changed parameters leave later draws as they are.
    std::normal_distribution<double> normal(0, 1);
    std::uniform_real_distribution<double> share(0, 1);
    auto length = parameters_.median * std::exp(parameters_.sigma * normal(random));
    if (share(random) < parameters_.tailShare)
        length *= parameters_.tailFactor;
    const auto bounded = std::clamp(std::round(length), 1.0, static_cast<double>(parameters_.max));
    return static_cast<std::uint32_t>(bounded);
}

} // namespace crocusport
