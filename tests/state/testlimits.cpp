#include "crocusport/state/ratelimiter.h"
#include "crocusport/state/retrybudget.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

using namespace crocusport;

namespace {

const TeamName kTeam("field-officers");

RateLimiter makeLimiter(double requestsPerSecond)
{
    RateLimiter limiter;
    limiter.setTeams(
        { { kTeam,
            { .name = kTeam, .credentialSha256 = {}, .requestsPerSecond = requestsPerSecond } } });
    return limiter;
}

} // namespace

SCENARIO("Retries are limited to a share of the requests")
{
    // Guards against retries that multiply the load when all requests fail.
    rc::prop("retries never exceed the share of first attempts plus the size of the bucket",
             [](const std::vector<bool> &calls) {
                 const auto share = *rc::gen::element(kRetryShare, kHedgeShare);
                 RetryBudget budget(share);
                 double attempts = 0;
                 double retries = 0;
                 for (const bool isRetry : calls) {
                     attempts += isRetry ? 0 : 1;
                     retries += isRetry && budget.tryRetry() ? 1 : 0;
                     if (!isRetry)
                         budget.noteFirstAttempt();
                     RC_ASSERT(retries <= RetryBudget::kMaxTokens + share * attempts + 1e-6);
                 }
             });

    GIVEN("a budget of 10% that is used up")
    {
        RetryBudget budget(kRetryShare);
        while (budget.tryRetry()) {
        }

        // Guards against a budget that never recovers, or recovers too fast.
        THEN("one of ten further requests may be retried")
        {
            for (int i = 0; i < 9; ++i)
                budget.noteFirstAttempt();
            REQUIRE_FALSE(budget.tryRetry());
            budget.noteFirstAttempt();
            REQUIRE(budget.tryRetry());
            REQUIRE_FALSE(budget.tryRetry());
        }
    }
}

SCENARIO("A team's requests per second are limited")
{
    // Guards against a limit per fixed interval, which a burst at the border of two intervals
    // exceeds, and against a Retry-After that is too short, so that the next attempt is refused
    // again.
    rc::prop("no more than the limit passes, and a request passes after the returned time", [] {
        const auto rate = *rc::gen::inRange(1, 50) / 4.0;
        auto limiter = makeLimiter(rate);
        const Instant start { std::chrono::hours(1) };
        auto now = start;
        double passed = 0;
        for (const auto gap : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2000))) {
            now += std::chrono::milliseconds(gap);
            const auto retryAfter = limiter.request(kTeam, now);
            if (retryAfter) {
                RC_ASSERT(*retryAfter > Duration::zero());
                now += *retryAfter;
                RC_ASSERT(!limiter.request(kTeam, now));
            }
            ++passed;
            RC_ASSERT(passed <= std::max(1.0, rate) + rate * toSeconds(now - start) + 1e-3);
        }
    });

    GIVEN("a team whose limit is removed")
    {
        auto limiter = makeLimiter(1);
        limiter.setTeams({ { kTeam, { .name = kTeam, .credentialSha256 = {} } } });

        THEN("nothing is refused")
        {
            for (int i = 0; i < 100; ++i)
                REQUIRE_FALSE(limiter.request(kTeam, Instant {}));
        }
    }
}
