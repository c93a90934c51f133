#include "deployment.h"

#include "../transport/rawclient.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace crocusport;

namespace {

// The platform's bound: three servers that have ended show what the request does.
constexpr int kAllowedCrashes = 3;
// As often as the request comes again.
constexpr int kComings = 5;
// In this time a router has told the fleet what it knows.
constexpr Duration kTellingTime = std::chrono::milliseconds(1500);

const std::string kWithoutBody = "GET /safe/crash HTTP/1.1\r\nHost: app.example\r\n"
                                 "X-Attempt-Id: id-1\r\nX-Deadline-Ms: 1500\r\n"
                                 "Authorization: Token key-1\r\n\r\n";

//! Backend servers that crash under each request, and come back under a new start.
class CrashingServers
{
public:
    //! How callers of a server see its crash.
    enum class Kind { Closed, Silent };

    CrashingServers(Deployment &deployment, Kind kind = Kind::Closed) : deployment_(deployment)
    {
        for (auto *const server : { &deployment.first, &deployment.second }) {
            server->handler = [this, server, kind](const auto &exchange) {
                ++crashes_;
                if (kind == Kind::Closed)
                    exchange->abort();
                else
                    silent_.push_back(exchange);
                if (isReentering)
                    deployment_.enter(*server, "ready", ++start_);
            };
            deployment.enter(*server, "ready", start_);
        }
        REQUIRE(deployment.waitReady());
        deployment.settle();
    }

    int crashes() const { return crashes_; }
    bool isReentering = true; //!< Whether a start is in the store before the next request.

private:
    Deployment &deployment_;
    std::vector<std::shared_ptr<HttpExchange>> silent_;
    int start_ = 1000;
    int crashes_ = 0;
};

//! Configures the gateway and enters both servers.
void serveWithBoth(Deployment &deployment)
{
    REQUIRE(deployment.serve());
    deployment.enter(deployment.second);
    deployment.settle();
}

//! Sends \a request to \a gateway and returns the status of its answer.
std::string statusOf(Deployment &deployment, Gateway &gateway, const std::string &request)
{
    RawClient client(deployment.runner.loop(), gateway.callersAddress());
    client.send(request);
    REQUIRE(deployment.runner.runUntil([&] { return client.received().size() > 12; }));
    deployment.settle();
    return client.received().substr(9, 3);
}

std::string statusOf(Deployment &deployment, const std::string &request)
{
    return statusOf(deployment, *deployment.gateway, request);
}

} // namespace

// Guards against a request that ends one server after the other for as long as it comes again.
SCENARIO("A request that crashes each server comes again")
{
    LoopRunner runner;
    Deployment deployment(runner);
    deployment.configure(1);
    CrashingServers servers(deployment);
    const auto comeAgain = [&](const std::string &request) {
        std::string status;
        for (int i = 0; i < kComings; ++i)
            status = statusOf(deployment, request);
        return status;
    };

    SECTION("with a body")
    {
        REQUIRE(comeAgain(Deployment::request("unsafe")) == "503");
        REQUIRE(servers.crashes() <= kAllowedCrashes);
    }
    SECTION("without a body")
    {
        REQUIRE(comeAgain(kWithoutBody) == "503");
        REQUIRE(servers.crashes() <= kAllowedCrashes);
    }
    SECTION("with another key of its team")
    {
        comeAgain(Deployment::request("unsafe"));
        deployment.configure(2, "key-2");
        deployment.settle();
        REQUIRE(comeAgain(Deployment::request("unsafe", "", "key-2")) == "503");
        REQUIRE(servers.crashes() <= kAllowedCrashes);
    }
    // Guards against taking any answer for proof that the request can be run.
    SECTION("and a server in trouble answers it with a failure now and then")
    {
        deployment.second.handler = [&](const auto &exchange) {
            exchange->reply(500, deployment.second.sealedHeaders(*exchange), "");
        };
        for (int i = 0; i < 3; ++i)
            comeAgain(Deployment::request("unsafe"));
        REQUIRE(servers.crashes() <= kAllowedCrashes);
    }
    SECTION("before the entries of the servers are renewed")
    {
        deployment.store.erase("servers/second");
        deployment.settle();
        servers.isReentering = false;
        REQUIRE(comeAgain(Deployment::request("unsafe")) == "503");
        REQUIRE(servers.crashes() <= kAllowedCrashes);
    }
}

// Guards against crashes that nobody counts because the connection stays open.
SCENARIO("A request under which servers fall silent and start again")
{
    LoopRunner runner;
    Deployment deployment(runner);
    deployment.configure(1);
    CrashingServers servers(deployment, CrashingServers::Kind::Silent);
    for (int i = 0; i < kComings; ++i)
        statusOf(deployment, Deployment::request("safe"));
    REQUIRE(servers.crashes() <= kAllowedCrashes);
}

// Guards against a router that sends on what the fleet had learned to refuse.
SCENARIO("A request that crashes servers comes to a router that has not seen it")
{
    LoopRunner runner;
    Deployment deployment(runner);
    deployment.configure(1);
    CrashingServers servers(deployment);
    for (int i = 0; i < kComings; ++i)
        statusOf(deployment, Deployment::request("unsafe"));
    runner.runFor(kTellingTime);

    SECTION("because it has started again")
    {
        deployment.restart();
        REQUIRE(deployment.waitReady());
        for (int i = 0; i < kComings; ++i)
            statusOf(deployment, Deployment::request("unsafe"));
        REQUIRE(servers.crashes() <= kAllowedCrashes);
    }
    SECTION("because it has joined the fleet")
    {
        const auto other = deployment.startRouter("router-2");
        REQUIRE(runner.runUntil([&] { return other->isReady(); }));
        for (int i = 0; i < kComings; ++i)
            statusOf(deployment, *other, Deployment::request("unsafe"));
        REQUIRE(servers.crashes() <= kAllowedCrashes);
    }
}

// Guards against repeats that are sent although the crashes of other requests have been seen since.
SCENARIO("Two equal requests under which servers crash at the same time")
{
    LoopRunner runner;
    Deployment deployment(runner);
    serveWithBoth(deployment);
    std::vector<std::shared_ptr<HttpExchange>> running;
    for (auto *const server : { &deployment.first, &deployment.second })
        server->handler = [&](const auto &exchange) { running.push_back(exchange); };
    RawClient one(runner.loop(), deployment.gateway->callersAddress());
    RawClient other(runner.loop(), deployment.gateway->callersAddress());
    one.send(Deployment::request("safe"));
    REQUIRE(runner.runUntil([&] { return running.size() == 1; }));
    other.send(Deployment::request("safe"));
    REQUIRE(runner.runUntil([&] { return running.size() == 2; }));
    REQUIRE(deployment.first.requests.size() == 1);

    running[0]->abort();
    running[1]->abort();
    // The one whose connection broke last has run, and is not repeated.
    const auto isToldUnknown = [](const RawClient &client) {
        return client.received().starts_with("HTTP/1.1 502");
    };
    REQUIRE(runner.runUntil([&] { return isToldUnknown(one) || isToldUnknown(other); }));
    deployment.settle();
    REQUIRE(running.size() <= kAllowedCrashes);
}

// Guards against a popular request that is refused because servers crashed while it ran there.
SCENARIO("A request that many callers send is under way when servers crash")
{
    LoopRunner runner;
    Deployment deployment(runner);
    serveWithBoth(deployment);
    REQUIRE(statusOf(deployment, kWithoutBody) == "200");
    for (auto *const server : { &deployment.first, &deployment.second })
        server->handler = [](const auto &exchange) { exchange->abort(); };
    REQUIRE(statusOf(deployment, kWithoutBody) == "502");
    deployment.first.handler = nullptr;
    deployment.second.handler = nullptr;
    REQUIRE(statusOf(deployment, kWithoutBody) == "200");
}

// Guards against a caller that comes back after two crashes which it did not cause, and is refused.
SCENARIO("A stream loses two servers midway and comes again")
{
    LoopRunner runner;
    Deployment deployment(runner);
    serveWithBoth(deployment);
    std::vector<std::shared_ptr<HttpExchange>> running;
    for (auto *const server : { &deployment.first, &deployment.second })
        server->handler = [&, server](const auto &exchange) {
            running.push_back(exchange);
            exchange->startStream(200, server->sealedHeaders(*exchange));
            exchange->sendChunk("id: " + std::to_string(running.size()) + "\ndata: piece\n\n");
        };
    RawClient client(runner.loop(), deployment.gateway->callersAddress());
    client.send(Deployment::request("stream"));
    for (std::size_t crash = 1; crash <= 2; ++crash) {
        const auto event = "id: " + std::to_string(crash);
        REQUIRE(
            runner.runUntil([&] { return client.received().find(event) != std::string::npos; }));
        running.back()->abort();
    }
    REQUIRE(runner.runUntil([&] { return client.isClosed(); }));
    REQUIRE(running.size() == 2);
    for (auto *const server : { &deployment.first, &deployment.second })
        server->handler = [server](const auto &exchange) {
            exchange->reply(200, server->sealedHeaders(*exchange), "id: 1\ndata: all\n\n");
        };
    REQUIRE(statusOf(deployment, Deployment::request("stream")) == "200");
}
