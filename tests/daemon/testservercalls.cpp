#include "enginecall.h"
#include "servicecall.h"

#include "crocusport/transport/httpclient.h"

#include "../transport/looprunner.h"
#include "../transport/rawserver.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

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

    BackendCallRequest request(const std::string &attempt)
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
        request.answerMemory = &answerMemory;
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

    static constexpr std::size_t kSharedBytes = 150'000;

    LoopRunner runner;
    RawServer server;
    AnswerMemory answerMemory { kSharedBytes };
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

// Guards against a host that runs out of memory because of malfunctioning servers.
SCENARIO("Many servers send answers without end at the same time")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    const auto begin = GENERATE_COPY(
        as<std::string> {}, head + "Content-Length: 100000\r\n\r\ndata: ", head + "\r\ndata: ");
    const bool isEngine = GENERATE(true, false);
    CAPTURE(begin, isEngine);
    constexpr int kCalls = 40;
    constexpr std::size_t kSentBytes = 90'000;
    Calls calls;
    HttpClient client(calls.runner.loop(), {});
    std::vector<std::unique_ptr<EngineCall>> engineCalls;
    std::vector<std::unique_ptr<ServiceCall>> serviceCalls;
    int refused = 0;
    const auto onEnd = [&](const BackendCallResult &result) {
        refused += result.end == BackendCallEnd::TooLarge ? 1 : 0;
    };
    for (int i = 0; i < kCalls; ++i) {
        const auto request = calls.request("attempt-" + std::to_string(i));
        if (isEngine)
            engineCalls.push_back(std::make_unique<EngineCall>(
                client, request, [](const SseEvent & /*event*/) {}, onEnd));
        else
            serviceCalls.push_back(std::make_unique<ServiceCall>(client, request, onEnd));
    }
    REQUIRE(calls.runner.runUntil([&] { return calls.server.requestCount() == kCalls; }));
    calls.server.sendToAll(begin);
    const std::string block(10'000, 'a');
    for (std::size_t sent = 0; sent < kSentBytes; sent += block.size()) {
        calls.server.sendToAll(block);
        calls.runner.runFor(Milliseconds(10));
        REQUIRE(calls.answerMemory.borrowedBytes() <= Calls::kSharedBytes);
    }
    // A third of the shared memory is the most for one answer.
    REQUIRE(refused >= kCalls - static_cast<int>(AnswerMemory::kMaxPartOfShared));
}
