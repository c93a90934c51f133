#include "looprunner.h"
#include "rawclient.h"
#include "servers.h"

#include "crocusport/transport/httpclient.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace crocusport;

// Guards against input that ends the process or leaves an exchange open.
TEST_CASE("Random bytes do not affect the server or other callers")
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
    REQUIRE(rc::check("server survives", [&] {
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
    }));
    REQUIRE(runner.runUntil([&] { return server->openExchanges() == 0; }));
}

TEST_CASE("A stream carries exactly the bytes that were sent")
{
    LoopRunner runner;
    std::shared_ptr<HttpExchange> exchange;
    const auto server =
        makeServer(runner.loop(), [&](const auto &received) { exchange = received; });
    HttpClient client(runner.loop(), {});
    REQUIRE(rc::check("chunks arrive unchanged", [&] {
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
    }));
}

// Guards against a response that is delivered to another call, also on reused connections.
TEST_CASE("Each call gets the response to its own request, in any order")
{
    LoopRunner runner;
    std::vector<std::shared_ptr<HttpExchange>> waiting;
    const auto server =
        makeServer(runner.loop(), [&](const auto &exchange) { waiting.push_back(exchange); });
    HttpClient client(runner.loop(), {});
    int number = 0;
    REQUIRE(rc::check("responses match", [&] {
        struct Call
        {
            std::string body;
            std::string received;
            bool isComplete = false;
            std::unique_ptr<HttpCall> call;
        };
        waiting.clear();
        std::vector<std::unique_ptr<Call>> calls;
        const auto count = *rc::gen::inRange(1, 20);
        for (int i = 0; i < count; ++i) {
            auto &call = *calls.emplace_back(std::make_unique<Call>());
            call.body = std::to_string(++number);
            HttpCallRequest request;
            request.address = server->address();
            request.method = "POST";
            request.body = call.body;
            HttpCallHandlers handlers;
            handlers.onBody = [&call](std::string_view data) { call.received += data; };
            handlers.onEnd = [&call](const auto &end) {
                call.isComplete = end.failure == HttpFailure::None;
            };
            call.call = client.start(request, handlers);
        }
        RC_ASSERT(
            runner.runUntil([&] { return waiting.size() == static_cast<std::size_t>(count); }));
        for (auto &call : calls) {
            if (*rc::gen::inRange(0, 4) == 0)
                call->call.reset();
        }
        while (!waiting.empty()) {
            const auto at = *rc::gen::inRange<std::size_t>(0, waiting.size());
            if (*rc::gen::arbitrary<bool>()) {
                waiting[at]->reply(200, {}, waiting[at]->body());
            } else {
                waiting[at]->startStream(200, {});
                waiting[at]->sendChunk(waiting[at]->body());
                waiting[at]->endStream();
            }
            waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(at));
        }
        RC_ASSERT(runner.runUntil([&] {
            return std::all_of(calls.begin(), calls.end(),
                               [](const auto &call) { return !call->call || call->isComplete; });
        }));
        for (const auto &call : calls) {
            if (call->call)
                RC_ASSERT(call->received == call->body);
            else
                RC_ASSERT(call->received.empty());
        }
    }));
}
