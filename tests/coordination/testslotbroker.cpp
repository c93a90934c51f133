#include "crocusport/coordination/slotbroker.h"

#include <catch2/catch.hpp>

using namespace crocusport;
using namespace std::chrono_literals;

SCENARIO("A router obtains slots by its queue policy and releases those it does not use")
{
    const Instant now(1000s);
    BackendServer server;
    server.name = BackendServerName("s");
    server.pool = PoolName("p");
    server.slots = 2;
    const auto request = [&](const std::string &id) {
        SlotRequest request;
        request.request = RequestId(id);
        request.pool = server.pool;
        request.tier = Tier(1);
        request.arrived = now;
        request.deadline = now + 10s;
        return request;
    };

    // Guards against measurements of a baseline that use the holder's queue by mistake.
    GIVEN("a router with one of the policies without holders, and peers")
    {
        const auto policy = GENERATE(QueuePolicy::Local, QueuePolicy::LeastOutstanding,
                                     QueuePolicy::FifoRoundRobin);
        SlotBroker broker(RouterName("a"), policy, 1);
        broker.setBackendServers({ server }, now);
        broker.setMembers({ RouterName("a"), RouterName("b"), RouterName("c") }, now);

        WHEN("three requests arrive for two slots")
        {
            for (const auto *const id : { "1", "2", "3" })
                broker.request(request(id), now);
            const auto output = broker.run(now);
            THEN("it grants its own slots and sends nothing")
            {
                REQUIRE(output.messages.empty());
                REQUIRE(output.grants.size() == 2);
                AND_WHEN("a slot is released")
                {
                    SlotRelease release;
                    release.request = output.grants.front().request;
                    release.pool = server.pool;
                    release.server = server.name;
                    broker.release(release, now + 1s);
                    REQUIRE(broker.run(now + 1s).grants.size() == 1);
                }
            }
        }
    }

    // Guards against a new holder that grants slots to lower tiers before it knows which slots are
    // in use.
    GIVEN("a router that has just become the holder")
    {
        server.slots = 10;
        SlotBroker broker(RouterName("a"), QueuePolicy::Holder, 1);
        broker.setBackendServers({ server }, now);
        broker.setMembers({ RouterName("a") }, now);
        auto lower = request("lower");
        lower.tier = Tier(3);
        broker.request(lower, now);
        broker.request(request("urgent"), now);

        THEN("only tier 1 starts within the first 150 ms")
        {
            const auto first = broker.run(now);
            REQUIRE(first.grants.size() == 1);
            REQUIRE(first.grants.front().request == RequestId("urgent"));
            REQUIRE(broker.nextRunTime(now) <= now + 150ms);
            REQUIRE(broker.run(now + 149ms).grants.empty());
            REQUIRE(broker.run(now + 150ms).grants.size() == 1);
        }
    }

    // Guards against requests that wait longer than 20 ms for a holder that does not reply, and
    // against routers that take over the load of such a holder without a limit.
    GIVEN("a router that uses a pool whose holder does not reply")
    {
        server.slots = 40;
        SlotBroker broker(RouterName("a"), QueuePolicy::Holder, 1);
        broker.setBackendServers({ server }, now);
        std::vector<RouterName> members { RouterName("a") };
        for (int i = 0; i < 4 || broker.holderOf(server.pool) == RouterName("a"); ++i) {
            members.emplace_back("b" + std::to_string(i));
            broker.setMembers(members, now);
        }
        const auto limit = std::size_t { 2 } * server.slots / members.size();

        WHEN("many requests are not acknowledged for 20 ms")
        {
            for (int i = 0; i < 60; ++i)
                broker.request(request(std::to_string(i)), now);
            REQUIRE(broker.run(now + 19ms).grants.empty());
            const auto output = broker.run(now + 20ms);
            THEN("it starts twice its even share of the slots and reports these to the holder")
            {
                REQUIRE(limit < server.slots);
                REQUIRE(output.grants.size() == limit);
                REQUIRE(output.messages.size() == output.grants.size());
            }
        }
    }

    // Guards against a router that, after a pause, uses a grant after the deadline of the request.
    GIVEN("a request that waits at another router")
    {
        SlotBroker broker(RouterName("a"), QueuePolicy::Holder, 1);
        broker.setMembers({ RouterName("b") }, now);
        broker.request(request("1"), now);
        broker.run(now);
        WHEN("the grant is read after the deadline")
        {
            const SlotGrant grant { RequestId("1"), RouterName("a"), server.pool, server.name };
            broker.handleMessage(RouterName("b"), SlotGrantMessage { grant }, now + 11s);
            const auto output = broker.run(now + 11s);
            THEN("the slot is released and the request is refused")
            {
                REQUIRE(output.grants.empty());
                REQUIRE(output.refusals.size() == 1);
                REQUIRE(output.messages.size() == 1);
                const auto &message = std::get<SlotReleaseMessage>(output.messages[0].message);
                REQUIRE(message.release.reason == ReleaseReason::Cancelled);
            }
        }
    }

    // Guards against a holder that treats the idle time of its pool like a pause of the router, and
    // so keeps the slots of lost releases for that time.
    GIVEN("a holder whose pool was idle for ten minutes")
    {
        SlotBroker broker(RouterName("a"), QueuePolicy::Holder, 1);
        broker.setBackendServers({ server }, now);
        broker.setMembers({ RouterName("a"), RouterName("b") }, now);
        const auto ask = [&](const std::string &id, Instant time) {
            broker.handleMessage(RouterName("b"),
                                 SlotRequestMessage { request(id), Duration {}, 10s }, time);
            return broker.run(time).messages.size();
        };
        REQUIRE(ask("1", now) == 1);
        broker.handleMessage(RouterName("b"), SlotCancelMessage { RequestId("1"), server.pool },
                             now);
        broker.run(now);
        REQUIRE(ask("2", now + 600s) == 1);

        THEN("the slot of a request that is not repeated is free after 45 s")
        {
            auto time = now + 600s;
            while (const auto next = broker.nextRunTime(time)) {
                REQUIRE(*next <= now + 645s);
                time = std::max(*next, time + 1ms);
                broker.run(time);
            }
            REQUIRE(broker.status(time).front().servers.front().running == 0);
        }
    }
}
