#include "deployment.h"

#include "../transport/rawclient.h"
#include "../transport/rawserver.h"

#include "crocusport/transport/callbackguard.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <memory>
#include <new>
#include <string>
#include <vector>

using namespace crocusport;

namespace {

constexpr int kRawSlots = 200;

bool isAnswered(const RawClient &client, const std::string &status)
{
    return client.received().starts_with("HTTP/1.1 " + status);
}

#ifndef __SANITIZE_ADDRESS__
std::size_t residentKb()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            std::size_t kb = 0;
            status >> kb;
            return kb;
        }
    }
    return 0;
}
#endif

} // namespace

// Guards against telling a caller that its request has not run while it runs: a late duplicate of
// an earlier refusal arrives in place of the request's own answer.
SCENARIO("An answer without an id on a connection that has been used before")
{
    LoopRunner runner;
    Deployment deployment(runner);
    RawServer server(runner.loop(),
                     "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n",
                     RawServer::Ending::KeepOpen);
    deployment.configure(1);
    deployment.registerServer("raw", server.address(), kRawSlots);
    deployment.settle();
    REQUIRE(deployment.waitReady());
    const auto statusOf = [&] {
        RawClient client(runner.loop(), deployment.gateway->callersAddress());
        client.send(Deployment::request("unsafe"));
        REQUIRE(runner.runUntil([&] { return client.received().size() > 12; }));
        return client.received().substr(9, 3);
    };
    REQUIRE(statusOf() == "503");
    REQUIRE(statusOf() == "502");
    REQUIRE(server.connectionCount() == 1);
    REQUIRE(server.requestCount() == 2);
}

// Guards against a process that ends, or a caller that never gets an answer, because the handling
// of one message failed.
SCENARIO("A message whose handling fails with an exception")
{
    static FormatTable formats;
    formats = Deployment::formats();
    formats.decodeAnswer = [](int status, const HttpHeaders &headers) {
        for (const auto &[name, value] : headers) {
            if (name == "X-Poison")
                throw std::bad_alloc();
        }
        return Deployment::formats().decodeAnswer(status, headers);
    };
    formats.decodeRequest = [](const HttpExchange &exchange) {
        if (exchange.header("X-Poison"))
            throw std::bad_alloc();
        return Deployment::formats().decodeRequest(exchange);
    };
    LoopRunner runner;
    Deployment deployment(runner, formats, std::chrono::seconds(5));
    REQUIRE(deployment.serve());
    const auto failuresBefore = callbackFailures();
    RawClient other(runner.loop(), deployment.gateway->callersAddress());
    RawClient client(runner.loop(), deployment.gateway->callersAddress());

    WHEN("it is an answer")
    {
        deployment.first.handler = [&](const auto &exchange) {
            auto headers = deployment.first.sealedHeaders(*exchange);
            headers.emplace_back("X-Poison", "1");
            exchange->reply(200, headers, "");
        };
        client.send(Deployment::request("unsafe"));
        THEN("its caller is told that the request may have run")
        {
            REQUIRE(runner.runUntil([&] { return isAnswered(client, "502"); }));
        }
    }
    WHEN("it is a request")
    {
        client.send(Deployment::request("unsafe", "X-Poison: 1\r\n"));
        THEN("its caller is told that it has not run")
        {
            REQUIRE(runner.runUntil([&] { return isAnswered(client, "503"); }));
        }
    }
    REQUIRE(callbackFailures() == failuresBefore + 1);
    deployment.first.handler = nullptr;
    other.send(Deployment::request("safe"));
    REQUIRE(runner.runUntil([&] { return isAnswered(other, "200"); }));
}

// Guards against a host that runs out of memory because of a few malfunctioning servers.
SCENARIO("A hundred endless answers at the same time")
{
    constexpr std::size_t kCallers = 100;
    const std::string plain = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Seal: s\r\n";
    const auto isStream = GENERATE(false, true);
    CAPTURE(isStream);
    LoopRunner runner;
    Deployment deployment(runner);
    RawServer server(runner.loop(), plain + (isStream ? "\r\nid: 1\ndata: " : "\r\n"),
                     RawServer::Ending::KeepOpen);
    deployment.configure(1);
    deployment.registerServer("raw", server.address(), kRawSlots);
    deployment.settle();
    REQUIRE(deployment.waitReady());
#ifndef __SANITIZE_ADDRESS__
    const auto before = residentKb();
#endif
    std::vector<std::unique_ptr<RawClient>> callers;
    for (std::size_t i = 0; i < kCallers; ++i) {
        callers.push_back(
            std::make_unique<RawClient>(runner.loop(), deployment.gateway->callersAddress()));
        callers.back()->send(Deployment::request(isStream ? "fragile" : "unsafe"));
    }
    REQUIRE(runner.runUntil([&] { return server.requestCount() == kCallers; }));
    deployment.registerServer(deployment.first);
    deployment.settle();
    const std::string block(16'384, 'a');
    std::size_t blocks = 0;
    RawClient other(runner.loop(), deployment.gateway->callersAddress());
    REQUIRE(runner.runUntil([&] {
        server.sendToAll(block);
        if (++blocks == 10)
            other.send(Deployment::request("safe"));
        return std::all_of(callers.begin(), callers.end(), [](const auto &caller) {
            return isAnswered(*caller, "502") || caller->isClosed();
        });
    }));
#ifndef __SANITIZE_ADDRESS__
    // The smallest hosts have 160 MB of memory; the answers may take half of it.
    constexpr std::size_t kMaxGrowthKb = 80'000;
    REQUIRE(residentKb() < before + kMaxGrowthKb);
#endif
    // Another request, sent in the meantime, is answered.
    REQUIRE(runner.runUntil([&] { return isAnswered(other, "200"); }));
    REQUIRE(other.received().find("seal-of-first") != std::string::npos);
}

// Guards against a stalled stream that stays open because single bytes still arrive.
SCENARIO("A stalled stream still sends single bytes")
{
    LoopRunner runner;
    Deployment deployment(runner);
    REQUIRE(deployment.serve());
    std::shared_ptr<HttpExchange> stalled;
    deployment.first.handler = [&](const auto &exchange) {
        stalled = exchange;
        exchange->startStream(200, deployment.first.sealedHeaders(*exchange));
        exchange->sendChunk("id: 1\ndata: piece-1\n\nid: 2\ndata: ");
    };
    deployment.second.handler = [&](const auto &exchange) {
        exchange->startStream(200, deployment.second.sealedHeaders(*exchange));
        exchange->sendChunk("id: 2\ndata: piece-2\n\n");
        exchange->endStream();
    };
    RawClient client(runner.loop(), deployment.gateway->callersAddress());
    client.send("POST /stream/1 HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: id-1\r\n"
                "X-Deadline-Ms: 60000\r\nAuthorization: Token key-1\r\n"
                "Content-Length: 4\r\n\r\nbody");
    REQUIRE(runner.runUntil([&] { return stalled != nullptr; }));
    deployment.registerServer(deployment.second);
    deployment.settle();
    Timer trickle(runner.loop(), [&] {
        if (!stalled->isClosed())
            stalled->sendChunk("x");
    });
    trickle.startPeriodic(std::chrono::milliseconds(50));
    REQUIRE(
        runner.runUntil([&] { return client.received().find("piece-2") != std::string::npos; }));
    REQUIRE(
        runner.runUntil([&] { return client.received().find("0\r\n\r\n") != std::string::npos; }));
    REQUIRE(stalled->isClosed());
}
