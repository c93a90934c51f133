#include "admissionplan.h"
#include "requestadmission.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace crocusport;

namespace {

const PoolName kPool("assistant");
constexpr std::uint32_t kSlots = 16;
constexpr std::uint32_t kServers = 90;
constexpr std::size_t kRouters = 77;

//! A pool in which urgent streams, verdicts and long prompts are in use.
struct Engines
{
    Engines()
    {
        for (std::uint32_t i = 0; i < kServers; ++i) {
            ServerEntry entry;
            entry.name = BackendServerName("engine-" + std::to_string(i));
            entry.pool = kPool;
            entry.address = SocketAddress("10.0.0." + std::to_string(i + 1) + ":80");
            entry.slots = kSlots;
            directory.update(entry, now);
        }
        for (const int urgency : { 0, 1, 2 })
            plan.noteArrival(facts(urgency, 0), now);
    }

    AdmissionFacts facts(int urgency, double draw) const
    {
        AdmissionFacts facts;
        facts.pool = kPool;
        facts.urgency = urgency;
        facts.arrival = now;
        facts.target = Milliseconds(urgency == 2 ? 1500 : 300);
        facts.deadline = now + std::chrono::seconds(15);
        facts.promptTokens = urgency == 2 ? 12'000 : 800;
        facts.draw = draw;
        facts.fingerprint = Fingerprint(static_cast<std::uint64_t>(draw * 1000) + 1);
        return facts;
    }
    //! Gives each server \a share of its slots as requests of other routers.
    void fill(double share, std::uint64_t prefillTokens = 0)
    {
        directory.forEach([&](const auto &server) {
            server->others.requests = static_cast<std::uint32_t>(share * kSlots);
            server->others.prefillTokens = prefillTokens;
            server->meanRunMs = 5000;
        });
        now += std::chrono::milliseconds(10);
    }
    //! Share of the requests of a kind that is sent.
    double sentShare(int urgency)
    {
        constexpr int kDraws = 100;
        int sent = 0;
        for (int i = 0; i < kDraws; ++i)
            sent += plan.hold(facts(urgency, i / double(kDraws)), now) == HoldReason::None ? 1 : 0;
        return sent / double(kDraws);
    }

    Instant now = Instant(std::chrono::seconds(100));
    ServerDirectory directory;
    AdmissionPlan plan { directory };
};

} // namespace

SCENARIO("Requests for a pool of engines under growing pressure")
{
    Engines engines;

    // Guards against a plan that changes anything without overload.
    WHEN("seven of eight slots are taken")
    {
        engines.fill(0.875);
        for (const int urgency : { 0, 1, 2 })
            REQUIRE(engines.sentShare(urgency) == 1);
    }
    // Guards against long prompts that fill all slots, so that urgent requests find none.
    WHEN("all slots are taken")
    {
        engines.fill(1);
        REQUIRE(engines.sentShare(0) == 1);
        REQUIRE(engines.sentShare(1) == 1);
        REQUIRE(engines.sentShare(2) < 0.6);
        REQUIRE(engines.sentShare(2) > 0.1);
    }
    // Guards against a less urgent kind that is sent more often than a more urgent one, and against
    // a kind that is excluded.
    WHEN("the pressure grows further")
    {
        for (const double share : { 1.0, 1.0625, 1.125, 1.1875, 1.25, 1.4375 }) {
            engines.fill(share);
            REQUIRE(engines.sentShare(0) >= engines.sentShare(1));
            REQUIRE(engines.sentShare(1) >= engines.sentShare(2));
            REQUIRE(engines.sentShare(2) >= 0.1);
        }
    }
    // Guards against requests that are held because of long prompts while slots are free, which
    // delayed requests in trials without overload.
    WHEN("prompts wait for prefill and slots are free")
    {
        engines.fill(0.875, 100'000);
        for (const int urgency : { 0, 1, 2 })
            REQUIRE(engines.sentShare(urgency) == 1);
    }
    // Guards against a crowd that is sent at once because reports of the load are still missing.
    WHEN("this router sends requests between two measurements")
    {
        engines.fill(0.875);
        REQUIRE(engines.sentShare(2) == 1);
        for (std::uint32_t i = 0; i < kServers * kSlots / 4; ++i)
            engines.plan.noteSent(engines.facts(2, 0.5), engines.now);
        REQUIRE(engines.plan.hold(engines.facts(2, 0.5), engines.now) == HoldReason::Pressure);
    }
}

SCENARIO("Requests that are refused come back")
{
    Engines engines;
    engines.fill(1.5);
    RequestAdmission admission(engines.plan);
    const auto arrival = engines.now;
    admission.begin(engines.facts(2, 0.5), engines.now);
    REQUIRE(admission.isHeld(engines.now));

    // Guards against a wait that cannot end in time and that costs its caller a later attempt.
    THEN("a request whose wait would be too long is refused at once")
    {
        REQUIRE_FALSE(admission.latestWait(arrival, Milliseconds(1500), engines.now));
    }
    THEN("a request whose wait may be short waits for half of its objective")
    {
        engines.fill(1);
        REQUIRE(admission.isHeld(engines.now));
        REQUIRE(admission.latestWait(arrival, Milliseconds(1500), engines.now)
                == arrival + Milliseconds(750));
    }
    // Guards against callers that come back all at once or later than they are ready to wait.
    THEN("the times of return are spread, and at most a third of the time left")
    {
        std::vector<Duration> times;
        for (int i = 0; i < 40; ++i)
            times.push_back(engines.plan.refuse(engines.facts(2, i / 40.0), HoldReason::Pressure,
                                                kRouters, engines.now));
        REQUIRE(*std::max_element(times.begin(), times.end()) <= std::chrono::seconds(5));
        REQUIRE(std::is_sorted(times.begin(), times.begin() + 8));
        REQUIRE(times[7] - times[0] > std::chrono::seconds(1));
    }
    // Guards against urgent callers that all come back after the same half second.
    THEN("a request that is refused because the servers are full is spread as well")
    {
        std::vector<Duration> times;
        for (int i = 0; i < 4; ++i) {
            RequestAdmission urgent(engines.plan);
            urgent.begin(engines.facts(0, i / 4.0), engines.now);
            REQUIRE_FALSE(urgent.isHeld(engines.now));
            times.push_back(urgent.retryAfter(Duration::zero(), kRouters, engines.now));
        }
        REQUIRE(std::is_sorted(times.begin(), times.end()));
        REQUIRE(times.back() > times.front());
    }
    // Guards against a caller that is refused twice while new requests are sent.
    THEN("a request that came back is sent before new ones of its kind")
    {
        engines.plan.refuse(engines.facts(2, 0.9), HoldReason::Pressure, kRouters, engines.now);
        engines.fill(1);
        RequestAdmission returned(engines.plan);
        returned.begin(engines.facts(2, 0.9), engines.now);
        REQUIRE_FALSE(returned.isHeld(engines.now));
        REQUIRE(engines.plan.hold(engines.facts(2, 0.9), engines.now) == HoldReason::Pressure);
        REQUIRE(returned.latestStart(arrival, Milliseconds(1500)) == arrival);
    }
    // Guards against a request that may have run and then gets no further attempt.
    THEN("later attempts are not held")
    {
        admission.noteSent(engines.now);
        REQUIRE_FALSE(admission.isHeld(engines.now));
    }
}

SCENARIO("A request that no server can serve in time")
{
    Engines engines;
    auto facts = engines.facts(0, 0.5);
    RequestAdmission admission(engines.plan);
    engines.fill(2);
    const auto server = engines.directory.pool(kPool).front();
    facts.deadline = engines.now + Milliseconds(100);
    admission.begin(facts, engines.now);

    REQUIRE_FALSE(admission.accepts(*server, 800, engines.now));
    REQUIRE_FALSE(admission.latestWait(engines.now, Milliseconds(300), engines.now));
    // Guards against refusals while servers have free slots.
    engines.fill(0.75);
    REQUIRE(admission.accepts(*server, 800, engines.now));
}

SCENARIO("All routers have restarted and a crowd of callers returns")
{
    Engines engines;
    engines.fill(0);
    engines.plan.setFleet(kRouters, false, engines.now);
    const auto waiting = engines.facts(2, 0.5);
    constexpr std::size_t kShare = std::size_t(kServers) * kSlots / kRouters;
    for (std::size_t i = 0; i <= kShare; ++i) {
        REQUIRE(engines.plan.hold(waiting, engines.now) == HoldReason::None);
        engines.plan.noteSent(waiting, engines.now);
    }

    // Guards against 77 routers that each fill the engines, as the loads of the others look empty.
    THEN("a router sends at most its share of the slots")
    {
        REQUIRE(engines.plan.hold(waiting, engines.now) == HoldReason::Start);
        RequestAdmission admission(engines.plan);
        admission.begin(waiting, engines.now);
        REQUIRE(admission.isHeld(engines.now));
        REQUIRE(admission.latestWait(engines.now, Milliseconds(1500), engines.now));
    }
    THEN("it sends more as soon as another router has reported its load")
    {
        engines.plan.setFleet(kRouters, true, engines.now);
        REQUIRE(engines.plan.hold(waiting, engines.now) == HoldReason::None);
    }
    // Guards against refusals of requests while servers are free.
    THEN("no request is held for more than an eighth of its objective")
    {
        REQUIRE(engines.plan.hold(waiting, engines.now + Milliseconds(200)) == HoldReason::None);
    }
}

// Guards against a team that sends several times its usual load, so that the requests of all teams
// are held alike.
SCENARIO("One of several teams sends six times its usual load")
{
    TeamShares shares;
    Instant now(std::chrono::seconds(100));
    const auto send = [&](int loudRequests) {
        for (int round = 0; round < 30; ++round) {
            now += Milliseconds(100);
            for (int team = 0; team < 5; ++team) {
                for (int i = 0; i < (team == 0 ? loudRequests : 1); ++i)
                    shares.note(TeamName(std::to_string(team)), Milliseconds(500), now);
            }
        }
    };
    send(1);
    REQUIRE(shares.factor(TeamName("0"), now) == 1);
    send(6);
    REQUIRE(shares.factor(TeamName("0"), now) < 0.7);
    REQUIRE(shares.factor(TeamName("0"), now) >= TeamShares::kMinFactor);
    REQUIRE(shares.factor(TeamName("1"), now) == 1);

    THEN("its requests are held first, and those of the floor are not")
    {
        Engines engines;
        engines.fill(0.9375);
        auto facts = engines.facts(2, 0.7);
        REQUIRE(engines.plan.hold(facts, engines.now) == HoldReason::None);
        facts.teamFactor = TeamShares::kMinFactor;
        REQUIRE(engines.plan.hold(facts, engines.now) == HoldReason::Pressure);
        facts.draw = 0.05;
        REQUIRE(engines.plan.hold(facts, engines.now) == HoldReason::None);
    }
    THEN("the team is like the others again after some seconds without requests")
    {
        now += std::chrono::seconds(30);
        shares.expire(now);
        send(1);
        REQUIRE(shares.factor(TeamName("0"), now) == 1);
    }
}
