#include "dutyholder.h"

#include "coordination/fakestore.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <array>
#include <memory>

using namespace crocusport;
using namespace crocusport::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration kLease = 3s;
const std::string kKey = "duties";

//! Three routers, each with a copy of the store that lags behind, and a check of who may act.
struct Routers
{
    struct Router
    {
        std::unique_ptr<DutyHolder<FakeStore>> holder;
        std::optional<std::string> copy;
        Duration copyInterval = 100ms;
        Instant copiedAt;
        Instant pausedUntil;
        bool isStopping = false;
        std::optional<Instant> actedAt;
    };

    explicit Routers(std::uint64_t seed) : store(seed)
    {
        for (std::size_t i = 0; i < all.size(); ++i)
            restart(i);
    }

    //! Replaces the process of a router by a new one on the same host.
    void restart(std::size_t router)
    {
        all.at(router).isStopping = false;
        all.at(router).holder = std::make_unique<DutyHolder<FakeStore>>(
            store, kKey, "r" + std::to_string(router), Incarnation(++incarnations), kLease, now);
    }

    void advance(Duration duration)
    {
        for (const auto end = now + duration; now < end;) {
            now += 50ms;
            store.advance(now);
            for (std::size_t i = 0; i < all.size(); ++i)
                step(i);
        }
    }

    void step(std::size_t index)
    {
        auto &router = all.at(index);
        if (now < router.pausedUntil)
            return;
        // Checks before tick(): a router may act as the first thing after a pause.
        check(index);
        if (!store.isUnavailable && now - router.copiedAt >= router.copyInterval) {
            router.copiedAt = now;
            const auto entry = store.find(kKey);
            router.copy = entry ? std::optional(entry->value) : std::nullopt;
        }
        router.holder->tick({ true, router.copy, index, 0, router.isStopping }, now);
        check(index);
    }

    void check(std::size_t index)
    {
        auto &router = all.at(index);
        const auto token = router.holder->token(now);
        if (!token)
            return;
        isTokenRising = isTokenRising && token->value() >= newestToken;
        if (actor != index) {
            isTokenNew = isTokenNew && token->value() != newestToken;
            // Other routers have acted since this one has.
            if (router.actedAt && now - *router.actedAt < kLease)
                isOrderKept = false;
        }
        newestToken = token->value();
        actor = index;
        router.actedAt = now;
    }

    FakeStore store;
    std::array<Router, 3> all;
    std::size_t actor = 0;
    std::uint64_t newestToken = 0;
    std::uint64_t incarnations = 0;
    bool isTokenRising = true;
    bool isTokenNew = true;
    bool isOrderKept = true;
    Instant now = Instant(1000s);
};

} // namespace

TEST_CASE("The duties of the fleet are held by one router at a time")
{
    // Guards against two holders with one token, a holder that acts with an outdated token, holders
    // in the order A, B, A within a lease, and a fleet without a holder.
    rc::prop("under crashes, pauses, stops, outages, lost responses and late writes", [] {
        Routers routers(*rc::gen::arbitrary<std::uint64_t>());
        routers.store.replyLoss = *rc::gen::element(0.0, 0.3);
        routers.store.lateWrites = *rc::gen::element(0.0, 0.2);
        for (auto steps = *rc::gen::inRange(5, 40); steps > 0; --steps) {
            const auto index = *rc::gen::inRange<std::size_t>(0, 3);
            auto &router = routers.all.at(index);
            switch (*rc::gen::inRange(0, 7)) {
            case 0:
                router.pausedUntil = routers.now + *rc::gen::element<Duration>(200ms, 2s, 10s);
                break;
            case 1:
                routers.restart(index);
                break;
            case 2:
                router.isStopping = !router.isStopping;
                break;
            case 3:
                router.holder->release(routers.now); // As after a refused call.
                break;
            case 4:
                routers.store.isUnavailable = *rc::gen::arbitrary<bool>();
                break;
            case 5:
                router.copyInterval = *rc::gen::element<Duration>(100ms, 2s);
                break;
            default:
                break;
            }
            routers.advance(*rc::gen::element<Duration>(100ms, 700ms, 5s));
            RC_ASSERT(routers.isTokenRising);
            RC_ASSERT(routers.isTokenNew);
            RC_ASSERT(routers.isOrderKept);
        }
        routers.store.isUnavailable = false;
        routers.store.replyLoss = routers.store.lateWrites = 0;
        for (auto &router : routers.all) {
            router.isStopping = false;
            router.copyInterval = 100ms;
        }
        routers.advance(25s);
        RC_ASSERT(routers.now - *routers.all.at(routers.actor).actedAt < 1s);
    });
}

SCENARIO("The holder changes")
{
    // Guards against many claims at once, and against a long time without a holder.
    Routers routers(1);
    int writes = 0;
    routers.store.onWrite = [&](const std::string & /*value*/) { ++writes; };
    routers.advance(kLease + 2s);
    REQUIRE(routers.actor == 0);
    REQUIRE(writes == 1);

    SECTION("After a crash the next router acts within two leases")
    {
        routers.all.at(0).pausedUntil = routers.now + 1h;
        routers.advance(2 * kLease);
        REQUIRE(routers.actor == 1);
        REQUIRE(writes == 2);
    }
    SECTION("After a planned stop the next router acts within a second")
    {
        routers.all.at(0).holder->release(routers.now);
        REQUIRE(!routers.all.at(0).holder->token(routers.now));
        routers.advance(1s);
        REQUIRE(routers.actor == 1);
    }
}
