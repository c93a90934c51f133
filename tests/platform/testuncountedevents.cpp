#include "deployment.h"

#include "../transport/rawclient.h"

#include <catch2/catch.hpp>

using namespace crocusport;

// Guards against events that a caller receives twice: without numeric event ids, a router cannot
// tell where to resume a stream.
SCENARIO("A stream whose events have no numeric id is interrupted")
{
    const auto event =
        GENERATE(as<std::string> {}, "data: piece-1\n\n", "id: a1\ndata: piece-1\n\n");
    CAPTURE(event);
    LoopRunner runner;
    Deployment deployment(runner);
    REQUIRE(deployment.serve());
    std::shared_ptr<HttpExchange> stream;
    deployment.first.handler = [&](const auto &exchange) {
        stream = exchange;
        exchange->startStream(200, deployment.first.sealedHeaders(*exchange));
        exchange->sendChunk(event);
    };
    deployment.second.handler = [&](const auto &exchange) {
        exchange->startStream(200, deployment.second.sealedHeaders(*exchange));
        exchange->sendChunk(event);
        exchange->endStream();
    };
    RawClient client(runner.loop(), deployment.gateway->callersAddress());
    client.send(Deployment::request("stream"));
    REQUIRE(
        runner.runUntil([&] { return client.received().find("piece-1") != std::string::npos; }));
    deployment.registerServer(deployment.second);
    deployment.settle();
    stream->abort();
    REQUIRE(runner.runUntil([&] {
        return client.isClosed() || client.received().find("0\r\n\r\n") != std::string::npos;
    }));
    const auto connection = client.read(1);
    REQUIRE(connection.fault.empty());
    REQUIRE(connection.answers.at(0).body == event);
    REQUIRE_FALSE(connection.answers.at(0).isComplete);
}
