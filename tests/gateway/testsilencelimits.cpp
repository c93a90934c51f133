#include "silencelimits.h"

#include <catch2/catch.hpp>

using namespace crocusport;

namespace {

Route route(RequestKind kind)
{
    Route route;
    route.name = "report";
    route.kind = kind;
    route.isResumable = true;
    route.target = std::chrono::milliseconds(1500);
    route.maxPause = std::chrono::milliseconds(800);
    return route;
}

} // namespace

SCENARIO("Silence of a backend server")
{
    SilenceLimits limits;
    const auto report = route(RequestKind::Stream);

    // Guards against a hung server that keeps its requests until their time is over.
    WHEN("answers begin soon")
    {
        for (int i = 0; i < 30; ++i)
            limits.noteBegin(report.name, std::chrono::milliseconds(300));
        THEN("the objective decides")
        {
            REQUIRE(limits.limit(report) == std::chrono::milliseconds(3200));
        }
    }
    // Guards against repeats of what only waits: on a recorded burst 1,000 of 9,300 reports were
    // broken off after 3 s of waiting at full engines and failed, as no repeat was left for them.
    WHEN("a burst makes answers begin later and later")
    {
        for (int ms = 300; ms < 2700; ms += 80)
            limits.noteBegin(report.name, std::chrono::milliseconds(ms));
        THEN("silence may last as much longer")
        {
            REQUIRE(limits.limit(report) > std::chrono::milliseconds(5000));
            REQUIRE(limits.limit(report) < std::chrono::milliseconds(8100));
        }
        AND_WHEN("the burst is over")
        {
            for (int i = 0; i < 30; ++i)
                limits.noteBegin(report.name, std::chrono::milliseconds(300));
            REQUIRE(limits.limit(report) == std::chrono::milliseconds(3200));
        }
        THEN("other routes keep their limits")
        {
            auto other = report;
            other.name = "other";
            REQUIRE(limits.limit(other) == std::chrono::milliseconds(3200));
        }
    }
    // Guards against a sound stream that is cut because it has been slow from its begin.
    WHEN("a stream has had long pauses from its begin")
    {
        const Duration longest = std::chrono::milliseconds(2000);
        REQUIRE(limits.limit(report, longest) == std::chrono::milliseconds(6000));
        REQUIRE(limits.limit(report, Duration::zero()) == limits.limit(report));
    }
    WHEN("a request must not run again")
    {
        auto once = report;
        once.isResumable = false;
        REQUIRE(limits.limit(once) == Duration::max());
    }
}
