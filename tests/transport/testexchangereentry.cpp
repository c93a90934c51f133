#include "looprunner.h"
#include "rawclient.h"
#include "servers.h"

#include "crocusport/transport/httpexchange.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace crocusport;

// Guards against the use of a connection that a wrong step has dropped inside its own callbacks.
SCENARIO("A wrong step of an answer comes inside a callback of its connection")
{
    LoopRunner runner;
    std::shared_ptr<HttpExchange> kept;
    int requests = 0;
    const auto way = GENERATE(0, 1, 2, 3, 4, 5);
    CAPTURE(way);
    const auto server =
        makeServer(runner.loop(), [&](const std::shared_ptr<HttpExchange> &exchange) {
            ++requests;
            switch (way) {
            case 0: // Dropped and destroyed in the handler.
                exchange->sendChunk("a");
                break;
            case 1:
                exchange->startStream(200, {});
                exchange->reply(500, {}, "failed");
                break;
            case 2:
                exchange->endStream();
                throw std::runtime_error("after a wrong step");
            case 3: // Destroyed in mid-stream.
                exchange->startStream(200, {});
                exchange->sendChunk("a");
                break;
            case 4: // The handler of the close holds and drops the last reference.
                kept = exchange;
                kept->onClosed([&kept] {
                    kept->reply(200, {}, "late");
                    kept.reset();
                });
                break;
            default: // The handler of the close is dropped while the exchange is in use.
                exchange->onClosed([exchange] {});
                exchange->sendChunk("a");
            }
        });
    RawClient client(runner.loop(), server->address());
    // The second request has arrived when the first one's connection is dropped.
    client.send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
    REQUIRE(runner.runUntil([&] { return requests > 0; }));
    if (way == 4)
        client.closeSending();
    REQUIRE(runner.runUntil([&] { return client.isClosed(); }));
    runner.runFor(Milliseconds(20));
    REQUIRE(requests == 1);
    REQUIRE_FALSE(kept);
    REQUIRE(server->openExchanges() == 0);
    REQUIRE(server->connectionCount() == 0);
    REQUIRE(client.received().find("failed") == std::string::npos);
}
