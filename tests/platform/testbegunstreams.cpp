#include "deployment.h"

#include "../transport/rawclient.h"

#include <catch2/catch.hpp>

using namespace crocusport;

namespace {

const std::string kEvent1 = "id: 1\ndata: piece-1\n\n";
const std::string kEvent2 = "id: 2\ndata: piece-2\n\n";

} // namespace

// Guards against a failure answer inside the body of a stream that the caller already receives.
SCENARIO("A stream is resumed at a server that answers with a failure")
{
    struct Answer
    {
        int status;
        bool isRefusal; //!< The server says that it has not run the request.
    };
    const auto failure =
        GENERATE(Answer { 500, false }, Answer { 404, false }, Answer { 503, false },
                 Answer { 503, true }, Answer { 301, false });
    CAPTURE(failure.status, failure.isRefusal);
    LoopRunner runner;
    Deployment deployment(runner);
    REQUIRE(deployment.serve());
    StandInServer third(runner.loop(), "third");
    std::shared_ptr<HttpExchange> stream;
    deployment.first.handler = [&](const auto &exchange) {
        stream = exchange;
        exchange->startStream(200, deployment.first.sealedHeaders(*exchange));
        exchange->sendChunk(kEvent1);
    };
    deployment.second.handler = [&](const auto &exchange) {
        auto headers = deployment.second.sealedHeaders(*exchange);
        if (failure.isRefusal)
            headers.emplace_back("X-Not-Executed", "1");
        exchange->reply(failure.status, headers, "failed");
    };
    third.handler = [&](const auto &exchange) {
        exchange->startStream(200, third.sealedHeaders(*exchange));
        exchange->sendChunk(kEvent2);
        exchange->endStream();
    };
    RawClient client(runner.loop(), deployment.gateway->callersAddress());
    const auto breakStream = [&](const std::string &route) {
        client.send(Deployment::request(route));
        REQUIRE(runner.runUntil(
            [&] { return client.received().find("piece-1") != std::string::npos; }));
        deployment.registerServer(deployment.second);
        deployment.settle();
        stream->abort();
        REQUIRE(runner.runUntil([&] { return !deployment.second.requests.empty(); }));
    };

    WHEN("the route allows no further attempt")
    {
        breakStream("stream");
        THEN("the caller receives the truncated stream, and nothing more on its connection")
        {
            REQUIRE(runner.runUntil([&] { return client.isClosed(); }));
            const auto connection = client.read(1);
            REQUIRE(connection.fault.empty());
            REQUIRE(connection.answers.size() == 1);
            REQUIRE(connection.answers[0].body == kEvent1);
            REQUIRE_FALSE(connection.answers[0].isComplete);
            REQUIRE(client.isReset());
        }
    }
    WHEN("the route allows a further attempt")
    {
        deployment.registerServer(third, "draining");
        breakStream("patient");
        deployment.registerServer(third, "ready", 2000);
        THEN("the stream is resumed at another server")
        {
            REQUIRE(runner.runUntil(
                [&] { return client.received().find("0\r\n\r\n") != std::string::npos; }));
            const auto connection = client.read(1);
            REQUIRE(connection.fault.empty());
            REQUIRE(connection.answers.size() == 1);
            REQUIRE(connection.answers[0].body == kEvent1 + kEvent2);
            REQUIRE(connection.answers[0].header("X-Response-Seal") == "seal-of-first");
        }
    }
}
