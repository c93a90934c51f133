#include "looprunner.h"
#include "rawclient.h"
#include "servers.h"

#include "crocusport/transport/httpclient.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace crocusport;

// Guards against input that ends the process or leaves an exchange open.
TEST_CASE("Random bytes never disturb the server or other callers")
{
    LoopRunner runner;
    const auto server = makeServer(
        runner.loop(), [](const auto &exchange) { exchange->reply(200, {}, exchange->body()); });
    const std::vector<std::string> pieces = { "GET / HTTP/1.1\r\n",
                                              "POST /p HTTP/1.1\r\n",
                                              "Content-Length: 3\r\n",
                                              "Transfer-Encoding: chunked\r\n",
                                              "\r\n",
                                              "3\r\nabc\r\n",
                                              "0\r\n\r\n",
                                              "abc",
                                              "Connection: close\r\n",
                                              "HEAD * HTTP/1.0\r\n",
                                              "Expect: 100-continue\r\n" };
    rc::check("server survives", [&] {
        const auto piece =
            rc::gen::oneOf(rc::gen::elementOf(pieces), rc::gen::arbitrary<std::string>());
        const auto input = *rc::gen::container<std::vector<std::string>>(piece);
        RawClient client(runner.loop(), server->address());
        for (const auto &bytes : input)
            client.send(bytes);
        client.send("\r\n\r\n");
        runner.runFor(Milliseconds(3));
        RawClient other(runner.loop(), server->address());
        other.send("GET /after HTTP/1.1\r\n\r\n");
        RC_ASSERT(runner.runUntil([&] { return other.received().starts_with("HTTP/1.1 200"); }));
    });
    REQUIRE(runner.runUntil([&] { return server->openExchanges() == 0; }));
}

TEST_CASE("A stream carries exactly the bytes that were sent")
{
    LoopRunner runner;
    std::shared_ptr<HttpExchange> exchange;
    const auto server =
        makeServer(runner.loop(), [&](const auto &received) { exchange = received; });
    HttpClient client(runner.loop(), {});
    rc::check("chunks arrive unchanged", [&] {
        const auto chunks = *rc::gen::arbitrary<std::vector<std::string>>();
        exchange.reset();
        std::string sent;
        std::string received;
        bool isComplete = false;
        HttpCallRequest request;
        request.address = server->address();
        HttpCallHandlers handlers;
        handlers.onBody = [&](std::string_view data) { received += data; };
        handlers.onEnd = [&](const auto &end) { isComplete = end.failure == HttpFailure::None; };
        const auto call = client.start(request, handlers);
        RC_ASSERT(runner.runUntil([&] { return exchange != nullptr; }));
        exchange->startStream(200, {});
        for (const auto &chunk : chunks) {
            exchange->sendChunk(chunk);
            sent += chunk;
        }
        exchange->endStream();
        RC_ASSERT(runner.runUntil([&] { return call->isEnded(); }));
        RC_ASSERT(isComplete);
        RC_ASSERT(received == sent);
    });
}
