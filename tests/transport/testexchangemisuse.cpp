#include "looprunner.h"
#include "rawclient.h"
#include "servers.h"

#include "crocusport/transport/httpexchange.h"

#include <catch2/catch.hpp>

using namespace crocusport;

// Guards against a second head, a body after the end or a chunk without a head being sent to a
// caller, also in builds without assertions.
SCENARIO("Methods of an exchange are called out of order")
{
    LoopRunner runner;
    std::shared_ptr<HttpExchange> exchange;
    const auto server =
        makeServer(runner.loop(), [&](const auto &received) { exchange = received; });
    RawClient client(runner.loop(), server->address());
    const std::string request = "GET /a HTTP/1.1\r\n\r\n";
    client.send(request);
    REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
    const auto misusesBefore = exchangeMisuses();
    const auto resetsConnection = [&](const auto &call) {
        call();
        const bool isReset = runner.runUntil([&] { return client.isReset(); });
        const auto connection = client.read(1);
        return isReset && connection.fault.empty()
            && (connection.answers.empty() || !connection.answers[0].isComplete);
    };

    WHEN("the response has not started")
    {
        THEN("sendChunk() resets the connection")
        {
            REQUIRE(resetsConnection([&] { exchange->sendChunk("a"); }));
        }
        THEN("endStream() resets the connection")
        {
            REQUIRE(resetsConnection([&] { exchange->endStream(); }));
        }
        THEN("what is sent after the misuse is dropped")
        {
            REQUIRE(resetsConnection([&] {
                exchange->sendChunk("a");
                exchange->reply(200, {}, "late");
            }));
            REQUIRE(client.received().empty());
        }
    }
    WHEN("the response is a stream that has started")
    {
        exchange->startStream(200, {});
        exchange->sendChunk("event");
        THEN("reply() resets the connection")
        {
            REQUIRE(resetsConnection([&] { exchange->reply(500, {}, "failed"); }));
        }
        THEN("a second startStream() resets the connection")
        {
            REQUIRE(resetsConnection([&] { exchange->startStream(200, {}); }));
        }
    }
    WHEN("the response is complete")
    {
        const auto isStream = GENERATE(false, true);
        if (isStream) {
            exchange->startStream(200, {});
            exchange->endStream();
        } else {
            exchange->reply(200, {}, "done");
        }
        const auto first = exchange;
        const auto call = GENERATE(0, 1, 2, 3);
        switch (call) {
        case 0:
            first->reply(200, {}, "again");
            break;
        case 1:
            first->startStream(200, {});
            break;
        case 2:
            first->sendChunk("more");
            break;
        default:
            first->endStream();
        }
        THEN("nothing is sent, and the next request gets its own response")
        {
            exchange.reset();
            client.send(request);
            REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
            exchange->reply(200, {}, "next");
            REQUIRE(runner.runUntil([&] { return client.received().ends_with("next"); }));
            const auto connection = client.read(2);
            REQUIRE(connection.fault.empty());
            REQUIRE(connection.answers.size() == 2);
            REQUIRE(connection.answers[1].body == "next");
        }
    }
    REQUIRE(exchangeMisuses() == misusesBefore + 1);
}

// Guards against calls being logged as misuse after the caller has disconnected, which it may do at
// any time.
SCENARIO("Methods of an exchange are called after its caller has disconnected")
{
    LoopRunner runner;
    std::shared_ptr<HttpExchange> exchange;
    const auto server =
        makeServer(runner.loop(), [&](const auto &received) { exchange = received; });
    {
        RawClient client(runner.loop(), server->address());
        client.send("GET /a HTTP/1.1\r\n\r\n");
        REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
    }
    REQUIRE(runner.runUntil([&] { return exchange->isClosed(); }));
    const auto misusesBefore = exchangeMisuses();
    exchange->startStream(200, {});
    exchange->sendChunk("a");
    exchange->endStream();
    exchange->reply(200, {}, "late");
    REQUIRE(exchangeMisuses() == misusesBefore);
}
