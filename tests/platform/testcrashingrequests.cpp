#include "deployment.h"

#include "../transport/rawclient.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace crocusport;

namespace {

// The platform's limit: three crashes show that the request causes them.
constexpr int kAllowedCrashes = 3;
// Number of times that the request is sent.
constexpr int kRepetitions = 5;
// Time in which a router surely has reported to the fleet all crashes that it has seen.
constexpr Duration kReportTime = std::chrono::milliseconds(1500);

const std::string kWithoutBody = "GET /safe/crash HTTP/1.1\r\nHost: app.example\r\n"
                                 "X-Attempt-Id: id-1\r\nX-Deadline-Ms: 1500\r\n"
                                 "Authorization: Token key-1\r\n\r\n";

//! Backend servers that crash while they run any request, and restart with a new start number.
class CrashingServers
{
public:
    //! What clients of a server see of its crash: a closed connection, or no answer.
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
                    deployment_.registerServer(*server, "ready", ++start_);
            };
            deployment.registerServer(*server, "ready", start_);
        }
        REQUIRE(deployment.waitReady());
        deployment.settle();
    }

    int crashes() const { return crashes_; }
    //! Whether a crashed server writes an entry with a new start number at once; otherwise its old
    //! entry stays in the store.
    bool isReentering = true;

private:
    Deployment &deployment_;
    std::vector<std::shared_ptr<HttpExchange>> silent_;
    int start_ = 1000;
    int crashes_ = 0;
};

//! Configures the gateway and writes the entries of both servers.
void serveWithBoth(Deployment &deployment)
{
    REQUIRE(deployment.serve());
    deployment.registerServer(deployment.second);
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

// Guards against a request that crashes one server after another for as long as it is sent again.
SCENARIO("A request that crashes every server is sent again")
{
    LoopRunner runner;
    Deployment deployment(runner);
    deployment.configure(1);
    CrashingServers servers(deployment);
    const auto sendRepeatedly = [&](const std::string &request) {
        std::string status;
        for (int i = 0; i < kRepetitions; ++i)
            status = statusOf(deployment, request);
        return status;
    };

    SECTION("with a body")
    {
        REQUIRE(sendRepeatedly(Deployment::request("unsafe")) == "503");
        REQUIRE(servers.crashes() <= kAllowedCrashes);
    }
    SECTION("without a body")
    {
        REQUIRE(sendRepeatedly(kWithoutBody) == "503");
        REQUIRE(servers.crashes() <= kAllowedCrashes);
    }
    SECTION("with another key of its team")
    {
        sendRepeatedly(Deployment::request("unsafe"));
        deployment.configure(2, "key-2");
        deployment.settle();
        REQUIRE(sendRepeatedly(Deployment::request("unsafe", "", "key-2")) == "503");
        REQUIRE(servers.crashes() <= kAllowedCrashes);
    }
    // Guards against treating every answer, even a failure, as proof that the request can be run.
    SECTION("and a malfunctioning server answers it with a failure now and then")
    {
        deployment.second.handler = [&](const auto &exchange) {
            exchange->reply(500, deployment.second.sealedHeaders(*exchange), "");
        };
        for (int i = 0; i < 3; ++i)
            sendRepeatedly(Deployment::request("unsafe"));
        REQUIRE(servers.crashes() <= kAllowedCrashes);
    }
    SECTION("before the crashed servers write new entries")
    {
        deployment.store.erase("servers/second");
        deployment.settle();
        servers.isReentering = false;
        REQUIRE(sendRepeatedly(Deployment::request("unsafe")) == "503");
        REQUIRE(servers.crashes() <= kAllowedCrashes);
    }
}

// Guards against crashes that are not counted because the connection stays open.
SCENARIO("A request that makes servers stop answering and restart")
{
    LoopRunner runner;
    Deployment deployment(runner);
    deployment.configure(1);
    CrashingServers servers(deployment, CrashingServers::Kind::Silent);
    for (int i = 0; i < kRepetitions; ++i)
        statusOf(deployment, Deployment::request("safe"));
    REQUIRE(servers.crashes() <= kAllowedCrashes);
}

// Guards against a router that forwards a request that the fleet already refuses.
SCENARIO("A request that crashes servers reaches a router that has not seen it")
{
    LoopRunner runner;
    Deployment deployment(runner);
    deployment.configure(1);
    CrashingServers servers(deployment);
    for (int i = 0; i < kRepetitions; ++i)
        statusOf(deployment, Deployment::request("unsafe"));
    runner.runFor(kReportTime);

    SECTION("because the router has restarted")
    {
        deployment.restart();
        REQUIRE(deployment.waitReady());
        for (int i = 0; i < kRepetitions; ++i)
            statusOf(deployment, Deployment::request("unsafe"));
        REQUIRE(servers.crashes() <= kAllowedCrashes);
    }
    SECTION("because the router has just joined the fleet")
    {
        const auto other = deployment.startRouter("router-2");
        REQUIRE(runner.runUntil([&] { return other->isReady(); }));
        for (int i = 0; i < kRepetitions; ++i)
            statusOf(deployment, *other, Deployment::request("unsafe"));
        REQUIRE(servers.crashes() <= kAllowedCrashes);
    }
}

// Guards against retrying a request although, since it was sent, another server has crashed while
// running an equal request.
SCENARIO("Two servers crash at the same time while they run equal requests")
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
    // The request whose connection broke last may have run; it is not retried.
    const auto isOutcomeUnknown = [](const RawClient &client) {
        return client.received().starts_with("HTTP/1.1 502");
    };
    REQUIRE(runner.runUntil([&] { return isOutcomeUnknown(one) || isOutcomeUnknown(other); }));
    deployment.settle();
    REQUIRE(running.size() <= kAllowedCrashes);
}

// Guards against refusing a request that many callers send, because servers crashed for another
// reason while they ran it.
SCENARIO("Servers crash while they run a request that many callers send")
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

// Guards against refusing a caller that retries after two crashes that its request did not cause.
SCENARIO("Two servers crash during a stream, and its caller sends the request again")
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
