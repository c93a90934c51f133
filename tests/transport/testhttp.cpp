#include "callrecord.h"
#include "looprunner.h"
#include "servers.h"

#include "crocusport/transport/httpclient.h"

#include <catch2/catch.hpp>

using namespace crocusport;

SCENARIO("A client sends a request to a server")
{
    LoopRunner runner;
    std::shared_ptr<HttpExchange> exchange;
    auto server = makeServer(runner.loop(), [&](std::shared_ptr<HttpExchange> received) {
        exchange = std::move(received);
    });
    HttpClient client(runner.loop(), {});
    CallRecord record;
    HttpCallRequest request;
    request.address = server->address();
    request.method = "POST";
    request.target = "/v1/things?name=a%20b&flag";
    request.headers = { { "X-Team", "red" }, { "X-Bad", "a\r\nX-Injected: 1" } };
    request.body = std::string(100'000, 'q');

    auto call = client.start(request, record.handlers());
    REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
    REQUIRE(exchange->method() == "POST");
    REQUIRE(exchange->path() == "/v1/things");
    REQUIRE(exchange->queryParameter("name") == "a b");
    REQUIRE(exchange->queryParameter("flag") == "");
    REQUIRE_FALSE(exchange->queryParameter("other"));
    REQUIRE(exchange->header("x-team") == "red");
    REQUIRE(exchange->body() == request.body);
    REQUIRE(server->openExchanges() == 1);

    // Guards against header injection (RFC 9110 section 5.5) by values taken from input.
    THEN("a header value with a line break is not sent, in either direction")
    {
        REQUIRE_FALSE(exchange->header("X-Injected"));
        exchange->reply(200, { { "X-Bad", "a\r\nX-Injected: 1" }, { "X-Good", "b" } }, "");
        REQUIRE(runner.runUntil([&] { return record.end.has_value(); }));
        for (const auto &[name, value] : record.headers) {
            REQUIRE(name != "X-Injected");
            REQUIRE(name != "X-Bad");
        }
    }

    WHEN("the handler replies")
    {
        exchange->reply(201, { { "X-Reply", "yes" } }, "hello");
        REQUIRE(runner.runUntil([&] { return record.end.has_value(); }));

        THEN("the call ends with the complete response, and its connection is kept")
        {
            REQUIRE(record.end->failure == HttpFailure::None);
            REQUIRE(record.end->isRequestSent);
            REQUIRE(record.status == 201);
            REQUIRE(record.body == "hello");
            REQUIRE(client.idleConnections() == 1);
            REQUIRE(runner.runUntil([&] { return server->openExchanges() == 0; }));
        }
    }

    WHEN("the handler streams its response")
    {
        exchange->startStream(200, { { "Content-Type", "text/event-stream" } });
        exchange->sendChunk("data: 1\n\n");
        REQUIRE(runner.runUntil([&] { return record.body == "data: 1\n\n"; }));
        REQUIRE_FALSE(record.end);
        exchange->sendChunk("data: 2\n\n");

        THEN("the call ends when the stream does")
        {
            exchange->endStream();
            REQUIRE(runner.runUntil([&] { return record.end.has_value(); }));
            REQUIRE(record.end->failure == HttpFailure::None);
            REQUIRE(record.body == "data: 1\n\ndata: 2\n\n");
            REQUIRE(record.endCount == 1);
        }

        // Guards against a truncated stream that looks complete to the caller.
        THEN("an aborted stream is reported as truncated")
        {
            exchange->abort();
            REQUIRE(runner.runUntil([&] { return record.end.has_value(); }));
            REQUIRE(record.end->failure == HttpFailure::ClosedMidResponse);
            REQUIRE(runner.runUntil([&] { return server->openExchanges() == 0; }));
        }

        THEN("a stream whose exchange is destroyed is reported as truncated")
        {
            exchange.reset();
            REQUIRE(runner.runUntil([&] { return record.end.has_value(); }));
            REQUIRE(record.end->failure == HttpFailure::ClosedMidResponse);
        }
    }

    // Guards against work for a caller that has disconnected, which evhttp does not report by
    // itself.
    WHEN("the caller cancels")
    {
        bool isClosed = false;
        exchange->onClosed([&] { isClosed = true; });

        THEN("an exchange without a response is notified, and later replies do nothing")
        {
            call.reset();
            REQUIRE(runner.runUntil([&] { return isClosed; }));
            REQUIRE(exchange->isClosed());
            REQUIRE(server->openExchanges() == 0);
            exchange->reply(200, {}, "late");
            REQUIRE_FALSE(record.end);
        }

        THEN("a streaming exchange is notified")
        {
            exchange->startStream(200, {});
            exchange->sendChunk("first");
            REQUIRE(runner.runUntil([&] { return record.body == "first"; }));
            call.reset();
            REQUIRE(runner.runUntil([&] { return isClosed; }));
            exchange->sendChunk("second");
            exchange->endStream();
        }
    }
}

SCENARIO("A client without a server")
{
    LoopRunner runner;
    HttpClient client(runner.loop(), {});
    CallRecord record;
    HttpCallRequest request;
    {
        const auto server = makeServer(runner.loop(), [](const auto &) {});
        request.address = server->address();
    }

    // Guards against a request that is counted as possibly executed although the connection was
    // refused.
    THEN("a refused connection is reported from the loop, and no request counts as sent")
    {
        const auto call = client.start(request, record.handlers());
        REQUIRE_FALSE(record.end);
        REQUIRE(runner.runUntil([&] { return record.end.has_value(); }));
        REQUIRE(record.end->failure == HttpFailure::ConnectFailed);
        REQUIRE_FALSE(record.end->isRequestSent);
    }

    THEN("an invalid address and a target that would inject a header fail without sending")
    {
        request.address = SocketAddress(GENERATE("nowhere", "localhost:80", "127.0.0.1:99999"));
        const auto first = client.start(request, record.handlers());
        REQUIRE(runner.runUntil([&] { return record.end.has_value(); }));
        REQUIRE(record.end->failure == HttpFailure::ConnectFailed);

        const auto server = makeServer(runner.loop(), [](const auto &) { FAIL("was sent"); });
        CallRecord injected;
        request.address = server->address();
        request.target = "/ HTTP/1.1\r\nX-Injected: 1";
        const auto second = client.start(request, injected.handlers());
        REQUIRE(runner.runUntil([&] { return injected.end.has_value(); }));
        REQUIRE(injected.end->failure == HttpFailure::ConnectFailed);
    }
}
