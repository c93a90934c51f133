#include "retrywindow.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <vector>

using namespace crocusport;

SCENARIO("The retries of all routers stay within one budget")
{
    const RetryLimits limits { 0.2, 58, std::chrono::seconds(10) };

    // Guards against routers that each spend the whole budget because they do not communicate, and
    // against retries above the budget after restarts, which lose the count of retries.
    rc::prop("for any routers, requests and restarts in a window", [&] {
        const auto routerCount = *rc::gen::inRange<std::size_t>(1, 12);
        const Instant start(std::chrono::seconds(100));
        std::vector<RetryWindow> routers(routerCount, RetryWindow(limits, start));
        const auto steps = *rc::gen::container<std::vector<std::pair<std::size_t, int>>>(
            400,
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, routerCount), rc::gen::inRange(0, 100)));
        // Several restarts: the same routers may be killed several times within one window.
        const auto restarts =
            *rc::gen::container<std::vector<std::size_t>>(5, rc::gen::inRange<std::size_t>(0, 400));
        double requests = 0;
        double repeats = 0;
        for (std::size_t i = 0; i < steps.size(); ++i) {
            const auto now = start + std::chrono::milliseconds(20 * i);
            if (std::find(restarts.begin(), restarts.end(), i) != restarts.end())
                routers.assign(routerCount, RetryWindow(limits, now));
            auto &router = routers[steps[i].first];
            if (steps[i].second < 30) {
                router.noteRequest(now);
                ++requests;
            } else if (router.tryRetry(routerCount, now)) {
                ++repeats;
            }
        }
        RC_ASSERT(repeats <= limits.ratio * requests + limits.slack);
    });

    // Guards against a router that can retry nothing in its first seconds.
    WHEN("a router has just started")
    {
        const Instant now(std::chrono::seconds(1));
        RetryWindow window(limits, now);
        THEN("it may retry after a few requests")
        {
            constexpr int kFewRequests = 7;
            for (int i = 0; i < kFewRequests; ++i)
                window.noteRequest(now);
            REQUIRE(window.tryRetry(9, now));
        }
        THEN("it may retry without requests after some seconds")
        {
            REQUIRE_FALSE(window.tryRetry(9, now));
            REQUIRE(window.tryRetry(9, now + std::chrono::seconds(4)));
        }
    }
    // Guards against slack that is spent twice within one window, or never accrues again.
    WHEN("a single router retries as often as it can for a minute")
    {
        const Instant start(std::chrono::seconds(1));
        RetryWindow window(limits, start);
        std::vector<Instant> repeats;
        for (auto now = start; now < start + std::chrono::minutes(1);
             now += std::chrono::milliseconds(100)) {
            while (window.tryRetry(1, now))
                repeats.push_back(now);
        }
        for (auto first = repeats.begin(); first != repeats.end(); ++first) {
            const auto end = std::lower_bound(first, repeats.end(), *first + limits.window);
            REQUIRE(static_cast<double>(end - first) <= limits.slack);
        }
        REQUIRE(repeats.size() >= 140);
    }
}
