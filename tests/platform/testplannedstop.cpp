#include "deployment.h"

#include "../transport/rawclient.h"
#include "../transport/rawserver.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace crocusport;

namespace {

std::string requestHead(const std::string &kind, std::size_t bodyBytes)
{
    return "POST /" + kind
        + "/1 HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: id-1\r\n"
          "X-Deadline-Ms: 60000\r\nAuthorization: Token key-1\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n";
}

} // namespace

// Guards against requests that are taken late in a planned stop and cut at its end with no answer.
SCENARIO("Requests late in the grace of a planned stop")
{
    LoopRunner runner;
    Deployment deployment(runner);
    REQUIRE(deployment.serve());
    RawClient client(runner.loop(), deployment.gateway->callersAddress());
    const auto isAnswered = [&](const std::string &status) {
        return client.received().starts_with("HTTP/1.1 " + status);
    };

    // The load balancer has noticed the stop after three seconds; the process is killed after
    // eight.
    WHEN("a request is not read whole before the load balancer has noticed the stop")
    {
        deployment.gateway->shutDown();
        runner.runFor(Milliseconds(2500));
        client.send(requestHead("lasting", 8) + "body");
        runner.runFor(Milliseconds(2000));
        client.send("body");
        THEN("the caller is told at once that it has not run")
        {
            REQUIRE(runner.runUntil([&] { return isAnswered("503") || client.isClosed(); }));
            REQUIRE(isAnswered("503"));
            REQUIRE(client.received().find("Retry-After: ") != std::string::npos);
            REQUIRE(deployment.first.requests.empty());
        }
    }
    WHEN("a server still works on a request at the end of the grace")
    {
        std::shared_ptr<HttpExchange> held;
        deployment.first.handler = [&](const auto &exchange) { held = exchange; };
        deployment.gateway->shutDown();
        runner.runFor(Milliseconds(2500));
        client.send(requestHead("lasting", 4) + "body");
        REQUIRE(runner.runUntil([&] { return held != nullptr; }));
        THEN("the caller is told that its outcome is unknown")
        {
            REQUIRE(runner.runUntil([&] { return isAnswered("502") || client.isClosed(); }));
            REQUIRE(isAnswered("502"));
        }
    }
}

// Guards against a truncated head that reaches the caller as a whole answer.
SCENARIO("A server stops in the middle of the head of its answer and closes")
{
    LoopRunner runner;
    Deployment deployment(runner);
    deployment.configure(1);
    const bool isStream = GENERATE(false, true);
    const auto framing =
        GENERATE(as<std::string> {}, "Content-Length: 0\r\n", "", "Transfer-Encoding: chunked\r\n");
    CAPTURE(isStream, framing);
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Seal: s\r\n" + framing + "\r\n";
    RawServer server(runner.loop(), "", RawServer::Ending::KeepOpen);
    deployment.registerServer("raw", server.address());
    REQUIRE(deployment.waitReady());
    deployment.settle();
    // A success needs the whole head; the last bytes are its empty line.
    for (std::size_t sent = 1; sent < head.size(); sent += sent + 12 < head.size() ? 7 : 1) {
        CAPTURE(sent);
        RawClient client(runner.loop(), deployment.gateway->callersAddress());
        const auto before = server.requestCount();
        // Requests that differ are not taken for one that crashes servers.
        const auto kind = std::string(isStream ? "fragile" : "unsafe");
        client.send("GET /" + kind + '/' + std::to_string(sent)
                    + " HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: id-1\r\n"
                      "X-Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\n\r\n");
        REQUIRE(runner.runUntil([&] { return server.requestCount() > before; }));
        server.sendToAll(head.substr(0, sent));
        server.closeAll();
        REQUIRE(
            runner.runUntil([&] { return client.received().size() > 12 || client.isClosed(); }));
        REQUIRE(client.received().starts_with("HTTP/1.1 502"));
    }
}
