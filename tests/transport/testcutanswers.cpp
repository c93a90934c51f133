#include "looprunner.h"
#include "rawclient.h"
#include "servers.h"

#include <catch2/catch.hpp>

using namespace crocusport;

// Guards against a truncated response that looks complete to an HTTP/1.0 caller, for whom only the
// close of the connection ends a stream.
SCENARIO("A stream to an HTTP/1.0 caller is truncated")
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

    WHEN("the server is destroyed")
    {
        server.reset();
    }
    WHEN("the caller closes its sending direction")
    {
        client.closeSending();
    }
    WHEN("the exchange is destroyed")
    {
        exchange.reset();
    }
    WHEN("the caller does not read within the idle timeout")
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
    REQUIRE_FALSE(connection.answers.at(0).isComplete);
}
