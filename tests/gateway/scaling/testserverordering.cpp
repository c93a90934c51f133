#include "fakeplatform.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <vector>

using namespace crocusport;
using crocusport::test::FakePlatform;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const PoolName kPool("p");
const AvailabilityZone kA("a"); // The cheapest zone.
const AvailabilityZone kB("b"); // The dearest zone.
constexpr auto kRegular = ServerKind::Regular;
constexpr auto kSpot = ServerKind::Spot;

PoolScaling usualScaling()
{
    return { 1,
             46,
             seconds(4),
             0.22,
             { { kA, 0.85 },
               { kB, 1.2 },
               { AvailabilityZone("c"), 1.0 },
               { AvailabilityZone("d"), 1.1 } } };
}

//! Kind of event and the index of a zone; see Deployment::play().
using Event = std::pair<int, int>;

rc::Gen<std::vector<Event>> anyEvents(int kinds)
{
    return rc::gen::container<std::vector<Event>>(
        20, rc::gen::pair(rc::gen::inRange(0, kinds), rc::gen::inRange(0, 4)));
}

//! One pool of engines, its platform and its holder, which are advanced together.
struct Deployment
{
    explicit Deployment(const PoolScaling &limits = usualScaling(), std::uint32_t regular = 22)
        : scaling(limits), platform(limits, regular)
    { }

    // Carries an order out at once, or later without a response.
    void send(const ServerOrder &order)
    {
        ordering.noteSent(order, now);
        ++orders;
        if (isSilent) {
            late.emplace_back(now + seconds(3), order);
            ordering.noteOutcome(order, OrderOutcome::Unanswered, now);
            return;
        }
        ordering.noteOutcome(order, platform.carryOut(order, status), now);
    }

    void step()
    {
        now += milliseconds(100);
        std::erase_if(late, [&](const auto &item) {
            if (item.first <= now)
                platform.carryOut(item.second, status);
            return item.first <= now;
        });
        platform.advance(now);
        // One router with all the demand; a need of 1 server is 28,000 tokens a second.
        demand.requests += 1;
        demand.prefillTokens += static_cast<std::uint64_t>(need * 2'800);
        RoutingConfiguration configuration;
        configuration.pools.push_back({ kPool, {}, 0, EngineProfile { 16, 500'000, 1 }, scaling });
        ordering.update(RoutingTable(std::move(configuration)), platform.directory, now);
        status = ordering.status().front();
        if (need > 0)
            ordering.noteDemand(RouterName("r"), kPool, demand, now);
        if (const auto order = ordering.next(now))
            send(*order);
    }

    void run(Duration time)
    {
        for (const auto end = now + time; now < end;)
            step();
    }

    //! Plays an event and the 3 s after it.
    void play(const Event &event)
    {
        platform.isTotalKept = false; // Losses may leave less than the total.
        const auto zone = std::next(scaling.zoneCosts.begin(), event.second)->first;
        if (event.first == 0)
            platform.reclaim(zone);
        if (event.first == 1)
            platform.empty.insert({ zone, kSpot });
        if (event.first == 2)
            platform.empty.clear();
        if (event.first == 3)
            need = 10 + 40.0 * event.second;
        if (event.first == 4) {
            const auto plan = ordering.planText();
            ordering = ServerOrdering();
            ordering.restore(plan);
        }
        if (event.first == 5)
            isSilent = !isSilent;
        run(seconds(3));
    }

    //! Whether the platform comes to have what is wanted and enough for the need, when there are no
    //! more faults.
    bool endsAsPlanned()
    {
        platform.empty.clear();
        run(seconds(60));
        // The plan may have changed a moment ago, as peaks decay.
        for (const auto end = now + seconds(5); now < end; step()) {
            if (isAsPlanned())
                return true;
        }
        return false;
    }

    bool isAsPlanned() const
    {
        for (const auto &[zone, counts] : status.wanted) {
            for (const auto kind : kServerKinds) {
                if (desired(zone, kind) != counts[kind])
                    return false;
            }
        }
        return platform.live() >= status.need;
    }

    std::uint32_t desired(const AvailabilityZone &zone, ServerKind kind) const
    {
        return platform.desired(zone, kind);
    }

    PoolScaling scaling;
    FakePlatform platform;
    ServerOrdering ordering;
    OrderingStatus status; //!< As of the last step; a new holder has none before.
    Instant now { seconds(100) };
    PoolDemand demand;
    double need = 0; //!< Servers that the demand needs.
    bool isSilent = false;
    std::vector<std::pair<Instant, ServerOrder>> late;
    int orders = 0;
};

} // namespace

SCENARIO("Spot servers replace regular ones and follow the demand")
{
    Deployment deployment;
    auto &platform = deployment.platform;

    // Guards against a holder that takes an unknown demand for none.
    WHEN("there is no demand yet")
    {
        deployment.run(seconds(4));
        REQUIRE(platform.live(kRegular) == 88);
        deployment.run(seconds(10));
        THEN("spot servers have replaced the regular ones, and the total is kept")
        {
            REQUIRE(platform.live(kRegular) == 0);
            REQUIRE(platform.live(kSpot) == 88);
            REQUIRE(deployment.desired(kA, kSpot) >= deployment.desired(kB, kSpot));
            REQUIRE(deployment.orders <= 12);
        }
    }
    deployment.run(seconds(5));
    deployment.need = 20;
    // The mean rate of the pool and headroom for bursts, 50 servers.
    WHEN("a quiet demand goes on")
    {
        deployment.run(seconds(12));
        REQUIRE(platform.live(kSpot) == 88);
        deployment.run(seconds(28));
        THEN("the servers shrink to it, but not below the headroom")
        {
            REQUIRE(platform.live(kRegular) == 0);
            REQUIRE(platform.live(kSpot) >= 49);
            REQUIRE(platform.live(kSpot) <= 53);
        }
        const auto orders = deployment.orders;
        deployment.run(seconds(30));
        // Guards against orders that follow every fluctuation.
        REQUIRE(deployment.orders <= orders + 2);

        // Guards against a burst that is met only after the time of hysteresis.
        AND_WHEN("a burst needs more")
        {
            deployment.need = 80;
            deployment.run(seconds(8));
            THEN("the servers that remain after a loss carry it")
            {
                REQUIRE(platform.live() - deployment.desired(kA, kSpot) >= 78);
            }
        }
        AND_WHEN("the platform takes the spot servers of a zone away")
        {
            platform.empty.insert({ kA, kSpot });
            platform.reclaim(kA);
            const auto before = platform.live();
            deployment.run(milliseconds(500));
            // Guards against replacements that wait until the servers have left.
            THEN("replacements are ordered at once in other zones, and the zone is asked again")
            {
                REQUIRE(deployment.desired(AvailabilityZone("c"), kSpot) > before / 4 + 1);
                deployment.run(seconds(6));
                REQUIRE(platform.live() >= before - 1);
                REQUIRE(platform.live(kRegular) == deployment.scaling.min);
                platform.empty.clear();
                deployment.run(seconds(14));
                REQUIRE(deployment.desired(kA, kSpot) > 10);
            }
        }
        AND_WHEN("prices are reversed")
        {
            deployment.scaling.zoneCosts[kA] = 6;
            deployment.scaling.zoneCosts[kB] = 0.5;
            deployment.run(seconds(30));
            THEN("servers have moved from the dear zone to the cheap one")
            {
                REQUIRE(deployment.desired(kA, kSpot) == 1);
                REQUIRE(deployment.desired(kB, kSpot) > 15);
            }
        }
        AND_WHEN("the duty is lost and another router continues")
        {
            const auto plan = deployment.ordering.planText();
            const auto sent = deployment.orders;
            deployment.ordering = ServerOrdering();
            REQUIRE(deployment.ordering.restore(plan));
            deployment.run(seconds(15));
            // Guards against a new holder that starts the plan anew.
            THEN("it orders nothing")
            {
                REQUIRE(deployment.orders == sent);
                REQUIRE(deployment.ordering.planText() == plan);
            }
        }
    }
    REQUIRE(platform.fault().empty());
}

SCENARIO("Regular servers serve where spot servers cannot be had")
{
    WHEN("no zone has spot servers")
    {
        Deployment deployment(usualScaling(), 5);
        auto &platform = deployment.platform;
        for (const auto &[zone, cost] : deployment.scaling.zoneCosts)
            platform.empty.insert({ zone, kSpot });
        deployment.need = 30;
        deployment.run(seconds(15));
        // Guards against a pool that waits for spot servers, and against regular servers that are
        // cancelled each time a zone is asked again.
        THEN("regular ones are ordered for the need, and replaced when there are spot servers")
        {
            REQUIRE(platform.live(kRegular) >= 30);
            platform.empty.clear();
            deployment.run(seconds(40));
            REQUIRE(platform.live(kRegular) == 0);
            REQUIRE(platform.live(kSpot) >= 40);
        }
        REQUIRE(platform.fault().empty());
    }
    WHEN("one zone has no spot servers")
    {
        Deployment deployment;
        deployment.platform.empty.insert({ kB, kSpot });
        deployment.run(seconds(20));
        // Guards against regular servers in place of spot servers that other zones have.
        THEN("the other zones carry the plan, and the zone keeps the fewest servers")
        {
            REQUIRE(deployment.platform.live(kSpot) >= 88);
            REQUIRE(deployment.platform.live(kRegular) == 1);
            REQUIRE(deployment.desired(kB, kRegular) == 1);
        }
        REQUIRE(deployment.platform.fault().empty());
    }
    WHEN("no servers can be had at all")
    {
        Deployment deployment(usualScaling(), 5);
        deployment.platform.isEmpty = true;
        deployment.need = 30;
        deployment.run(seconds(30));
        REQUIRE(deployment.platform.live(kRegular) == 20);
        REQUIRE(deployment.orders < 60);
    }
    WHEN("the pool has no spot price")
    {
        auto scaling = usualScaling();
        scaling.spotCost.reset();
        Deployment deployment(scaling);
        deployment.need = 20;
        deployment.run(seconds(60));
        THEN("the regular servers follow the need")
        {
            REQUIRE(deployment.platform.live(kSpot) == 0);
            REQUIRE(deployment.platform.live(kRegular) >= 49);
            REQUIRE(deployment.platform.live(kRegular) <= 53);
        }
        REQUIRE(deployment.platform.fault().empty());
    }
}

SCENARIO("The servers end as planned whatever became of single orders")
{
    // Guards against orders that are carried out late and leave the wrong number for good.
    WHEN("the platform answers no order for a time and carries them out later")
    {
        Deployment deployment;
        deployment.run(seconds(1));
        deployment.isSilent = true;
        deployment.run(seconds(10));
        deployment.need = 20;
        deployment.isSilent = false;
        deployment.run(seconds(60));
        REQUIRE(deployment.platform.live(kRegular) == 0);
        const auto wanted = deployment.ordering.status().front().wanted;
        for (const auto &[zone, counts] : wanted)
            REQUIRE(deployment.desired(zone, kSpot) == counts[kSpot]);
    }
    // Guards against a plan of an earlier deployment that removes servers it has not replaced.
    WHEN("the plan in the store is older than the servers")
    {
        Deployment old;
        old.need = 5;
        old.run(seconds(60));
        Deployment deployment;
        REQUIRE(deployment.ordering.restore(old.ordering.planText()));
        deployment.run(seconds(3));
        REQUIRE(deployment.platform.live() == 88);
        deployment.run(seconds(10));
        REQUIRE(deployment.platform.live() == 88);
        REQUIRE_FALSE(deployment.ordering.restore("{"));
    }
    // Guards against orders of a router that has lost the duty.
    WHEN("an order is fenced")
    {
        Deployment deployment;
        deployment.run(milliseconds(100));
        const ServerOrder order { kPool, kA, true, 3 };
        deployment.ordering.noteOutcome(order, OrderOutcome::Fenced, deployment.now);
        const auto sent = deployment.orders;
        deployment.run(seconds(5));
        REQUIRE(deployment.orders == sent);
    }
    // Guards against orders above max or below min, and removals that leave less than the need.
    rc::prop("for any demand, losses of zones, missing servers and new holders", [] {
        Deployment deployment(usualScaling(), *rc::gen::inRange(1U, 47U));
        for (const auto &event : *anyEvents(5)) {
            deployment.play(event);
            RC_ASSERT(deployment.platform.fault() == std::string());
        }
        RC_ASSERT(deployment.endsAsPlanned());
    });
    // Guards against the same with an order that is refused while an earlier one is carried out:
    // the servers that were starting were ordered away.
    WHEN("zones run out of servers while ordered ones are starting")
    {
        Deployment deployment(usualScaling(), 1);
        deployment.run(seconds(12));
        for (const auto &event : std::vector<Event> { { 3, 3 }, { 2, 0 }, { 1, 0 }, { 0, 1 } })
            deployment.play(event);
        deployment.run(seconds(12));
        REQUIRE(deployment.platform.live() >= 130);
    }
    // Guards against servers that stay as a late order left them. Orders that are carried out late
    // may break the limits of a zone for a moment.
    rc::prop("for any events and lost responses", [] {
        Deployment deployment(usualScaling(), *rc::gen::inRange(1U, 47U));
        for (const auto &event : *anyEvents(6))
            deployment.play(event);
        deployment.isSilent = false;
        RC_ASSERT(deployment.endsAsPlanned());
    });
}
