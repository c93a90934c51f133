#include "unansweredruns.h"

#include <catch2/catch.hpp>

using namespace crocusport;

SCENARIO("Attempts that were abandoned before their server was known to have crashed")
{
    const Instant start(std::chrono::hours(1));
    const BackendServerName server("engine-1");
    const Fingerprint fingerprint(7);
    UnansweredRuns runs;
    runs.add(server, StartNumber(5), fingerprint, CrashEvidence::BeforeAnswer, start);

    WHEN("the server turns out to have crashed")
    {
        const auto taken = runs.take(server, StartNumber(5), start + std::chrono::seconds(5));
        REQUIRE(taken.size() == 1);
        REQUIRE(taken[0].request.fingerprint == fingerprint);
        REQUIRE(taken[0].request.crash == crashId(server, StartNumber(5)));
        // Guards against a crash that is counted twice for one attempt.
        REQUIRE(runs.take(server, StartNumber(5), start).empty());
    }
    // Guards against requests that are suspected because of the crash of another server, or of a
    // crash long after the request was abandoned.
    WHEN("another server or another start crashes, or the server crashes much later")
    {
        REQUIRE(runs.take(BackendServerName("engine-2"), StartNumber(5), start).empty());
        REQUIRE(runs.take(server, StartNumber(6), start).empty());
        REQUIRE(runs.take(server, StartNumber(5), start + std::chrono::seconds(10)).empty());
    }
}
