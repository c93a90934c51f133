#include "looprunner.h"
#include "rawclient.h"
#include "servers.h"

#include <catch2/catch.hpp>

using namespace crocusport;

// Guards against part of an answer that looks whole to a caller for whom only the close ends it.
SCENARIO("A stream to a caller without chunks is cut")
{
    LoopRunner runner;
    std::shared_ptr<HttpExchange> exchange;
    HttpServerLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(200);
    auto server = makeServer(
        runner.loop(), [&](const auto &received) { exchange = received; }, limits);
    RawClient client(runner.loop(), server->address());
    client.send("GET /stream HTTP/1.0\r\n\r\n");
    REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
    exchange->startStream(200, {});
    exchange->sendChunk("part");
    REQUIRE(runner.runUntil([&] { return client.received().ends_with("part"); }));

    WHEN("its server ends")
    {
        server.reset();
    }
    WHEN("its caller closes its sending direction")
    {
        client.closeSending();
    }
    WHEN("it is dropped")
    {
        exchange.reset();
    }
    WHEN("its caller does not read in time")
    {
        constexpr std::size_t kMoreThanSocketsHold = 16'000'000;
        client.setReading(false);
        std::string large;
        large.resize(kMoreThanSocketsHold, 'a');
        exchange->sendChunk(large);
        REQUIRE(runner.runUntil([&] { return exchange->isClosed(); }));
        client.setReading(true);
    }
    REQUIRE(runner.runUntil([&] { return client.isClosed(); }));
    const auto connection = client.read(1);
    REQUIRE(connection.fault.empty());
    REQUIRE_FALSE(connection.answers.at(0).isWhole);
}
