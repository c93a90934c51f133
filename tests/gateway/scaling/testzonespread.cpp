#include "zonespread.h"

#include <rapidcheck/catch.h>

#include <algorithm>

using namespace crocusport;

namespace {

using Shares = std::map<AvailabilityZone, std::uint32_t>;

std::vector<ZoneOption> zonesAt(const std::vector<double> &costs, std::uint32_t most)
{
    std::vector<ZoneOption> options;
    for (std::size_t i = 0; i < costs.size(); ++i)
        options.push_back({ AvailabilityZone("z" + std::to_string(i)), costs[i], 1, most });
    return options;
}

std::uint32_t at(const Shares &shares, const char *zone)
{
    return shares.at(AvailabilityZone(zone));
}

} // namespace

SCENARIO("Servers are spread so that the loss of a zone is borne")
{
    // Guards against shares that leave too few servers after a loss, or pay for more than needed.
    WHEN("prices are close to each other")
    {
        const auto shares = spreadServers(zonesAt({ 0.85, 1.2, 1.0, 1.1 }, 46), { 31, 0 });
        THEN("all zones are used, and the dearest has least")
        {
            REQUIRE(at(shares, "z0") == 11);
            REQUIRE(at(shares, "z2") == 11);
            REQUIRE(at(shares, "z3") == 11);
            REQUIRE(at(shares, "z1") == 9);
        }
    }
    // Guards against spares in a zone whose price exceeds their benefit.
    WHEN("one zone is much dearer")
    {
        const auto shares = spreadServers(zonesAt({ 1, 1, 1, 4 }, 46), { 30, 0 });
        REQUIRE(at(shares, "z3") == 1);
        REQUIRE(at(shares, "z0") == 15);
    }
    WHEN("the goal cannot be reached")
    {
        const auto shares = spreadServers(zonesAt({ 1, 2 }, 10), { 30, 0 });
        REQUIRE(at(shares, "z0") == 10);
        REQUIRE(at(shares, "z1") == 10);
    }
    // Guards against a goal that holds for round numbers only.
    rc::prop("for any prices, limits and goals that can be reached", [] {
        const auto zones = *rc::gen::inRange<std::size_t>(2, 7);
        std::vector<ZoneOption> options;
        std::uint32_t sum = 0;
        std::uint32_t largest = 0;
        for (std::size_t i = 0; i < zones; ++i) {
            const auto least = *rc::gen::inRange(0U, 3U);
            const auto most = least + *rc::gen::inRange(0U, 40U);
            const double cost = *rc::gen::inRange(50, 200) / 100.0;
            options.push_back({ AvailabilityZone("z" + std::to_string(i)), cost, least, most });
            sum += most;
            largest = std::max(largest, most);
        }
        const SpreadGoal goal { *rc::gen::inRange(0U, sum - largest + 1),
                                *rc::gen::inRange(0U, sum + 1) };
        const auto shares = spreadServers(options, goal);
        std::uint32_t total = 0;
        std::uint32_t most = 0;
        for (const auto &option : options) {
            const auto count = shares.at(option.zone);
            RC_ASSERT(count >= option.least);
            RC_ASSERT(count <= option.most);
            total += count;
            most = std::max(most, count);
        }
        RC_ASSERT(total >= goal.total);
        RC_ASSERT(total - most >= goal.afterLoss);
    });
}
