#include "deployment.h"

#include "../transport/rawclient.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace crocusport;

namespace {

// The platform's limit: five crashes show that the part causes them, and three more requests may
// reach servers after that.
constexpr int kAllowedCrashes = 5 + 3;
constexpr int kRepetitions = 12;
// Time in which a router surely has reported to the fleet what it has decided.
constexpr Duration kReportTime = std::chrono::milliseconds(1500);
const std::string kSharedPart = "aa:500";
const std::string kCrashingPart = "dead:300";
const std::string kSoundPart = "50:300";

//! Backend servers that crash when they begin to answer a prompt with kCrashingPart, and restart.
class PartCrashServers
{
public:
    explicit PartCrashServers(Deployment &deployment) : deployment_(deployment)
    {
        for (auto *const server : { &deployment.first, &deployment.second }) {
            server->handler = [this, server](const auto &exchange) { answer(*server, exchange); };
            deployment.registerServer(*server, "ready", start_);
        }
        deployment.configure(1);
        REQUIRE(deployment.waitReady());
        deployment.settle();
    }

    int crashes() const { return crashes_; }
    //! Whether servers end whatever they run.
    bool isPowerLost = false;

private:
    void answer(StandInServer &server, const std::shared_ptr<HttpExchange> &exchange)
    {
        const auto prefix = exchange->header("X-Prompt-Prefix").value_or("");
        if (isPowerLost || prefix.find(kCrashingPart) != std::string::npos) {
            ++crashes_;
            exchange->abort();
            deployment_.registerServer(server, "ready", ++start_);
            return;
        }
        exchange->startStream(200, server.sealedHeaders(*exchange));
        exchange->sendChunk("id: 1\ndata: piece\n\n");
        exchange->endStream();
    }

    Deployment &deployment_;
    int start_ = 1000;
    int crashes_ = 0;
};

//! Sends requests to routers. No two have the same body or the same last part.
class Callers
{
public:
    explicit Callers(Deployment &deployment) : deployment_(deployment) { }

    //! Sends a request whose prompt begins with \a parts and returns the status of its answer.
    std::string statusOf(Gateway &gateway, const std::string &parts)
    {
        const auto id = std::to_string(++sent_);
        RawClient client(deployment_.runner.loop(), gateway.callersAddress());
        client.send("POST /patient/1 HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: id-" + id
                    + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\n"
                      "X-Token-Counts: 900,10\r\nX-Prompt-Prefix: "
                    + parts + ",f" + id + ":100\r\nContent-Length: " + std::to_string(id.size())
                    + "\r\n\r\n" + id);
        REQUIRE(deployment_.runner.runUntil([&] { return client.received().size() > 12; }));
        deployment_.settle();
        return client.received().substr(9, 3);
    }
    std::string statusOf(const std::string &parts) { return statusOf(*deployment_.gateway, parts); }

private:
    Deployment &deployment_;
    int sent_ = 0;
};

const std::string kCrashingPrompt = kSharedPart + "," + kCrashingPart;
const std::string kSoundPrompt = kSharedPart + "," + kSoundPart;

} // namespace

// Guards against different requests that crash one server after another because they share a part
// of their prompts.
SCENARIO("A prompt part crashes every server that begins to answer it")
{
    LoopRunner runner;
    Deployment deployment(runner);
    PartCrashServers servers(deployment);
    Callers callers(deployment);
    REQUIRE(callers.statusOf(kSoundPrompt) == "200");

    std::string status;
    for (int i = 0; i < kRepetitions; ++i) {
        status = callers.statusOf(kCrashingPrompt);
        // Sound requests of the same caller share all parts but one.
        REQUIRE(callers.statusOf(kSoundPrompt) == "200");
    }
    REQUIRE(servers.crashes() <= kAllowedCrashes);
    REQUIRE(status == "503");
}

// Guards against a router that sends on what the others refuse.
SCENARIO("A router has not seen that a prompt part crashes servers")
{
    LoopRunner runner;
    Deployment deployment(runner);
    PartCrashServers servers(deployment);
    Callers callers(deployment);
    const auto refuseEverywhere = [&] {
        for (int i = 0; i < kRepetitions; ++i)
            callers.statusOf(kCrashingPrompt);
        runner.runFor(kReportTime);
    };

    SECTION("because it restarts")
    {
        refuseEverywhere();
        const auto before = servers.crashes();
        deployment.restart();
        REQUIRE(deployment.waitReady());
        REQUIRE(callers.statusOf(kCrashingPrompt) == "503");
        REQUIRE(servers.crashes() == before);
    }
    SECTION("because it joins the fleet")
    {
        refuseEverywhere();
        const auto before = servers.crashes();
        const auto other = deployment.startRouter("router-2");
        REQUIRE(runner.runUntil([&] { return other->isReady(); }));
        REQUIRE(callers.statusOf(*other, kCrashingPrompt) == "503");
        REQUIRE(servers.crashes() == before);
    }
    SECTION("because all crashes happened elsewhere, while the store was out")
    {
        const auto other = deployment.startRouter("router-2");
        REQUIRE(runner.runUntil([&] { return other->isReady(); }));
        // Both routers discover each other through their entries in the store.
        runner.runFor(std::chrono::seconds(4));
        REQUIRE(callers.statusOf(*other, kSoundPrompt) == "200");
        deployment.store.setMode(StandInStore::Mode::Refusing);
        for (int i = 0; i < 3; ++i)
            callers.statusOf(kCrashingPrompt);
        runner.runFor(kReportTime);
        const auto before = servers.crashes();
        REQUIRE(callers.statusOf(*other, kCrashingPrompt) == "503");
        REQUIRE(servers.crashes() == before);
    }
}

// Guards against refusing sound requests for good because servers ended while they ran them.
SCENARIO("Servers end for another reason while they run requests that share a part")
{
    LoopRunner runner;
    Deployment deployment(runner);
    PartCrashServers servers(deployment);
    Callers callers(deployment);
    REQUIRE(callers.statusOf(kSoundPrompt) == "200");

    servers.isPowerLost = true;
    for (int i = 0; i < 4; ++i)
        callers.statusOf(kSoundPrompt);
    servers.isPowerLost = false;
    // A part that was answered before is tried again soon.
    runner.runFor(std::chrono::seconds(4));
    for (int i = 0; i < 3; ++i)
        REQUIRE(callers.statusOf(kSoundPrompt) == "200");
}
