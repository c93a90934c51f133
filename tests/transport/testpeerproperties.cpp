#include "looprunner.h"
#include "peernode.h"
#include "rawclient.h"
#include "rawpeer.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>

using namespace crocusport;

// Guards against input that ends the process or affects other links.
TEST_CASE("Random bytes on a peer link do not affect other links")
{
    LoopRunner runner;
    PeerNode left(runner.loop(), "left");
    PeerNode right(runner.loop(), "right");
    std::uint64_t sequence = 0;
    REQUIRE(rc::check("before the WebSocket handshake", [&] {
        RawClient client(runner.loop(), left.address());
        for (const auto &bytes : *rc::gen::arbitrary<std::vector<std::string>>())
            client.send(bytes);
        runner.runFor(Milliseconds(2));
        right.ping(left, ++sequence);
        RC_ASSERT(runner.runUntil([&] { return left.messages.size() == sequence; }));
    }));
    REQUIRE(rc::check("as messages", [&] {
        RawPeer peer(runner.loop(), left.address());
        RC_ASSERT(runner.runUntil([&] { return peer.isOpen(); }));
        for (const auto &message : *rc::gen::arbitrary<std::vector<std::string>>())
            peer.send(message);
        runner.runFor(Milliseconds(2));
        right.ping(left, ++sequence);
        RC_ASSERT(runner.runUntil([&] { return left.messages.size() == sequence; }));
    }));
    REQUIRE(left.linkUps.size() == 1);
    REQUIRE(left.linkDowns.empty());
}

// Guards against routers that cannot reach each other any more after simultaneous dials and closes,
// and against messages that are delivered twice or to the wrong router.
TEST_CASE("Routers reach each other after any order of sends and closes")
{
    LoopRunner runner;
    std::uint64_t sequence = 0;
    REQUIRE(rc::check("all pairs are connected in the end", [&] {
        std::array<std::unique_ptr<PeerNode>, 3> nodes;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            nodes[i] = std::make_unique<PeerNode>(runner.loop(), "node-" + std::to_string(i));
        const auto anyNode = rc::gen::inRange<std::size_t>(0, nodes.size());
        const auto steps = *rc::gen::inRange(0, 40);
        for (int i = 0; i < steps; ++i) {
            auto &from = *nodes[*anyNode];
            auto &to = *nodes[*anyNode];
            const int kind = *rc::gen::inRange(0, 8);
            if (kind == 0)
                runner.runFor(Milliseconds(1));
            else if (kind == 1)
                from.network().closeLink(to.name());
            else if (kind == 2)
                from.network().connectTo(to.address());
            else if (&from != &to)
                from.ping(to, ++sequence);
        }
        const auto last = sequence;
        // Messages may be lost when a link closes, so each pair sends until one is received.
        RC_ASSERT(runner.runUntil([&] {
            bool areAllReached = true;
            for (const auto &from : nodes) {
                for (const auto &to : nodes) {
                    const auto received = to->pingsFrom(*from);
                    if (from == to || (!received.empty() && received.back() > last))
                        continue;
                    areAllReached = false;
                    from->ping(*to, ++sequence);
                }
            }
            return areAllReached;
        }));
        for (const auto &from : nodes) {
            for (const auto &to : nodes) {
                auto received = to->pingsFrom(*from);
                std::sort(received.begin(), received.end());
                RC_ASSERT(std::adjacent_find(received.begin(), received.end()) == received.end());
            }
        }
    }));
}
