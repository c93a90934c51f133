#include "enginecall.h"
#include "servicecall.h"

#include "crocusport/transport/httpclient.h"

#include "../transport/looprunner.h"
#include "../transport/rawserver.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace crocusport;

namespace {

std::string refusalOf(const std::string &attempt)
{
    return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
        + (attempt.empty() ? "" : "X-Request-Id: " + attempt + "\r\n")
        + "Content-Length: 0\r\n\r\n";
}

//! Calls of one router to one server, which answers as the test says.
class Calls
{
public:
    Calls() : server(runner.loop(), "", RawServer::Ending::KeepOpen), client_(runner.loop(), {}) { }

    BackendCallRequest request(const std::string &attempt) const
    {
        BackendCallRequest request;
        request.server.name = BackendServerName("engine-1");
        request.server.address = server.address();
        request.server.start = StartNumber(1);
        request.attempt = RequestId(attempt);
        request.method = "POST";
        request.target = "/v1/chat/completions";
        request.connectTimeout = request.progressTimeout = request.probeTimeout =
            std::chrono::seconds(1);
        request.maxResponseBytes = request.maxEventBytes = 100'000;
        return request;
    }
    void startEngineCall(const std::string &attempt)
    {
        const auto before = server.requestCount();
        result.reset();
        engineCall_ = std::make_unique<EngineCall>(
            client_, request(attempt), [this](const SseEvent &event) { events += event.data; },
            [this](const BackendCallResult &end) { result = end; });
        REQUIRE(runner.runUntil([&] { return server.requestCount() > before; }));
    }
    void startServiceCall(const std::string &attempt)
    {
        const auto before = server.requestCount();
        result.reset();
        serviceCall_ = std::make_unique<ServiceCall>(
            client_, request(attempt), [this](const BackendCallResult &end) { result = end; });
        REQUIRE(runner.runUntil([&] { return server.requestCount() > before; }));
    }
    BackendCallEnd endAfter(const std::string &answer)
    {
        server.sendToAll(answer);
        REQUIRE(runner.runUntil([&] { return result.has_value(); }));
        return result->end;
    }

    LoopRunner runner;
    RawServer server;
    std::optional<BackendCallResult> result;
    std::string events;

private:
    HttpClient client_;
    std::unique_ptr<EngineCall> engineCall_;
    std::unique_ptr<ServiceCall> serviceCall_;
};

} // namespace

// Guards against telling callers that a request has not run, because of the refusal of another one.
SCENARIO("A faulty server sends an earlier refusal once more on a kept connection")
{
    Calls calls;
    const bool isEngine = GENERATE(true, false);
    const auto start = [&](const std::string &attempt) {
        isEngine ? calls.startEngineCall(attempt) : calls.startServiceCall(attempt);
    };
    start("attempt-1");
    REQUIRE(calls.endAfter(refusalOf("attempt-1")) == BackendCallEnd::NotRun);
    start("attempt-2");
    REQUIRE(calls.server.connectionCount() == 1);

    WHEN("the refusal names its own request")
    {
        REQUIRE(calls.endAfter(refusalOf("attempt-1")) == BackendCallEnd::Malformed);
    }
    WHEN("the refusal names no request")
    {
        REQUIRE(calls.endAfter(refusalOf("")) == BackendCallEnd::Overloaded);
    }
    WHEN("the server refuses the request itself")
    {
        REQUIRE(calls.endAfter(refusalOf("attempt-2")) == BackendCallEnd::NotRun);
    }
}

// Guards against the text of an error in the middle of a stream.
SCENARIO("An engine answers with an error when a broken stream is resumed")
{
    Calls calls;
    calls.startEngineCall("attempt-1");
    calls.server.sendToAll("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n14\r\nid: 1\ndata: piece1\n\n\r\n");
    REQUIRE(calls.runner.runUntil([&] { return !calls.events.empty(); }));
    calls.server.closeAll();
    REQUIRE(calls.runner.runUntil([&] { return calls.server.requestCount() == 2; }));
    const std::string health = R"({"state":"live","start":1})";
    calls.server.sendToAll("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(health.size())
                           + "\r\n\r\n" + health);
    REQUIRE(calls.runner.runUntil([&] { return calls.server.requestCount() == 3; }));

    const auto answer = GENERATE(
        as<std::string> {}, "HTTP/1.1 500 Error\r\nContent-Length: 8\r\n\r\nid: 2\n\n\n",
        "HTTP/1.1 404 Not Found\r\n\r\ndata: [DONE]\n\n", refusalOf(""), refusalOf("attempt-1"));
    calls.server.sendToAll(answer);
    calls.server.closeAll();
    REQUIRE(calls.runner.runUntil([&] { return calls.result.has_value(); }));
    REQUIRE(calls.result->end == BackendCallEnd::Lost);
    REQUIRE(calls.events == "piece1");
}
