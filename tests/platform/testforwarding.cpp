#include "deployment.h"

#include "../transport/rawclient.h"

#include <catch2/catch.hpp>

using namespace crocusport;

namespace {

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece-" + std::to_string(id) + "\n\n";
}

bool isAnswered(const RawClient &client, const std::string &status)
{
    return client.received().starts_with("HTTP/1.1 " + status);
}

bool contains(const RawClient &client, const std::string &text)
{
    return client.received().find(text) != std::string::npos;
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

SCENARIO("A request reaches the backend server that its route and key select")
{
    LoopRunner runner;
    Deployment deployment(runner);
    RawClient client(runner.loop(), deployment.gateway->callersAddress());
    const auto answered = [&](const std::string &status) {
        return runner.runUntil([&] { return isAnswered(client, status); });
    };

    // Guards against a final refusal by a router that has no configuration yet: the answer must
    // have Retry-After.
    WHEN("the router has no configuration")
    {
        client.send(Deployment::request("safe"));
        REQUIRE(answered("503"));
        REQUIRE(contains(client, "Retry-After: 0."));
        REQUIRE(deployment.readyStatus() == 503);
    }
    // Guards against refusing requests that arrive while a router is restarting.
    WHEN("a request arrives before the router has read its configuration")
    {
        deployment.configure(7);
        deployment.registerServer(deployment.first);
        client.send(Deployment::request("safe"));
        REQUIRE(answered("200"));
    }
    WHEN("the configuration and a server are known")
    {
        deployment.configure(7);
        deployment.registerServer(deployment.first);
        REQUIRE(deployment.waitReady());
        REQUIRE(deployment.readyStatus() == 200);

        // Guards against requests that reach the server modified, or with headers that callers must
        // not set.
        THEN("the request arrives unchanged, with the headers that the router adds")
        {
            client.send(Deployment::request("unsafe",
                                            "X-Other: kept\r\nX-Tenant: forged\r\n"
                                            "X-Kv-Hold: forged\r\nX-Expect-Instance: forged\r\n"
                                            "Connection: X-Hop\r\nX-Hop: dropped\r\n"));
            REQUIRE(answered("200"));
            REQUIRE(contains(client, "X-Response-Seal: seal-of-first"));
            REQUIRE(contains(client, "\r\n\r\ndone"));
            const auto &server = deployment.first;
            REQUIRE(server.requests.size() == 1);
            REQUIRE(server.lastTarget == "/unsafe/1?a=b");
            REQUIRE(server.lastBody == "body");
            const auto header = [&](const std::string &name) {
                return StandInServer::header(server.requests[0], name);
            };
            REQUIRE(header("Host") == "app.example");
            REQUIRE(header("X-Attempt-Id") == "id-1");
            REQUIRE(header("X-Other") == "kept");
            REQUIRE(header("X-Tenant") == "team-1");
            REQUIRE(header("X-Expect-Instance") == "first");
            REQUIRE(header("X-Kv-Hold").empty());
            REQUIRE(header("X-Hop").empty());
            REQUIRE(header("Authorization").empty());
            REQUIRE(std::stoi(header("X-Deadline-Ms")) <= 1500);
            REQUIRE(std::stoi(header("X-Deadline-Ms")) > 1000);
        }
        THEN("an unknown route and an unknown key are refused")
        {
            client.send("GET /none/ HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: 1\r\n\r\n");
            REQUIRE(answered("404"));
            RawClient other(runner.loop(), deployment.gateway->callersAddress());
            other.send(Deployment::request("safe", "", "key-2"));
            REQUIRE(runner.runUntil([&] { return isAnswered(other, "401"); }));
            REQUIRE(deployment.first.requests.empty());
        }
        // Guards against a router that reverts to an older configuration.
        THEN("an older configuration changes nothing")
        {
            deployment.configure(6, "key-old");
            deployment.settle();
            client.send(Deployment::request("safe"));
            REQUIRE(answered("200"));
        }
        THEN("a withdrawn key is refused")
        {
            deployment.configure(8, "key-2");
            deployment.settle();
            client.send(Deployment::request("safe"));
            REQUIRE(answered("401"));
        }
        // Guards against keys that are valid because the last team was removed.
        THEN("no key is valid once the list of teams is empty")
        {
            deployment.configureTeams(8, "[]");
            deployment.settle();
            client.send(Deployment::request("safe"));
            REQUIRE(answered("401"));
            RawClient other(runner.loop(), deployment.gateway->callersAddress());
            other.send(Deployment::request("safe", "", "key-2"));
            REQUIRE(runner.runUntil([&] { return isAnswered(other, "401"); }));
            REQUIRE(deployment.first.requests.empty());
        }
        THEN("every caller is served once there is no list of teams")
        {
            deployment.configureTeams(8, "");
            deployment.settle();
            client.send(Deployment::request("safe", "", "key-2"));
            REQUIRE(answered("200"));
            REQUIRE(StandInServer::header(deployment.first.requests.at(0), "X-Tenant").empty());
        }
        // Guards against a list of teams that cannot be read and then counts as none.
        THEN("a configuration whose list of teams is of another type changes nothing")
        {
            deployment.configureTeams(8, GENERATE("null", "{}", "\"team-1\"", "[null]", "0"));
            deployment.settle();
            client.send(Deployment::request("safe", "", "key-2"));
            REQUIRE(answered("401"));
            RawClient other(runner.loop(), deployment.gateway->callersAddress());
            other.send(Deployment::request("safe"));
            REQUIRE(runner.runUntil([&] { return isAnswered(other, "200"); }));
        }
        // Guards against entries written by others that do not describe a server.
        THEN("entries that cannot be decoded are ignored")
        {
            deployment.store.put("servers/broken", "{\"service\":3");
            deployment.store.put("servers/partial", R"({"service":"pool"})");
            deployment.settle();
            client.send(Deployment::request("safe"));
            REQUIRE(answered("200"));
        }
        THEN("a draining server receives no more requests")
        {
            deployment.registerServer(deployment.first, "draining");
            deployment.registerServer(deployment.second);
            deployment.settle();
            client.send(Deployment::request("safe"));
            REQUIRE(answered("200"));
            REQUIRE(contains(client, "seal-of-second"));
        }
        THEN("changes are applied after the store has discarded its history")
        {
            deployment.store.dropHistory();
            deployment.store.erase("servers/first");
            deployment.store.dropHistory();
            deployment.registerServer(deployment.second);
            deployment.settle();
            client.send(Deployment::request("safe"));
            REQUIRE(answered("200"));
            REQUIRE(contains(client, "seal-of-second"));
        }
    }
}

SCENARIO("A router that cannot read from the store")
{
    LoopRunner runner;
    Deployment deployment(runner, Milliseconds(1200));
    REQUIRE(deployment.serve());
    const auto mode = GENERATE(StandInStore::Mode::Refusing, StandInStore::Mode::Silent);
    deployment.store.setMode(mode);

    // Guards against accepting a key that was withdrawn while the router could not read the store.
    THEN("it refuses all keys before the revocation bound has passed, is not ready, and serves "
         "again once it can read the store")
    {
        runner.runFor(Milliseconds(750));
        RawClient early(runner.loop(), deployment.gateway->callersAddress());
        early.send(Deployment::request("safe"));
        REQUIRE(runner.runUntil([&] { return isAnswered(early, "503"); }));
        REQUIRE(deployment.readyStatus() == 503);
        REQUIRE(deployment.first.requests.empty());

        deployment.store.setMode(StandInStore::Mode::Serving);
        REQUIRE(deployment.waitReady());
        RawClient late(runner.loop(), deployment.gateway->callersAddress());
        late.send(Deployment::request("safe"));
        REQUIRE(runner.runUntil([&] { return isAnswered(late, "200"); }));
    }
    // Guards against losing a whole pool because entries expired while the store was unavailable.
    THEN("servers whose entries expired are kept until they have had time to register again")
    {
        if (mode == StandInStore::Mode::Silent)
            return;
        runner.runFor(Milliseconds(1100));
        deployment.store.erase("servers/first");
        deployment.store.setMode(StandInStore::Mode::Serving);
        REQUIRE(deployment.waitReady());
        RawClient client(runner.loop(), deployment.gateway->callersAddress());
        client.send(Deployment::request("safe"));
        REQUIRE(runner.runUntil([&] { return isAnswered(client, "200"); }));
        runner.runFor(Milliseconds(2300));
        RawClient late(runner.loop(), deployment.gateway->callersAddress());
        late.send(Deployment::request("safe"));
        REQUIRE(runner.runUntil([&] { return isAnswered(late, "503"); }));
    }
}

SCENARIO("What callers are told when a backend server fails")
{
    LoopRunner runner;
    Deployment deployment(runner);
    REQUIRE(deployment.serve());
    RawClient client(runner.loop(), deployment.gateway->callersAddress());
    auto &first = deployment.first;
    auto &second = deployment.second;
    const auto isAnsweredWith = [&](const std::string &status) {
        return runner.runUntil([&] { return isAnswered(client, status); });
    };

    // Guards against telling callers that a request has not run when it may have run, and against
    // running it twice.
    WHEN("the connection breaks while it carries a request that must not be repeated")
    {
        deployment.registerServer(second);
        deployment.settle();
        const auto kind = GENERATE(std::string("unsafe"), std::string("fragile"));
        first.handler = second.handler = [](const auto &exchange) { exchange->abort(); };
        client.send(Deployment::request(kind));
        REQUIRE(isAnsweredWith("502"));
        REQUIRE(first.requests.size() + second.requests.size() == 1);
    }
    WHEN("the connection breaks while it carries a request that may be repeated")
    {
        deployment.registerServer(second);
        deployment.settle();
        int calls = 0;
        first.handler = second.handler = [&](const auto &exchange) {
            if (++calls == 1)
                exchange->abort();
            else
                exchange->reply(200, first.sealedHeaders(*exchange), "again");
        };
        client.send(Deployment::request("safe"));
        REQUIRE(isAnsweredWith("200"));
        REQUIRE(calls == 2);
    }
    WHEN("a server fails a request that may be repeated")
    {
        deployment.registerServer(second);
        deployment.settle();
        int calls = 0;
        first.handler = second.handler = [&](const auto &exchange) {
            exchange->reply(++calls == 1 ? 500 : 200, first.sealedHeaders(*exchange), "");
        };
        client.send(Deployment::request("safe"));
        REQUIRE(isAnsweredWith("200"));
        REQUIRE(calls == 2);
    }
    WHEN("the server says that it did not run the request")
    {
        first.handler = [](const auto &exchange) {
            exchange->reply(503, { { "X-Not-Executed", "1" } }, "");
        };
        THEN("another server receives it, although it is unsafe")
        {
            deployment.registerServer(second);
            deployment.settle();
            for (int i = 0; i < 8; ++i) {
                RawClient caller(runner.loop(), deployment.gateway->callersAddress());
                caller.send(Deployment::request("unsafe"));
                REQUIRE(runner.runUntil([&] { return isAnswered(caller, "200"); }));
            }
        }
        THEN("the caller is told that it has not run if there is no other server")
        {
            client.send(Deployment::request("unsafe"));
            REQUIRE(isAnsweredWith("503"));
            REQUIRE(contains(client, "Retry-After: "));
        }
    }
    // Guards against a request that runs at two servers at the same time.
    WHEN("the server is silent and the request may run again")
    {
        std::shared_ptr<HttpExchange> held;
        std::optional<bool> wasClosed;
        first.handler = [&](const auto &exchange) { held = exchange; };
        second.handler = [&](const auto &exchange) {
            // The close of the first connection may arrive after the second attempt.
            runner.loop().post([&, exchange] {
                wasClosed = held->isClosed();
                exchange->reply(200, second.sealedHeaders(*exchange), "done");
            });
        };
        client.send(Deployment::request("safe"));
        REQUIRE(runner.runUntil([&] { return held != nullptr; }));
        deployment.registerServer(second);
        deployment.settle();
        THEN("the first attempt's connection is closed before the second one runs")
        {
            REQUIRE(runner.runUntil([&] { return isAnswered(client, "200"); }));
            REQUIRE(wasClosed == true);
            REQUIRE(contains(client, "seal-of-second"));
        }
    }
    // Guards against telling callers that a request has not run when no server has said so.
    WHEN("the server answers 503 without X-Not-Executed")
    {
        first.handler = [&](const auto &exchange) {
            exchange->reply(503, first.sealedHeaders(*exchange), "");
        };
        client.send(Deployment::request("unsafe"));
        REQUIRE(isAnsweredWith("502"));
        REQUIRE_FALSE(contains(client, "seal"));
    }
    // Guards against forwarding an answer without a seal of the server, an encoded one, or one that
    // belongs to another request.
    WHEN("a success is not sealed, is encoded, or names another request")
    {
        const auto headers = GENERATE(values<HttpHeaders>({
            { { "X-Attempt-Id", "id-1" } },
            { { "X-Response-Seal", "s" } },
            { { "X-Attempt-Id", "id-2" }, { "X-Response-Seal", "s" } },
            { { "X-Attempt-Id", "id-1" },
              { "X-Response-Seal", "s" },
              { "Content-Encoding", "br" } },
        }));
        first.handler = [&](const auto &exchange) { exchange->reply(200, headers, "wrong"); };
        client.send(Deployment::request("unsafe"));
        REQUIRE(isAnsweredWith("502"));
        REQUIRE_FALSE(contains(client, "wrong"));
    }
    WHEN("no server is registered")
    {
        deployment.store.erase("servers/first");
        deployment.settle();
        client.send(Deployment::request("unsafe"));
        REQUIRE(isAnsweredWith("503"));
    }
    // Guards against a caller that is kept waiting past its deadline.
    WHEN("the server does not answer before the caller's deadline")
    {
        std::shared_ptr<HttpExchange> held;
        first.handler = [&](const auto &exchange) { held = exchange; };
        client.send(Deployment::request("unsafe"));
        REQUIRE(isAnsweredWith("504"));
        REQUIRE(runner.runUntil([&] { return held->isClosed(); }));
    }
    // Guards against servers that keep working for a caller that has disconnected.
    WHEN("the caller disconnects")
    {
        std::shared_ptr<HttpExchange> held;
        first.handler = [&](const auto &exchange) { held = exchange; };
        auto leaving =
            std::make_unique<RawClient>(runner.loop(), deployment.gateway->callersAddress());
        leaving->send(Deployment::request("unsafe"));
        REQUIRE(runner.runUntil([&] { return held != nullptr; }));
        leaving.reset();
        runner.runFor(Milliseconds(100));
        REQUIRE(held->isClosed());
    }
}

SCENARIO("A backend server that accepts no more requests")
{
    LoopRunner runner;
    Deployment deployment(runner);
    REQUIRE(deployment.serve());
    auto &first = deployment.first;
    auto &second = deployment.second;
    const auto ask = [&](const std::string &status) {
        RawClient client(runner.loop(), deployment.gateway->callersAddress());
        client.send(Deployment::request("unsafe"));
        return runner.runUntil([&] { return isAnswered(client, status); });
    };

    // Guards against requests that reach a server after it has announced in an answer that it is
    // leaving, while its entry in the store still has the state "ready".
    WHEN("its answer announces that it is leaving")
    {
        first.handler = [&](const auto &exchange) {
            auto headers = first.sealedHeaders(*exchange);
            headers.emplace_back("Server-Leaving", "1");
            exchange->reply(200, headers, "last");
        };
        REQUIRE(ask("200"));
        THEN("it receives no more requests, and callers are told at once that theirs have not run")
        {
            REQUIRE(ask("503"));
            deployment.registerServer(first);
            deployment.settle();
            REQUIRE(ask("503"));
            REQUIRE(first.requests.size() == 1);
        }
        THEN("the other server receives the requests")
        {
            deployment.registerServer(second);
            deployment.settle();
            for (int i = 0; i < 5; ++i)
                REQUIRE(ask("200"));
            REQUIRE(first.requests.size() == 1);
        }
        // Guards against requests to a leaving server whose entry is removed and written again.
        THEN("it receives none after its entry was removed and is back")
        {
            deployment.store.erase("servers/first");
            deployment.settle();
            deployment.registerServer(first);
            deployment.settle();
            REQUIRE(ask("503"));
            REQUIRE(first.requests.size() == 1);
        }
        THEN("it receives requests again after a restart under the same name")
        {
            first.handler = nullptr;
            deployment.registerServer(first, "ready", 2000);
            deployment.settle();
            REQUIRE(ask("200"));
        }
    }
    WHEN("it rejects a request with Retry-After")
    {
        int refusals = 0;
        first.handler = [&](const auto &exchange) {
            if (++refusals == 1)
                exchange->reply(503, { { "X-Not-Executed", "1" }, { "Retry-After", "0.9" } }, "");
            else
                exchange->reply(200, first.sealedHeaders(*exchange), "done");
        };
        RawClient client(runner.loop(), deployment.gateway->callersAddress());
        client.send(Deployment::request("unsafe"));
        REQUIRE(runner.runUntil([&] { return isAnswered(client, "503"); }));
        // Guards against callers that are kept waiting, or that retry while the server still
        // rejects all requests.
        THEN("callers are refused at once, and Retry-After says when the server accepts them again")
        {
            const auto at = client.received().find("Retry-After: 0.");
            REQUIRE(at != std::string::npos);
            REQUIRE(std::stod(client.received().substr(at + 13)) > 0.6);
        }
        // Guards against a pause that ends early because the server's entry goes and comes back.
        THEN("the time goes on while its entry is removed and written again")
        {
            deployment.store.erase("servers/first");
            deployment.settle();
            deployment.registerServer(first);
            deployment.settle();
            REQUIRE(ask("503"));
            REQUIRE(first.requests.size() == 1);
        }
        // Guards against sending requests to a server while it is out of capacity.
        THEN("it receives requests again only after the time in Retry-After")
        {
            runner.runFor(Milliseconds(200));
            REQUIRE(ask("503"));
            REQUIRE(first.requests.size() == 1);
            runner.runFor(Milliseconds(800));
            REQUIRE(ask("200"));
        }
    }
}

SCENARIO("Streams")
{
    LoopRunner runner;
    Deployment deployment(runner);
    REQUIRE(deployment.serve());
    RawClient client(runner.loop(), deployment.gateway->callersAddress());
    auto &first = deployment.first;
    auto &second = deployment.second;
    std::shared_ptr<HttpExchange> stream;
    first.handler = [&](const auto &exchange) {
        stream = exchange;
        exchange->startStream(200, first.sealedHeaders(*exchange));
        exchange->sendChunk(eventText(1) + eventText(2).substr(0, 9));
    };

    WHEN("events arrive in pieces")
    {
        client.send(Deployment::request("stream"));
        REQUIRE(runner.runUntil([&] { return contains(client, "piece-1"); }));

        THEN("complete events are forwarded as they arrive")
        {
            REQUIRE_FALSE(contains(client, "id: 2"));
            stream->sendChunk(eventText(2).substr(9));
            REQUIRE(runner.runUntil([&] { return contains(client, "piece-2"); }));
            stream->endStream();
            REQUIRE(runner.runUntil([&] { return contains(client, "0\r\n\r\n"); }));
        }
        // Guards against events that are lost, duplicated or merged when a stream is resumed at
        // another server.
        THEN("an interrupted stream is resumed at another server after its last complete event")
        {
            deployment.registerServer(second);
            deployment.settle();
            second.handler = [&](const auto &exchange) {
                exchange->startStream(200, second.sealedHeaders(*exchange));
                // The router drops the events that the caller already has.
                exchange->sendChunk(eventText(1) + eventText(2) + eventText(3));
                exchange->endStream();
            };
            stream->abort();
            REQUIRE(runner.runUntil([&] { return contains(client, "0\r\n\r\n"); }));
            REQUIRE(StandInServer::header(second.requests.at(0), "Last-Event-Id") == "1");
            for (int id = 1; id <= 3; ++id)
                REQUIRE(countOf(client.received(), "piece-" + std::to_string(id)) == 1);
            REQUIRE(contains(client, "seal-of-first"));
            REQUIRE_FALSE(contains(client, "seal-of-second"));
        }
        // Guards against passing on a stream that ends inside an event as a complete answer.
        THEN("an end in the middle of an event counts as a truncated answer")
        {
            stream->endStream();
            REQUIRE(runner.runUntil([&] { return client.isClosed(); }));
            REQUIRE_FALSE(contains(client, "0\r\n\r\n"));
        }
    }
    WHEN("a stream that must not run again is interrupted")
    {
        client.send(Deployment::request("fragile"));
        REQUIRE(runner.runUntil([&] { return contains(client, "piece-1"); }));
        deployment.registerServer(second);
        deployment.settle();
        stream->abort();
        // Guards against a truncated answer that looks complete.
        THEN("the caller can see that the answer is truncated")
        {
            REQUIRE(runner.runUntil([&] { return client.isClosed(); }));
            REQUIRE_FALSE(contains(client, "0\r\n\r\n"));
            REQUIRE(second.requests.empty());
        }
    }
}

SCENARIO("A gateway that is shutting down")
{
    LoopRunner runner;
    Deployment deployment(runner);
    REQUIRE(deployment.serve());
    std::shared_ptr<HttpExchange> stream;
    deployment.first.handler = [&](const auto &exchange) {
        stream = exchange;
        exchange->startStream(200, deployment.first.sealedHeaders(*exchange));
        exchange->sendChunk(eventText(1));
    };
    RawClient client(runner.loop(), deployment.gateway->callersAddress());
    client.send(Deployment::request("stream"));
    REQUIRE(runner.runUntil([&] { return contains(client, "piece-1"); }));
    deployment.gateway->shutDown();

    // Guards against a planned shutdown that interrupts requests, or that refuses callers that
    // still connect.
    THEN("it is unready at once, accepts late callers and completes the stream")
    {
        REQUIRE(deployment.readyStatus() == 503);
        deployment.first.handler = nullptr;
        RawClient late(runner.loop(), deployment.gateway->callersAddress());
        late.send(Deployment::request("safe"));
        REQUIRE(runner.runUntil([&] { return isAnswered(late, "200"); }));
        REQUIRE(contains(late, "Connection: close"));
        stream->sendChunk(eventText(2));
        stream->endStream();
        REQUIRE(runner.runUntil([&] { return contains(client, "0\r\n\r\n"); }));
        REQUIRE_FALSE(client.isReset());
    }
}
