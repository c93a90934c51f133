#include "looprunner.h"
#include "rawclient.h"
#include "servers.h"

#include <catch2/catch.hpp>

using namespace crocusport;

// Guards against an answer that is cut while its caller still reads it: the idle time counts from
// the last byte of the answer, not from the moment at which it was made.
SCENARIO("A caller reads a long answer slowly, but all the time")
{
    LoopRunner runner;
    HttpServerLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(500);
    constexpr std::size_t kMoreThanSocketsHold = 48'000'000;
    std::string body;
    body.resize(kMoreThanSocketsHold, 'a');
    const auto server = makeServer(
        runner.loop(), [&](const auto &exchange) { exchange->reply(200, {}, body); }, limits);
    RawClient client(runner.loop(), server->address());
    client.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    const auto isDone = [&] { return client.received().size() > body.size() || client.isClosed(); };
    for (int i = 0; i < 200 && !isDone(); ++i) {
        client.setReading(false);
        runner.runFor(Milliseconds(20));
        client.setReading(true);
        const auto wanted = client.received().size() + 1'000'000;
        runner.runUntil([&] { return client.received().size() >= wanted || isDone(); });
    }
    REQUIRE_FALSE(client.isReset());
    REQUIRE(client.received().size() > body.size());
}

// Guards against bytes before the answer that a caller of HTTP/1.0 takes for the answer
// (RFC 9110 section 10.1.1).
SCENARIO("A caller of HTTP/1.0 expects to be told to continue")
{
    LoopRunner runner;
    const auto server =
        makeServer(runner.loop(), [&](const auto &exchange) { exchange->reply(200, {}, "done"); });
    RawClient client(runner.loop(), server->address());
    client.send("POST /a HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    runner.runFor(Milliseconds(50));
    REQUIRE(client.received().empty());
    client.send("body");
    REQUIRE(runner.runUntil([&] { return client.received().ends_with("done"); }));
    REQUIRE(client.received().starts_with("HTTP/1.1 200"));
}
