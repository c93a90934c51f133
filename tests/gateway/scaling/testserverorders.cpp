#include "serverorders.h"

#include <catch2/catch.hpp>

using namespace crocusport;
using std::chrono::milliseconds;
using std::chrono::seconds;

SCENARIO("Orders are repeated until the servers are as wanted")
{
    const PoolName pool("p");
    const AvailabilityZone a("a");
    const AvailabilityZone b("b");
    const auto kSpot = ServerKind::Spot;
    const PoolScaling scaling { 1, 20, seconds(4), 0.2, {} };
    ServerOrders orders(pool);
    Instant now { seconds(10) };
    ServerCounts wanted;
    PresentServers present;
    const auto update = [&](Duration later) {
        now += later;
        orders.update(wanted, present, scaling, now);
    };
    const auto exchange = [&](OrderOutcome outcome) {
        const auto order = orders.next(now);
        REQUIRE(order);
        orders.noteSent(*order, now);
        orders.noteOutcome(*order, outcome, now);
        return *order;
    };

    wanted[a][kSpot] = 5;
    update({});
    const ServerOrder five { pool, a, true, 5 };
    REQUIRE(orders.next(now) == five);

    WHEN("the servers are there without an order")
    {
        present[a].live[kSpot] = 5;
        update({});
        REQUIRE_FALSE(orders.next(now));
    }
    WHEN("an order is under way")
    {
        orders.noteSent(five, now);
        wanted[a][ServerKind::Regular] = 2;
        wanted[b][kSpot] = 3;
        update({});
        // Guards against two orders for one zone whose order at the platform is open.
        THEN("only other zones get one")
        {
            const ServerOrder other { pool, b, true, 3 };
            REQUIRE(orders.next(now) == other);
            orders.noteSent(other, now);
            REQUIRE_FALSE(orders.next(now));
        }
        // Guards against a zone that waits forever for a caller that has lost the outcome.
        THEN("it counts as unanswered after a time")
        {
            update(ServerOrders::kOutcomeTime);
            update(seconds(1));
            REQUIRE(orders.next(now));
        }
    }
    WHEN("the order is accepted")
    {
        exchange(OrderOutcome::Accepted);
        THEN("it is repeated only if the servers do not come")
        {
            update(milliseconds(5900));
            REQUIRE_FALSE(orders.next(now));
            update(milliseconds(100));
            REQUIRE(orders.next(now) == five);
        }
        THEN("another number is sent at once")
        {
            wanted[a][kSpot] = 7;
            update({});
            REQUIRE(orders.next(now) == ServerOrder { pool, a, true, 7 });
        }
    }
    WHEN("the order gets no response")
    {
        exchange(OrderOutcome::Unanswered);
        REQUIRE_FALSE(orders.next(now));
        update(seconds(1));
        REQUIRE(exchange(OrderOutcome::Accepted) == five);
        present[a].live[kSpot] = 5;
        update(seconds(1));
        REQUIRE_FALSE(orders.next(now));
        // Guards against an old order that is carried out after the newest one was accepted.
        AND_WHEN("an older order is carried out later")
        {
            present[a].live[kSpot] = 2;
            update(seconds(1));
            THEN("the number is sent again before the boot time is over")
            {
                REQUIRE(orders.next(now) == five);
            }
        }
    }
    WHEN("the zone has no servers")
    {
        exchange(OrderOutcome::NoneAvailable);
        // Guards against calls that only repeat the refusal, and against a zone given up for good.
        THEN("it is asked again after 2, 4 and 8 s")
        {
            for (const auto pause : { 2, 4, 8, 8 }) {
                REQUIRE(orders.isRefused(a, kSpot, now));
                REQUIRE_FALSE(orders.isRefused(a, ServerKind::Regular, now));
                update(seconds(pause) - milliseconds(1));
                REQUIRE_FALSE(orders.next(now));
                update(milliseconds(1));
                exchange(OrderOutcome::NoneAvailable);
            }
        }
        THEN("fewer than there are can be ordered at once")
        {
            present[a].live[kSpot] = 4;
            wanted[a][kSpot] = 3;
            update({});
            REQUIRE(orders.next(now) == ServerOrder { pool, a, true, 3 });
        }
    }
    // Guards against an order above the limit of a zone, as one kind grows before the other falls.
    WHEN("the other kind shall take most of the zone")
    {
        exchange(OrderOutcome::Accepted);
        wanted[a][kSpot] = 1;
        wanted[a][ServerKind::Regular] = 17;
        update({});
        THEN("it is ordered when the first kind has fallen")
        {
            REQUIRE(exchange(OrderOutcome::Unanswered) == ServerOrder { pool, a, true, 1 });
            REQUIRE_FALSE(orders.next(now));
            update(seconds(1));
            exchange(OrderOutcome::Accepted);
            REQUIRE(orders.next(now) == ServerOrder { pool, a, false, 17 });
        }
    }
    WHEN("the platform has had too many calls")
    {
        exchange(OrderOutcome::RateLimited);
        REQUIRE(orders.next(now) == five);
    }
    // Guards against removals that are ordered before the servers that replace them.
    WHEN("another zone has too many servers")
    {
        wanted[AvailabilityZone("0")][kSpot] = 1;
        present[AvailabilityZone("0")].live[kSpot] = 9;
        update({});
        REQUIRE(orders.next(now) == five);
    }
}
