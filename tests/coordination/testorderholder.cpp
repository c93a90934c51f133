#include "crocusport/coordination/orderholder.h"
#include "fakestore.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>

using namespace crocusport;
using namespace crocusport::testing;
using namespace std::chrono_literals;

namespace {

//! Three routers that compete for the right to send orders to the backend servers of one pool.
struct Candidates
{
    explicit Candidates(std::uint64_t seed) : store(seed)
    {
        for (std::uint64_t i = 0; i < routers.size(); ++i)
            routers.at(i) = std::make_unique<OrderHolder<FakeStore>>(
                store, PoolName("p"), RouterName("r" + std::to_string(i)), Incarnation(1));
    }

    //! Advances in steps of 100 ms. Clears isExclusive if two routers have a token in the same
    //! step, or if a token is lower than an earlier one.
    void advance(Duration duration)
    {
        for (const auto end = now + duration; now < end;) {
            now += 100ms;
            store.advance(now);
            int holders = 0;
            for (std::size_t i = 0; i < routers.size(); ++i) {
                if (now < pausedUntil.at(i))
                    continue;
                // Checks before tick(): a router may send an order as the first thing after a
                // pause.
                holders += check(i);
                routers.at(i)->tick(isWanted.at(i), now);
            }
            if (holders > 1)
                isExclusive = false;
        }
    }

    //! Returns 1 if \a router has a token now, else 0. Clears isExclusive if the token is too low.
    int check(std::size_t router)
    {
        const auto token = routers.at(router)->token(now);
        if (!token)
            return 0;
        if (token->value() < newestToken)
            isExclusive = false;
        newestToken = std::max(newestToken, token->value());
        return 1;
    }

    FakeStore store;
    std::array<std::unique_ptr<OrderHolder<FakeStore>>, 3> routers;
    std::array<bool, 3> isWanted { true, true, true };
    std::array<Instant, 3> pausedUntil {};
    std::uint64_t newestToken = 0;
    bool isExclusive = true;
    Instant now = Instant(1000s);
};

} // namespace

TEST_CASE("Only one router at a time may send orders to a pool")
{
    // Guards against a holder that, after a pause, sends outdated orders to backend servers that do
    // not check the token.
    rc::prop("at most one router has a token, and a newer holder's token is higher", [] {
        Candidates candidates(*rc::gen::arbitrary<std::uint64_t>());
        candidates.store.replyLoss = *rc::gen::element(0.0, 0.3);
        candidates.store.lateWrites = *rc::gen::element(0.0, 0.2);
        for (auto steps = *rc::gen::inRange(5, 40); steps > 0; --steps) {
            const auto router = *rc::gen::inRange<std::size_t>(0, 3);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                candidates.pausedUntil.at(router) =
                    candidates.now + *rc::gen::element<Duration>(1s, 4s, 20s);
                break;
            case 1:
                candidates.isWanted.at(router) = !candidates.isWanted.at(router);
                break;
            case 2:
                candidates.store.isUnavailable = *rc::gen::arbitrary<bool>();
                break;
            default:
                break;
            }
            candidates.advance(*rc::gen::element<Duration>(300ms, 3s, 12s));
            RC_ASSERT(candidates.isExclusive);
        }
        candidates.store.isUnavailable = false;
        candidates.store.replyLoss = candidates.store.lateWrites = 0;
        candidates.isWanted = { false, true, false };
        candidates.advance(45s);
        RC_ASSERT(candidates.routers.at(1)->token(candidates.now).has_value());
    });
}
