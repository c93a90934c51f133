#include "deployment.h"
#include "scriptedserver.h"

#include "../transport/rawclient.h"

#include <catch2/catch.hpp>

using namespace crocusport;

namespace {

//! More than the socket buffers between router and server hold.
constexpr std::size_t kLongBody = 16UL * 1024 * 1024;
//! Time for bytes in flight to arrive.
constexpr Milliseconds kArrivalTime { 50 };

std::string requestText(const std::string &id, const std::string &body)
{
    return "POST /unsafe/" + id + " HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string answerTo(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
        + "\r\nX-Response-Seal: s\r\nContent-Length: 4\r\n\r\ndone";
}

} // namespace

// Guards against sending another request on the connection of a server that answered early and
// still expects the rest of the previous body: it would read the request as part of that body.
SCENARIO("A server answers before it has read a long body")
{
    LoopRunner runner;
    Deployment deployment(runner);
    ScriptedServer server(runner.loop(), [](const auto &request) {
        return std::vector<ScriptedServer::Step> {
            { ScriptedServer::Step::Act::Send, answerTo(request.id), {} }
        };
    });
    server.setReading(false);
    deployment.configure(1, "key-1", kLongBody);
    deployment.registerServer("scripted", server.address());
    REQUIRE(deployment.waitReady());
    RawClient client(runner.loop(), deployment.gateway->callersAddress());
    const std::string body(kLongBody, 'b');
    client.send(requestText("id-1", body));
    REQUIRE(runner.runUntil([&] { return server.connectionCount() == 1; }));
    runner.runFor(kArrivalTime);
    server.sendToAll(answerTo("id-1"));
    REQUIRE(runner.runUntil([&] { return client.received() == answerTo("id-1"); }));

    GIVEN("another request of the caller")
    {
        client.send(requestText("id-2", "next"));
        THEN("it goes to the server on another connection")
        {
            REQUIRE(runner.runUntil([&] { return server.connectionCount() == 2; }));
            WHEN("the server resumes reading")
            {
                server.setReading(true);
                REQUIRE(runner.runUntil(
                    [&] { return client.received() == answerTo("id-1") + answerTo("id-2"); }));
                const bool isEnded = runner.runUntil([&] { return !server.isOpen(0); });
                const auto &received = server.received().front();
                const auto bodyStart = received.find("\r\n\r\n") + 4;
                const auto rest = received.substr(bodyStart);
                THEN("it receives only bytes of the body, and then the connection's end")
                {
                    REQUIRE(bodyStart > 4);
                    REQUIRE(rest.find_first_not_of('b') == std::string::npos);
                    REQUIRE(rest.size() < kLongBody);
                    REQUIRE(isEnded);
                }
            }
        }
    }
}
