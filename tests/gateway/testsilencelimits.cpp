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

SCENARIO("Limits on the silence of a backend server")
{
    SilenceLimits limits;
    const auto report = route(RequestKind::Stream);

    // Guards against a hung server that blocks its requests until their deadlines.
    WHEN("responses begin early")
    {
        for (int i = 0; i < 30; ++i)
            limits.noteBegin(report.name, std::chrono::milliseconds(300));
        THEN("the limit follows from the route's objectives")
        {
            REQUIRE(limits.limit(report) == std::chrono::milliseconds(3200));
        }
    }
    // Guards against retries of requests that are only queued: in a recorded burst, 1,000 of 9,300
    // reports were aborted after 3 s in the queues of full engines, and failed because no retry was
    // left for them.
    WHEN("responses begin later and later in a burst")
    {
        for (int ms = 300; ms < 2700; ms += 80)
            limits.noteBegin(report.name, std::chrono::milliseconds(ms));
        THEN("the limit grows with the time until responses begin")
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
    // Guards against a healthy stream that is aborted because it has been slow from its start.
    WHEN("a stream has had long pauses from its start")
    {
        const Duration longest = std::chrono::milliseconds(2000);
        REQUIRE(limits.limit(report, longest) == std::chrono::milliseconds(6000));
        REQUIRE(limits.limit(report, Duration::zero()) == limits.limit(report));
    }
    WHEN("a request must not be retried")
    {
        auto once = report;
        once.isResumable = false;
        REQUIRE(limits.limit(once) == Duration::max());
    }
}
