#include "cluster.h"
#include "scenario.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace crocusport;
using namespace crocusport::testing;
using namespace std::chrono_literals;

namespace {

//! Runs the script with several seeds, as delays and choices of peers are random.
void requireScenario(const std::string &script)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        const auto unmet = runScenario(script, seed);
        CAPTURE(unmet);
        REQUIRE(unmet.empty());
    }
}

} // namespace

SCENARIO("Routers keep an agreed view of each other")
{
    // Guards against a dead router that keeps its roles, or a restarted one that stays dead.
    SECTION("a router dies and is restarted")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s expect all-agree
            at 2s kill c
            at 7s expect all-agree
            at 7s start c
            at 10s expect all-agree
            at 10s kill d
            at 10s start d
            at 13s expect all-agree
            at 60s expect all-agree)");
    }
    // Guards against a pause after which a router is never trusted again or condemns the others.
    SECTION("a router is paused")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s pause c
            at 7s expect all-agree
            at 30s resume c
            at 31s expect live c a b c d e
            at 35s expect all-agree)");
    }
    // Guards against sides that never find each other again, and against live members that drop
    // out while the beliefs of the two sides are merged.
    SECTION("a partition heals")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s cut a c
            at 2s cut a d
            at 2s cut a e
            at 2s cut b c
            at 2s cut b d
            at 2s cut b e
            at 10s expect live a a b
            at 10s expect live d c d e
            at 300s heal
            at 370s expect all-agree
            at 380s expect all-agree)");
    }
    // Guards against a single broken pair of routers taken for a dead router.
    SECTION("two routers lose only their direct connection")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s cut a c
            at 4s expect all-agree
            at 20s expect all-agree)");
    }
    // Guards against news that is lost with a few messages.
    SECTION("a third of the messages is lost while a router leaves")
    {
        requireScenario(R"(
            routers a b c d e f g h
            at 5s expect all-agree
            at 5s loss 0.3
            at 5s observe b p0-1
            at 5s leave h
            at 12s expect observed 1
            at 12s loss 0
            at 20s expect live a a b c d e f g
            at 20s kill h
            at 30s expect all-agree)");
    }
}

SCENARIO("Each request gets one decision while holders change")
{
    // Guards against requests that wait for a holder that is gone.
    SECTION("the holder dies")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s request other:p0 p0 1 20 10s 1s
            at 3500ms expect granted 20
            at 4500ms request other:p0 p0 2 30 30s 2s
            at 5s kill holder:p0
            at 40s expect decided
            at 90s expect slots 0)");
    }
    // Guards against a woken holder whose old grants run requests again.
    SECTION("the holder is paused while requests wait")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s request other:p0 p0 2 40 30s 1s
            at 2500ms pause holder:p0
            at 20s resume holder:p0
            at 40s expect decided
            at 40s expect granted 40
            at 100s expect slots 0)");
    }
    // Guards against a leaving router whose slots are given away while it finishes.
    SECTION("a router leaves with running requests")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s request other:p0 p0 1 5 30s 20s
            at 3s leave other:p0
            at 6s expect slots 5
            at 30s expect decided
            at 30s expect slots 0)");
    }
    // Guards against slots that stay in use for ever when a release is lost.
    SECTION("all messages are lost for a while")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s request other:p0 p0 1 10 30s 1s
            at 2500ms loss 1
            at 4s loss 0
            at 70s expect decided
            at 70s expect slots 0
            at 71s expect all-agree)");
    }
    // Guards against a holder that takes the idle time of its pool for a pause of its own.
    SECTION("releases are lost after the pool was idle")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s request other:p0 p0 1 1 30s 100ms
            at 80s request other:p0 p0 1 10 30s 1s
            at 80500ms loss 1
            at 82s loss 0
            at 130s expect slots 0)");
    }
    // Guards against slots that are granted to callers who have gone.
    SECTION("cancellations are lost")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s request other:p0 p0 1 12 30s 9s
            at 3s expect granted 12
            at 3s request other:p0 p0 1 5 30s 9s
            at 4s loss 1
            at 4s cancel other:p0
            at 4100ms loss 0
            at 12s expect slots 0
            at 12s expect decided)");
    }
}

SCENARIO("A configuration reaches every router, also while parts fail")
{
    // Guards against routers that enforce different versions for longer than 6 s.
    SECTION("two operators publish at the same time")
    {
        requireScenario(R"(
            routers a b c d e f g h i
            at 2s publish first
            at 2s publish second
            at 3s expect same-version
            at 3s publish third
            at 4s expect same-version
            at 4s expect published third ok)");
    }
    // Guards against a router that serves without a configuration, or never becomes ready while
    // the store is out.
    SECTION("the store goes out during a publication and a router starts")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s publish first
            at 3s expect ready a
            at 3s store out
            at 3s publish second
            at 3s kill d
            at 4s start d
            at 6s expect version 1
            at 6s expect ready d
            at 10s expect published second StoreUnavailable
            at 10s store back
            at 11s publish third
            at 13s expect version 2)");
    }
    // Guards against a partition from the store that ends with an older version.
    SECTION("some routers are partitioned from the others while two versions are published")
    {
        requireScenario(R"(
            routers a b c
            at 2s publish first
            at 3s pause c
            at 3s publish second
            at 20s publish third
            at 30s resume c
            at 36s expect version 3
            at 40s expect all-agree)");
    }
}

namespace {

const std::vector<std::string> kNames { "a", "b", "c", "d", "e" };

//! Does something random to \a cluster that may happen at any time.
void disturb(Cluster &cluster)
{
    const auto name = *rc::gen::elementOf(kNames);
    const auto other = *rc::gen::elementOf(kNames);
    const bool isRunning = cluster.isRunning(name);
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
        cluster.kill(name);
        break;
    case 1:
        cluster.start(name);
        break;
    case 2:
        cluster.pause(name);
        break;
    case 3:
        cluster.resume(name);
        break;
    case 4:
        if (name != other)
            cluster.cut(name, other);
        break;
    case 5:
        cluster.healAll();
        break;
    case 6:
        cluster.loss = *rc::gen::element(0.0, 0.1, 0.5);
        cluster.duplication = *rc::gen::element(0.0, 0.2);
        cluster.maxDelay = *rc::gen::element<Duration>(2ms, 30ms, 400ms);
        break;
    case 7:
        if (isRunning)
            cluster.cancelAll(name);
        break;
    default:
        for (auto count = *rc::gen::inRange(0, 12); isRunning && count > 0; --count)
            cluster.request(name, *rc::gen::element<std::string>("p0", "p1"),
                            *rc::gen::inRange(1, 5), *rc::gen::element<Duration>(300ms, 5s, 40s),
                            *rc::gen::element<Duration>(20ms, 1s, 15s));
    }
}

//! Ends all faults and waits until what they left behind must be gone.
void recover(Cluster &cluster)
{
    cluster.healAll();
    cluster.loss = 0;
    cluster.duplication = 0;
    cluster.maxDelay = 2ms;
    for (const auto &name : kNames) {
        if (!cluster.isRunning(name))
            cluster.resume(name);
        if (!cluster.isRunning(name))
            cluster.start(name);
    }
    cluster.advanceTo(cluster.now() + 75s);
}

} // namespace

TEST_CASE("Whatever happens between routers and then ends leaves no trace")
{
    rc::prop("routers agree, each request has one decision, and no slot is leaked", [] {
        Cluster cluster(kNames, *rc::gen::arbitrary<std::uint64_t>());
        cluster.advanceTo(cluster.now() + 2s);
        for (auto steps = *rc::gen::inRange(5, 40); steps > 0; --steps) {
            disturb(cluster);
            cluster.advanceTo(cluster.now()
                              + *rc::gen::element<Duration>(1ms, 15ms, 200ms, 2s, 6s));
        }
        recover(cluster);
        for (const auto &name : kNames)
            RC_ASSERT(cluster.liveSeenBy(name) == kNames);
        for (const auto &[id, request] : cluster.requests()) {
            const auto decisions = request.grants + request.refusals;
            RC_ASSERT(decisions <= (request.isCancelled ? 0 : 1));
            if (cluster.isLife(request.router, request.life) && !request.isCancelled)
                RC_ASSERT(decisions == 1);
            if (request.grants > 0)
                RC_ASSERT(request.decidedAt < request.deadline);
        }
        RC_ASSERT(cluster.countedSlots() == 0U);
    });
}

SCENARIO("The cost of membership is bounded")
{
    // Guards against gossip that grows with the fleet or with time.
    GIVEN("nine idle routers")
    {
        std::vector<std::string> names;
        for (int i = 0; i < 9; ++i)
            names.push_back("r" + std::to_string(i));
        Cluster cluster(names, 1);
        cluster.advanceTo(cluster.now() + 10s);
        const auto before = cluster.messagesSent();
        cluster.advanceTo(cluster.now() + 100s);
        THEN("each sends two pings and two acknowledgements per second")
        {
            REQUIRE(cluster.messagesSent() - before <= 9 * 100 * 4 + 36);
        }
    }
}
