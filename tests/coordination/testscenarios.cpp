#include "cluster.h"
#include "scenario.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace crocusport;
using namespace crocusport::testing;
using namespace std::chrono_literals;

namespace {

//! Runs the script with 10 seeds, because delays and choices of peers are random.
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
    // Guards against a dead router that keeps its roles, and against a restarted router that the
    // others still consider dead.
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
    // Guards against a router that stays dead for the others after a pause, and against one that
    // declares the others dead after its pause.
    SECTION("a router is paused")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s pause c
            at 7s expect all-agree
            at 30s resume c
            at 31s expect live c a b c d e
            at 35s expect all-agree
            at 35s expect drops 0)");
    }
    // Guards against a router that declares suspected members dead right after a pause, before it
    // has read the messages that refute the suspicion.
    SECTION("a router is paused while it suspects others")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s loss 1
            at 3500ms loss 0
            at 3500ms pause c
            at 11s heal
            at 12s resume c
            at 16s expect all-agree
            at 16s expect drops 0)");
    }
    // Guards against sides that never reconnect, and against live members that are removed while
    // the member tables of the two sides are merged.
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
            at 380s expect all-agree
            at 380s expect drops 0)");
    }
    // Guards against a router that is declared dead because it cannot reach one other router.
    SECTION("two routers lose only their direct connection")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s cut a c
            at 4s expect all-agree
            at 20s expect all-agree)");
    }
    // Guards against updates that never reach a router because some messages are lost.
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
    // Guards against requests that wait for ever for a holder that has died.
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
    // Guards against a new holder that grants slots which are in use.
    SECTION("a holder dies while requests run, and requests start while another holder is paused")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s request other:p0 p0 1 5 60s 30s
            at 3s kill holder:p0
            at 9s expect slots 5
            at 9s request other:p1 p1 1 4 60s 20s
            at 10s pause holder:p1
            at 11s request other:p1 p1 1 4 60s 20s
            at 11500ms resume holder:p1
            at 12s expect slots 13)");
    }
    // Guards against a holder that, after a pause, grants requests that were granted meanwhile.
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
    // Guards against a router that, after a pause, runs requests whose callers have given up.
    SECTION("a router is paused until its requests' deadline has passed")
    {
        requireScenario(R"(
            routers a b c d e
            at 2s request holder:p0 p0 1 12 30s 2s
            at 3s request other:p0 p0 1 5 4s 1s
            at 3500ms pause other:p0
            at 9s resume other:p0
            at 10s expect decided
            at 10s expect granted 12
            at 10s expect slots 0)");
    }
    // Guards against a holder that grants the slots of a leaving router while its requests run.
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
    // Guards against a holder that treats the idle time of its pool like a pause of the router, and
    // so keeps the slots of lost releases for that time.
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
    // Guards against slots that are granted to callers that have disconnected.
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

SCENARIO("A configuration reaches every router, also while the store or routers fail")
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
    // the store is unavailable.
    SECTION("the store becomes unavailable during a publication and a router starts")
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
    // Guards against a router that has missed versions and ends with an older one than the others.
    SECTION("a router is paused while two versions are published")
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

//! Applies a random event to \a cluster: a fault, the end of one, requests or cancellations.
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

//! Ends all faults, and waits until their effects must have ended.
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

TEST_CASE("Routers recover completely after random faults have ended")
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
            if (cluster.hasIncarnation(request.router, request.incarnation) && !request.isCancelled)
                RC_ASSERT(decisions == 1);
            if (request.grants > 0)
                RC_ASSERT(request.decidedAt < request.deadline);
        }
        RC_ASSERT(cluster.countedSlots() == 0U);
    });
}

SCENARIO("The cost of membership is bounded")
{
    // Guards against gossip traffic per router that grows with the number of routers or over time.
    GIVEN("nine idle routers")
    {
        std::vector<std::string> names;
        for (int i = 0; i < 9; ++i)
            names.push_back("r" + std::to_string(i));
        Cluster cluster(names, 1);
        cluster.advanceTo(cluster.now() + 10s);
        const auto before = cluster.messagesSent();
        cluster.advanceTo(cluster.now() + 100s);
        THEN("each sends at most two pings and two acknowledgements per second")
        {
            REQUIRE(cluster.messagesSent() - before <= 9 * 100 * 4 + 36);
        }
    }
}
