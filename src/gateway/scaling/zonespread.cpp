#include "zonespread.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace crocusport {

namespace {

struct Spread
{
    std::vector<std::uint32_t> counts; //!< In the order of the options.
    double cost = 0;
};

// Fills the zones in the order of the options up to level servers each. Nothing if that does not
// reach the goal.
std::optional<Spread> fillTo(std::uint32_t level, const std::vector<ZoneOption> &options,
                             const SpreadGoal &goal)
{
    Spread spread;
    std::uint32_t sum = 0;
    for (const auto &option : options) {
        spread.counts.push_back(option.least);
        sum += option.least;
    }
    const auto total = std::max(goal.total, goal.afterLoss + level);
    std::uint32_t largest = 0;
    for (std::size_t i = 0; i < options.size(); ++i) {
        auto &count = spread.counts[i];
        const auto most = std::max(count, std::min(level, options[i].most));
        const auto added = std::min(most - count, total - std::min(sum, total));
        count += added;
        sum += added;
        largest = std::max(largest, count);
        spread.cost += options[i].cost * count;
    }
    if (sum < goal.total || sum - largest < goal.afterLoss)
        return std::nullopt;
    return spread;
}

} // namespace

std::map<AvailabilityZone, std::uint32_t> spreadServers(std::vector<ZoneOption> options,
                                                        const SpreadGoal &goal)
{
    std::sort(options.begin(), options.end(), [](const auto &left, const auto &right) {
        return std::tie(left.cost, left.zone) < std::tie(right.cost, right.zone);
    });
    std::uint32_t highest = 0;
    for (const auto &option : options)
        highest = std::max(highest, option.most);
    highest = std::min(highest, std::max(goal.total, goal.afterLoss));

    std::optional<Spread> best;
    for (std::uint32_t level = 0; level <= highest; ++level) {
        auto spread = fillTo(level, options, goal);
        if (spread && (!best || spread->cost < best->cost))
            best = std::move(spread);
    }
    std::map<AvailabilityZone, std::uint32_t> counts;
    for (std::size_t i = 0; i < options.size(); ++i)
        counts[options[i].zone] = best ? best->counts[i] : options[i].most;
    return counts;
}

} // namespace crocusport
