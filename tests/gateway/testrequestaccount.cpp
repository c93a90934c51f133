#include "requestaccount.h"

#include <catch2/catch.hpp>

using namespace crocusport;

SCENARIO("The times of a request and its attempts")
{
    const Instant arrival(std::chrono::seconds(10));
    const auto after = [&](int ms) { return arrival + std::chrono::milliseconds(ms); };
    Route route;
    route.target = std::chrono::milliseconds(500);
    route.maxPause = std::chrono::milliseconds(200);
    RequestAccount account(arrival);
    account.noteAttempt(100, 300, after(20));

    WHEN("a stream arrives in time")
    {
        REQUIRE(account.noteEvents(1, after(400)));
        for (int i = 1; i <= 10; ++i)
            REQUIRE_FALSE(account.noteEvents(1, after(400 + 50 * i)));
        THEN("its target is met and its pace is known")
        {
            REQUIRE(account.lateness(route, true, after(900)) == Lateness::None);
            REQUIRE(account.eventPaceMs(after(900)).value() == Approx(50));
        }
        // Guards against metrics that count a stream with a long pause as on time.
        THEN("one long pause makes it late")
        {
            account.noteEvents(1, after(1101));
            REQUIRE(account.lateness(route, true, after(1200)) == Lateness::Pause);
        }
        THEN("a request that was not completed is not late")
        {
            REQUIRE(account.lateness(route, false, after(3000)) == Lateness::None);
        }
    }
    WHEN("the first event is late")
    {
        account.noteEvents(1, after(501));
        REQUIRE(account.lateness(route, true, after(600)) == Lateness::FirstEvent);
        REQUIRE_FALSE(account.eventPaceMs(after(600)));
    }
    WHEN("a response that is not a stream is late")
    {
        REQUIRE(account.lateness(route, true, after(501)) == Lateness::Answer);
    }
    // Guards against queue waits that include the time of failed attempts.
    WHEN("a second attempt follows")
    {
        account.noteAttempt(0, 0, after(300));
        RequestMeasurement measurement;
        account.measure(measurement, after(400));
        REQUIRE(measurement.queueWait == std::chrono::milliseconds(20));
        LogLine line("request_ended");
        account.describe(line, after(400));
        REQUIRE(line.text().find("wait_ms=20 first_ms=-1 longest_pause_ms=0 total_ms=400")
                != std::string::npos);
    }
}
