#include "looprunner.h"
#include "rawclient.h"
#include "servers.h"

#include <catch2/catch.hpp>

using namespace crocusport;

// Guards against a response that is truncated while its caller still reads it: the idle timeout
// must count from the last byte sent, not from the call of reply().
SCENARIO("A caller reads a long response slowly but steadily")
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

// Guards against a 100 Continue that an HTTP/1.0 caller would mistake for the response (RFC 9110
// section 10.1.1).
SCENARIO("An HTTP/1.0 caller expects 100 Continue")
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
