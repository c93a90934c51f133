#include "fleet.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace crocusport;

namespace {

EngineOptions smallEngine()
{
    EngineOptions options;
    options.slots = 4;
    options.firstToken = std::chrono::milliseconds(5);
    options.tokenGap = std::chrono::milliseconds(5);
    return options;
}

std::string streamBody(int tokens)
{
    return R"({"model":"m","messages":[{"role":"user","content":"hello"}],"stream":true,)"
           R"("max_tokens":)"
        + std::to_string(tokens) + "}";
}

} // namespace

SCENARIO("The fleet goes on serving while parts of it fail")
{
    Fleet fleet;
    fleet.addEngine("engine-1", smallEngine());
    fleet.addEngine("engine-2", smallEngine());
    fleet.addService("service-1", {});
    fleet.publish();
    for (const auto *router : { "router-1", "router-2", "router-3" })
        fleet.addRouter(router);
    REQUIRE(fleet.runUntilReady());

    WHEN("two routers are killed one after the other")
    {
        fleet.kill("router-1");
        const auto afterFirst = fleet.chat("router-3", "chat", streamBody(5));
        REQUIRE(fleet.runUntilEnded(afterFirst));
        fleet.kill("router-2");
        const auto afterSecond = fleet.chat("router-3", "chat", streamBody(5));
        REQUIRE(fleet.runUntilEnded(afterSecond));

        // Guards against requests that wait for a pool holder which is gone.
        THEN("the third one serves chats all the time")
        {
            REQUIRE(afterFirst->outcome() == "completed");
            REQUIRE(afterSecond->outcome() == "completed");
            REQUIRE(
                fleet.runUntil([&] { return fleet.router("router-3").liveMemberCount() == 1; }));
        }
    }

    WHEN("an engine leaves and the host list does not show it")
    {
        fleet.leave("engine-1");
        const auto first = fleet.chat("router-1", "chat", streamBody(5));
        REQUIRE(fleet.runUntilEnded(first));
        fleet.runFor(std::chrono::seconds(3));

        // Guards against a leaving server that still gets work from routers which were not told.
        THEN("requests complete elsewhere, and after 3 s no router sends it anything")
        {
            REQUIRE(first->outcome() == "completed");
            for (const auto *router : { "router-1", "router-2", "router-3" }) {
                const auto reply = fleet.chat(router, "chat", streamBody(5));
                REQUIRE(fleet.runUntilEnded(reply));
                REQUIRE(reply->outcome() == "completed");
                const auto events = fleet.explain(router, reply->header("x-request-id"));
                REQUIRE(events.find("server=engine-2") != std::string::npos);
                REQUIRE(events.find("server=engine-1") == std::string::npos);
            }
        }
    }

    WHEN("a router is shut down while it holds a stream")
    {
        const auto reply = fleet.chat("router-1", "chat", streamBody(150));
        REQUIRE(fleet.runUntil([&] { return reply->tokenCount() > 3; }));
        fleet.router("router-1").shutDown();
        REQUIRE(!fleet.router("router-1").isReady());
        REQUIRE(fleet.runUntilEnded(reply));

        // Guards against a shutdown that cuts off a caller.
        THEN("the stream is finished first")
        {
            REQUIRE(reply->outcome() == "completed");
            REQUIRE(reply->isTokenOrderWhole());
            REQUIRE(reply->tokenCount() >= 150);
        }
    }

    WHEN("a router starts while the store is out")
    {
        fleet.fault(fleet.store(), R"({"kind":"outage","mode":"hang","ms":3600000})");
        fleet.addRouter("router-4");

        // Guards against a new router that has no configuration until the store is back.
        THEN("its peers configure it and it serves")
        {
            REQUIRE(fleet.runUntilReady());
            const auto reply = fleet.chat("router-4", "chat", streamBody(5));
            REQUIRE(fleet.runUntilEnded(reply));
            REQUIRE(reply->outcome() == "completed");
        }
    }

    WHEN("a new configuration is published")
    {
        fleet.publish(
            [](Configuration &configuration) { configuration.classes.erase(ClassName("tag")); });

        THEN("every router comes to enforce it")
        {
            for (const auto *router : { "router-1", "router-2", "router-3" }) {
                REQUIRE(fleet.runUntil(
                    [&] { return fleet.metric(router, "crocusport_configuration_version") == 2; }));
                const auto reply = fleet.chat(router, "tag", streamBody(5));
                REQUIRE(fleet.runUntilEnded(reply));
                REQUIRE(reply->status == 400);
                REQUIRE(reply->outcome() == "not_run");
            }
        }
    }

    WHEN("an engine freezes while it has no request")
    {
        fleet.fault(fleet.backend("engine-1"), R"({"kind":"freeze","ms":3600000})");
        std::vector<CallerReplyPointer> replies;
        for (int i = 0; i < 4; ++i)
            replies.push_back(fleet.chat("router-1", "chat", streamBody(5)));
        for (const auto &reply : replies)
            REQUIRE(fleet.runUntilEnded(reply));

        // Guards against a frozen server that takes requests down with it.
        THEN("repeatable requests complete on another one")
        {
            for (const auto &reply : replies)
                REQUIRE(reply->outcome() == "completed");
        }
    }
}

SCENARIO("A request whose first attempt may have run is never reported as not run")
{
    Fleet fleet;
    EngineOptions single = smallEngine();
    single.slots = 1;
    fleet.addEngine("engine-1", single);
    fleet.addEngine("engine-2", single);
    fleet.publish([](Configuration &configuration) {
        configuration.classes.at(ClassName("chat")).deadline = Milliseconds(1500);
    });
    fleet.addRouter("router-1");
    REQUIRE(fleet.runUntilReady());

    WHEN("its engine crashes and its deadline passes while it waits for the other one")
    {
        const auto holding = fleet.chat("router-1", "tag", streamBody(5000));
        REQUIRE(fleet.runUntil([&] { return holding->tokenCount() > 0; }));
        const auto taken = fleet.busyEngine();
        const std::string other = taken == "engine-1" ? "engine-2" : "engine-1";
        const auto reply = fleet.chat(
            "router-1", "chat",
            R"({"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":5000})");
        REQUIRE(fleet.runUntil([&] { return fleet.isBusy(other); }));
        fleet.crash(other);
        REQUIRE(fleet.runUntilEnded(reply));

        // Guards against a final answer that forgets the attempt before the last one.
        THEN("the caller is not told that it was not run")
        {
            REQUIRE(reply->outcome() == "failed");
        }
    }
}

SCENARIO("A request that crashes engines is stopped after two of them")
{
    Fleet fleet;
    for (const auto *engine : { "engine-1", "engine-2", "engine-3", "engine-4" })
        fleet.addEngine(engine, smallEngine());
    fleet.publish();
    fleet.addRouter("router-1");
    fleet.addRouter("router-2");
    REQUIRE(fleet.runUntilReady());
    const auto poison = streamBody(100000);
    int crashes = 0;

    WHEN("its caller sends it again and again through different routers")
    {
        std::string lastCode;
        for (int attempt = 0; attempt < 4; ++attempt) {
            const auto reply =
                fleet.chat(attempt % 2 == 0 ? "router-1" : "router-2", "chat", poison);
            fleet.runUntil([&] { return reply->isEnded || reply->tokenCount() > 0; });
            if (!reply->isEnded) {
                // The engine that runs it crashes.
                fleet.crash(fleet.busyEngine());
                ++crashes;
                REQUIRE(fleet.runUntilEnded(reply));
            }
            lastCode = reply->header("x-crocusport-code");
            fleet.runFor(std::chrono::seconds(2));
        }

        // Guards against a request that takes down every engine of a pool in turn.
        THEN("two engines crash, and then it is refused")
        {
            REQUIRE(crashes == 2);
            REQUIRE(lastCode == "311");
        }
        THEN("other requests still complete")
        {
            const auto innocent = fleet.chat("router-1", "chat", streamBody(5));
            REQUIRE(fleet.runUntilEnded(innocent));
            REQUIRE(innocent->outcome() == "completed");
        }
    }
}
