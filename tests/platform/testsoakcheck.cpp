#include "soak/soakcheck.h"

#include <catch2/catch.hpp>

using namespace crocusport;

// Guards against a soak that passes because its checks cannot detect a fault.
SCENARIO("What the soak reports as a fault")
{
    SoakCheck check;
    const Instant now(std::chrono::seconds(100));
    const auto whole = [](const std::string &id) {
        std::string text;
        for (int number = 1; number <= SoakCheck::kEvents; ++number)
            text += SoakCheck::event(id, number);
        return text;
    };
    check.sent("once", SoakCheck::Kind::Unsafe, "key-1", now);
    check.sent("stream", SoakCheck::Kind::Stream, "key-1", now);
    check.sent("safe", SoakCheck::Kind::Safe, "key-1", now);

    WHEN("nothing is wrong")
    {
        check.ran("once", now);
        check.answered("once", 200, true, true, SoakCheck::plainBody("once"));
        check.ran("safe", now);
        check.ran("safe", now);
        check.answered("safe", 502, true, false, "");
        check.answered("stream", 200, true, true, whole("stream"));
        REQUIRE(check.faults().empty());
        REQUIRE(check.served() == 2);
    }
    WHEN("a request runs twice")
    {
        check.ran("once", now);
        check.ran("once", now);
        REQUIRE(check.faults().size() == 1);
    }
    WHEN("a request was refused as not run, and has run")
    {
        check.ran("once", now);
        check.answered("once", 503, true, false, "");
        REQUIRE(check.faults().size() == 1);
    }
    WHEN("a request was refused as not run, and runs later")
    {
        check.answered("once", 503, true, false, "");
        check.ran("once", now);
        REQUIRE(check.faults().size() == 1);
    }
    WHEN("an answer belongs to another request, or lacks its seal")
    {
        check.answered("safe", 200, true, true, SoakCheck::plainBody("once"));
        check.answered("once", 200, true, false, SoakCheck::plainBody("once"));
        REQUIRE(check.faults().size() == 2);
    }
    WHEN("a stream lacks its end, or has an event twice")
    {
        check.answered("stream", 200, true, true, SoakCheck::event("stream", 1));
        check.answered("stream", 200, false, true,
                       SoakCheck::event("stream", 1) + SoakCheck::event("stream", 1));
        REQUIRE(check.faults().size() == 2);
    }
    WHEN("a request runs with a key that was withdrawn longer ago than the revocation bound")
    {
        check.keyWithdrawn("key-1", now - std::chrono::seconds(4));
        check.ran("safe", now);
        REQUIRE(check.faults().size() == 1);
    }
    WHEN("a request crashes more servers than allowed after the recovery time")
    {
        for (int i = 0; i < 6; ++i)
            check.crashed("/safe/crash", true);
        REQUIRE(check.faults().empty());
        check.crashed("/safe/crash", true);
        check.crashed("/safe/crash", true);
        REQUIRE(check.faults().size() == 1);
    }
    WHEN("a request crashes servers before the recovery time is over")
    {
        for (int i = 0; i < 20; ++i)
            check.crashed("/safe/crash", false);
        check.crashed("/safe/crash", true);
        REQUIRE(check.faults().empty());
    }
    WHEN("a server runs a request that no caller sent")
    {
        check.ran("unknown", now);
        REQUIRE(check.faults().size() == 1);
    }
}
