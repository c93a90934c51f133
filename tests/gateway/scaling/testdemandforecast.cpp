#include "demandforecast.h"

#include <catch2/catch.hpp>

using namespace crocusport;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kRouters = 10;
constexpr milliseconds kReportTime { 500 };

//! Reports of all routers at constant rates; the counters go on between calls of run().
class Routers
{
public:
    //! Adds reports for \a time, with rates for each router.
    void run(DemandForecast &forecast, const DemandRates &rates, Duration time)
    {
        const auto end = now + time;
        for (; now < end; now += kReportTime) {
            const double share = toSeconds(kReportTime);
            counters.requests += static_cast<std::uint64_t>(rates.requests * share);
            counters.prefillTokens += static_cast<std::uint64_t>(rates.prefillTokens * share);
            counters.outputTokens += static_cast<std::uint64_t>(rates.outputTokens * share);
            counters.running = static_cast<std::uint32_t>(rates.running);
            for (int i = 0; i < kRouters; ++i)
                forecast.note(RouterName("r" + std::to_string(i)), counters, now);
            forecast.update(capacity, now);
        }
    }

    Instant now { seconds(100) };
    PoolDemand counters;
    ServerCapacity capacity;
};

} // namespace

SCENARIO("The need for servers follows the reported work")
{
    PoolEntry pool;
    pool.engine = EngineProfile { 16, 500'000, 1 };
    Routers routers;
    routers.capacity = ServerCapacity::of(pool, 16);
    DemandForecast forecast;
    // For all routers: 280,000 tokens of prefill and 20,000 of output, 4 and 5 engine seconds each
    // second, at 0.4 of an engine's time.
    const DemandRates steady { 20, 28'000, 2'000, 4 };

    WHEN("demand has just begun")
    {
        routers.run(forecast, {}, seconds(10));
        routers.run(forecast, steady, seconds(3));
        // Guards against a plan by the first moments of a load that is still rising.
        THEN("the need is not known yet")
        {
            REQUIRE_FALSE(forecast.need());
        }
    }
    WHEN("demand is steady")
    {
        routers.run(forecast, steady, seconds(20));
        const double need = (4 + 5) / 0.4;
        THEN("the need follows from the work")
        {
            REQUIRE(forecast.need());
            REQUIRE(forecast.need()->current == Approx(need).epsilon(0.02));
            REQUIRE(forecast.need()->burst == Approx(2.5 * need).epsilon(0.05));
        }
        AND_WHEN("a burst of long prompts comes and goes")
        {
            auto burst = steady;
            burst.prefillTokens *= 4;
            burst.requests += 5;
            routers.run(forecast, burst, seconds(5));
            const double peak = forecast.need()->current;
            routers.run(forecast, steady, seconds(8));
            // Guards against a need by requests, which hardly change, and against a plan that
            // forgets a burst before it recurs.
            THEN("the need has risen by its work and is retained for a time")
            {
                REQUIRE(peak == Approx((16 + 5) / 0.4).epsilon(0.05));
                REQUIRE(forecast.need()->current == Approx(need).epsilon(0.02));
                REQUIRE(forecast.need()->retained > 0.65 * peak);
                routers.run(forecast, steady, seconds(60));
                REQUIRE(forecast.need()->retained == Approx(need).epsilon(0.02));
            }
        }
        // Guards against servers that are slow and full while the work is the same.
        AND_WHEN("requests run longer")
        {
            auto slow = steady;
            slow.running = 40;
            routers.run(forecast, slow, seconds(2));
            THEN("the need has a half of the slots free")
            {
                REQUIRE(forecast.need()->current == Approx(40.0 * kRouters / 8));
            }
        }
        // Guards against counters that are taken as negative or huge rates.
        AND_WHEN("all routers restart")
        {
            routers.counters = {};
            routers.run(forecast, steady, seconds(3));
            THEN("the need stays")
            {
                REQUIRE(forecast.need()->retained < 1.05 * need);
                REQUIRE(forecast.need()->current > 0.95 * need);
            }
        }
        // Guards against an idle pool that is taken for one whose reports are lost.
        AND_WHEN("all routers fall silent")
        {
            routers.now += seconds(4);
            forecast.update(routers.capacity, routers.now);
            THEN("the need is unknown")
            {
                REQUIRE_FALSE(forecast.need());
            }
        }
    }
    // Guards against a need that lags behind a load that rises by a tenth each second.
    WHEN("demand rises slowly")
    {
        auto rates = steady;
        for (int i = 0; i < 15; ++i) {
            rates.prefillTokens *= 1.1;
            rates.outputTokens *= 1.1;
            routers.run(forecast, rates, seconds(1));
        }
        const double work = kRouters * (rates.prefillTokens / 70'000 + rates.outputTokens / 4'000);
        REQUIRE(forecast.need()->current > 0.85 * work / 0.4);
    }
}
