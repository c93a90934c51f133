#include "serverselector.h"
#include "startpace.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <deque>
#include <numeric>
#include <vector>

using namespace crocusport;

namespace {

const PoolName kPool("assistant");
const std::string kRoute("chat");
constexpr Duration kUsual = std::chrono::milliseconds(100);
constexpr Duration kSlow = std::chrono::milliseconds(500);

//! A pool of servers with 16 slots, as one router of four sees it.
struct Pool
{
    Pool()
    {
        pace.tick(4, now);
        selector.setStartPace(&pace);
    }

    KnownServer &add(const std::string &name, StartNumber start = StartNumber(1))
    {
        ServerEntry entry;
        entry.name = BackendServerName(name);
        entry.pool = kPool;
        entry.address = SocketAddress(name + ":80");
        entry.zone = AvailabilityZone("zone-0");
        entry.slots = 16;
        entry.start = start;
        directory.update(entry, now);
        auto &server = *directory.find(entry.name);
        pace.noteServer(server, now);
        return server;
    }
    //! Adds servers as a router finds them that has just started.
    void discover(int count)
    {
        for (int i = 0; i < count; ++i)
            add("old-" + std::to_string(i));
        pace.noteConfiguration(now);
        now += std::chrono::seconds(4);
    }

    Instant now = Instant(std::chrono::seconds(100));
    StartPace pace { RouterName("router-1") };
    ServerDirectory directory;
    PrefixMemory prefixes;
    ServerSelector selector { directory, prefixes, AvailabilityZone("zone-0"), 1 };
};

} // namespace

SCENARIO("Servers that start get work according to their answers")
{
    Pool pool;
    pool.discover(2);
    auto &old = *pool.directory.find(BackendServerName("old-0"));
    pool.pace.noteBegin(old, kRoute, kUsual, pool.now);

    // Guards against a router that limits the whole pool because it has itself just started.
    THEN("servers known at the start of the router are not limited")
    {
        REQUIRE(pool.pace.windows() == 0);
        REQUIRE(pool.pace.admits(old, pool.now));
    }
    WHEN("a server is added")
    {
        auto &server = pool.add("new");
        REQUIRE(pool.pace.window(server, pool.now) == 4);
        // Guards against a cold server that gets more while it cannot even serve a little.
        THEN("slow answers halve its window, down to one request")
        {
            for (const double size : { 2.0, 1.0, 1.0 }) {
                pool.pace.noteBegin(server, kRoute, kSlow, pool.now);
                pool.pace.noteBegin(server, kRoute, kSlow, pool.now);
                REQUIRE(pool.pace.window(server, pool.now) == Approx(size).epsilon(0.1));
                pool.now += std::chrono::milliseconds(300);
            }
            REQUIRE(pool.pace.isNew(server.entry.name));
            AND_THEN("it recovers when its answers do")
            {
                server.own.requests = 1;
                for (int i = 0; i < 16; ++i)
                    pool.pace.noteBegin(server, kRoute, kUsual, pool.now);
                REQUIRE_FALSE(pool.pace.isNew(server.entry.name));
            }
        }
        // Guards against a quick server that stays idle until a fixed time has passed.
        THEN("one window of good answers doubles its window")
        {
            server.own.requests = 1;
            server.others.requests = 3;
            pool.pace.noteBegin(server, kRoute, kUsual, pool.now);
            REQUIRE(pool.pace.window(server, pool.now) == 8);
        }
        // Guards against a server that is limited for ever because this router sends it nothing.
        THEN("time alone ends the window")
        {
            pool.now += std::chrono::seconds(7);
            pool.pace.tick(4, pool.now);
            REQUIRE(pool.pace.windows() == 0);
        }
        // Guards against a start that all routers greet with their next requests.
        THEN("the router uses other servers while the window is full, and it when they are full")
        {
            server.others.requests = 4;
            old.own.requests = 15;
            const auto other = pool.directory.find(BackendServerName("old-1"));
            other->own.requests = 16;
            REQUIRE(pool.selector.choose(kPool, nullptr, {}, {}, pool.now).server.get() == &old);
            old.own.requests = 16;
            REQUIRE(pool.selector.choose(kPool, nullptr, {}, {}, pool.now).server.get() == &server);
        }
    }
    // Guards against a server that gets full load after each of its crashes.
    WHEN("the connections of a server break again and again")
    {
        for (int i = 0; i < 3; ++i) {
            pool.pace.noteFault(old, pool.now);
            pool.pace.noteFault(old, pool.now);
            REQUIRE(pool.pace.isNew(old.entry.name) == (i == 2));
            pool.now += std::chrono::milliseconds(700);
        }
        THEN("further faults keep it limited")
        {
            for (int i = 0; i < 20; ++i) {
                pool.pace.noteFault(old, pool.now);
                pool.now += std::chrono::seconds(1);
                pool.pace.tick(4, pool.now);
            }
            REQUIRE(pool.pace.isNew(old.entry.name));
            REQUIRE(pool.pace.window(old, pool.now) < 2);
        }
    }
    // Guards against a service without capacity after all of its servers have crashed.
    WHEN("all servers restart at once")
    {
        for (int i = 0; i < 2; ++i)
            pool.add("old-" + std::to_string(i), StartNumber(2));
        REQUIRE(pool.pace.windows() == 2);
        THEN("all of their slots can be used")
        {
            for (int i = 0; i < 32; ++i) {
                const auto choice = pool.selector.choose(kPool, nullptr, {}, {}, pool.now);
                REQUIRE(choice.server);
                choice.server->own += choice.added;
            }
        }
    }
}

// Guards against 78 routers that each send "a little" to the same server before their reports show
// what the others have sent. Each router sends as much as it may.
SCENARIO("78 routers see a server that starts")
{
    constexpr std::size_t kRouters = 78;
    constexpr std::size_t kReportSteps = 5; // Steps of 100 ms: reports are 0.5 s old.
    constexpr std::size_t kAnswerSteps = 3;
    constexpr int kTwoTurns = 20;
    constexpr std::uint32_t kRunaway = 1000;
    const bool isAnswering = GENERATE(false, true);
    const Instant start(std::chrono::seconds(100));
    KnownServer server;
    server.entry.slots = 64;
    server.entry.name = BackendServerName("engine-" + std::to_string(GENERATE(range(0, 20))));
    std::vector<StartPace> routers;
    for (std::size_t i = 0; i < kRouters; ++i) {
        routers.emplace_back(RouterName("router-" + std::to_string(i)));
        routers.back().noteConfiguration(start - std::chrono::seconds(60));
        routers.back().tick(kRouters, start);
        routers.back().noteServer(server, start);
    }
    std::vector<std::uint32_t> own(kRouters, 0);
    std::deque<std::vector<std::uint32_t>> reports(kReportSteps, own);
    std::deque<std::vector<std::uint32_t>> sent(kAnswerSteps, own);
    bool isUsed = false;
    std::uint32_t sum = 0;
    for (int step = 0; step < 50; ++step) {
        const auto now = start + step * std::chrono::milliseconds(100);
        const auto &old = reports.front();
        const auto reported = std::accumulate(old.begin(), old.end(), 0U);
        double window = 0;
        std::vector<std::uint32_t> sentNow(kRouters, 0);
        for (std::size_t i = 0; i < kRouters; ++i) {
            server.others.requests = reported - old[i];
            for (auto ended = isAnswering ? sent.front()[i] : 0; ended > 0; --ended) {
                server.own.requests = own[i]--;
                routers[i].noteFirstEvent(server, 1, now);
                --sum;
            }
            // A router whose window has ended sends without a limit.
            if (!routers[i].isNew(server.entry.name))
                return;
            window = std::max(window, routers[i].window(server, now));
            for (server.own.requests = own[i]; routers[i].admits(server, now);
                 ++server.own.requests) {
                if (window >= server.entry.slots)
                    return;
                ++own[i];
                ++sentNow[i];
                REQUIRE(++sum <= kRunaway);
            }
        }
        REQUIRE(sum <= 2 * window + 3 * std::sqrt(window));
        reports.pop_front();
        reports.push_back(own);
        sent.pop_front();
        sent.push_back(sentNow);
        // Guards against a window that is so small that nobody sends to the server.
        isUsed = isUsed || sum > 0;
        REQUIRE((step < kTwoTurns || isUsed));
    }
}
