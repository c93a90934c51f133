#include "looprunner.h"
#include "rawclient.h"
#include "servers.h"

#include "crocusport/transport/httpexchange.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace crocusport;

// Guards against use of a connection that a misuse of its exchange has reset inside one of the
// connection's own callbacks.
SCENARIO("An exchange is misused inside a callback of its connection")
{
    LoopRunner runner;
    std::shared_ptr<HttpExchange> kept;
    int requests = 0;
    const auto misuse = GENERATE(0, 1, 2, 3, 4, 5);
    CAPTURE(misuse);
    const auto server =
        makeServer(runner.loop(), [&](const std::shared_ptr<HttpExchange> &exchange) {
            ++requests;
            switch (misuse) {
            case 0: // Reset by the misuse, then destroyed in the handler.
                exchange->sendChunk("a");
                break;
            case 1:
                exchange->startStream(200, {});
                exchange->reply(500, {}, "failed");
                break;
            case 2:
                exchange->endStream();
                throw std::runtime_error("after a misuse");
            case 3: // Destroyed in mid-stream.
                exchange->startStream(200, {});
                exchange->sendChunk("a");
                break;
            case 4: // The onClosed handler destroys the exchange.
                kept = exchange;
                kept->onClosed([&kept] {
                    kept->reply(200, {}, "late");
                    kept.reset();
                });
                break;
            default: // The onClosed handler holds a reference and is destroyed during the call.
                exchange->onClosed([exchange] {});
                exchange->sendChunk("a");
            }
        });
    RawClient client(runner.loop(), server->address());
    // The second request has been received when the connection is reset.
    client.send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
    REQUIRE(runner.runUntil([&] { return requests > 0; }));
    if (misuse == 4)
        client.closeSending();
    REQUIRE(runner.runUntil([&] { return client.isClosed(); }));
    runner.runFor(Milliseconds(20));
    REQUIRE(requests == 1);
    REQUIRE_FALSE(kept);
    REQUIRE(server->openExchanges() == 0);
    REQUIRE(server->connectionCount() == 0);
    REQUIRE(client.received().find("failed") == std::string::npos);
}
