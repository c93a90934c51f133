#include "retrywindow.h"

#include <rapidcheck/catch.h>

#include <vector>

using namespace crocusport;

SCENARIO("Repeats of all routers stay within one budget")
{
    const RetryLimits limits { 0.2, 58, std::chrono::seconds(10) };

    // Guards against routers that each spend the whole budget while they do not hear each other,
    // and against restarts that forget what was spent.
    rc::prop("for any routers, requests and restarts in a window", [&] {
        const auto routerCount = *rc::gen::inRange<std::size_t>(1, 12);
        std::vector<RetryWindow> routers(routerCount, RetryWindow(limits));
        const Instant start(std::chrono::seconds(100));
        const auto steps = *rc::gen::container<std::vector<std::pair<std::size_t, int>>>(
            400,
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, routerCount), rc::gen::inRange(0, 100)));
        const auto restartAt = *rc::gen::inRange<std::size_t>(0, 400);
        double requests = 0;
        double repeats = 0;
        for (std::size_t i = 0; i < steps.size(); ++i) {
            const auto now = start + std::chrono::milliseconds(20 * i);
            if (i == restartAt)
                routers.assign(routerCount, RetryWindow(limits));
            auto &router = routers[steps[i].first];
            if (steps[i].second < 30) {
                router.noteRequest(now);
                ++requests;
            } else if (router.tryRepeat(routerCount, now)) {
                ++repeats;
            }
        }
        RC_ASSERT(repeats <= limits.ratio * requests + limits.slack);
    });

    WHEN("nothing was spent yet")
    {
        RetryWindow window(limits);
        // Guards against a router that cannot repeat anything in its first seconds.
        THEN("a repeat is allowed at once")
        {
            REQUIRE(window.tryRepeat(9, Instant(std::chrono::seconds(1))));
        }
    }
    WHEN("the share is spent")
    {
        RetryWindow window(limits);
        Instant now(std::chrono::seconds(1));
        while (window.tryRepeat(1, now)) {
        }
        THEN("it is there again after the window")
        {
            REQUIRE_FALSE(window.tryRepeat(1, now + std::chrono::seconds(9)));
            REQUIRE(window.tryRepeat(1, now + std::chrono::seconds(11)));
        }
    }
}
