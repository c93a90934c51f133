#include "deployment.h"

#include "../transport/answerreader.h"
#include "../transport/rawclient.h"
#include "../transport/rawserver.h"

#include <catch2/catch.hpp>

using namespace crocusport;

namespace {

std::string head(const std::string &id, std::size_t length)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
        + "\r\nX-Response-Seal: s\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

} // namespace

// Guards against reading part of an answer's body as its head. The duplicate of an answer to HEAD
// has the length of a body that is never sent. A router that skips a body of that length skips the
// head of the next answer.
SCENARIO("A duplicate of an answer to HEAD comes before the answer to GET")
{
    LoopRunner runner;
    Deployment deployment(runner);
    RawServer server(runner.loop(), "", RawServer::Ending::KeepOpen);
    deployment.configure(1);
    deployment.registerServer("raw", server.address());
    REQUIRE(deployment.waitReady());
    RawClient client(runner.loop(), deployment.gateway->callersAddress());
    const auto ask = [&](const std::string &method, const std::string &id) {
        const auto before = server.requestCount();
        client.send(method + " /unsafe/1 HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\n\r\n");
        REQUIRE(runner.runUntil([&] { return server.requestCount() > before; }));
    };
    const auto body = head("id-2", 4) + "part";
    const auto own = head("id-2", body.size()) + body;
    const auto copy = head("id-1", own.size() - body.size());
    ask("HEAD", "id-1");
    server.sendToAll(copy);
    REQUIRE(runner.runUntil([&] { return client.received().ends_with("\r\n\r\n"); }));
    const auto answered = client.received().size();
    ask("GET", "id-2");
    REQUIRE(server.connectionCount() == 1);
    server.sendToAll(copy + own);
    REQUIRE(runner.runUntil([&] { return client.received().size() > answered; }));
    runner.runFor(Milliseconds(50));
    const auto connection = readAnswers(client.received().substr(answered), 1, ConnectionEnd::Open);
    REQUIRE(connection.fault.empty());
    REQUIRE((connection.answers.at(0).status != 200 || connection.answers.at(0).body == body));
}
