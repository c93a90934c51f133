#include "looprunner.h"
#include "peernode.h"
#include "rawclient.h"
#include "rawpeer.h"
#include "rawserver.h"
#include "relay.h"

#include "crocusport/protocol/peermessagecodec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace crocusport;

namespace {

using Numbers = std::vector<std::uint64_t>;

Numbers numbersFrom(std::uint64_t first, std::uint64_t count)
{
    Numbers result(count);
    for (std::uint64_t i = 0; i < count; ++i)
        result[i] = first + i;
    return result;
}

} // namespace

SCENARIO("Routers exchange messages over one link")
{
    LoopRunner runner;
    PeerNode left(runner.loop(), "left");
    PeerNode right(runner.loop(), "right");

    // Guards against messages that are lost or reordered while the link is being opened.
    for (std::uint64_t i = 1; i <= 100; ++i)
        left.ping(right, i);
    REQUIRE(runner.runUntil([&] { return right.pingsFrom(left).size() == 100; }));
    REQUIRE(right.pingsFrom(left) == numbersFrom(1, 100));
    REQUIRE(left.linkUps == std::vector { right.network().self() });
    REQUIRE(right.linkUps == std::vector { left.network().self() });

    WHEN("the other side answers")
    {
        for (std::uint64_t i = 1; i <= 100; ++i)
            right.ping(left, i);
        THEN("it uses the same link")
        {
            REQUIRE(runner.runUntil([&] { return left.pingsFrom(right).size() == 100; }));
            REQUIRE(left.pingsFrom(right) == numbersFrom(1, 100));
            REQUIRE(left.network().linkCount() == 1);
            REQUIRE(left.linkUps.size() == 1);
            REQUIRE(left.network().bytesReceived() == right.network().bytesSent());
            REQUIRE(left.network().bytesSent() == right.network().bytesReceived());
        }
    }
    WHEN("the link is closed")
    {
        left.network().closeLink(right.name());
        REQUIRE_FALSE(left.hasLink(right));
        REQUIRE(left.linkDowns.empty());
        REQUIRE(
            runner.runUntil([&] { return left.linkDowns.size() + right.linkDowns.size() == 2; }));
        REQUIRE_FALSE(right.hasLink(left));
        THEN("the next message opens a new one")
        {
            right.ping(left, 7);
            REQUIRE(runner.runUntil([&] { return left.pingsFrom(right) == Numbers { 7 }; }));
            REQUIRE(left.linkUps.size() == 2);
        }
    }
    WHEN("a large message is sent")
    {
        ConfigurationMessage configuration;
        configuration.document = std::string(1'500'000, 'c');
        left.network().send(right.name(), right.address(), configuration);
        THEN("it arrives unchanged")
        {
            REQUIRE(runner.runUntil([&] { return right.messages.size() == 101; }));
            REQUIRE(std::get<ConfigurationMessage>(right.messages.back().second).document
                    == configuration.document);
        }
    }
    WHEN("a message over the limit is sent")
    {
        ConfigurationMessage configuration;
        configuration.document = std::string(3'000'000, 'c');
        left.network().send(right.name(), right.address(), configuration);
        // Guards against one message that makes the link close and lose all others.
        THEN("it is dropped and the link stays up")
        {
            left.ping(right, 101);
            REQUIRE(runner.runUntil([&] { return right.pingsFrom(left).size() == 101; }));
            REQUIRE(right.linkDowns.empty());
        }
    }
}

SCENARIO("A link to an address whose router is not known")
{
    LoopRunner runner;
    PeerNode left(runner.loop(), "left");
    PeerNode right(runner.loop(), "right");

    WHEN("the address is dialed")
    {
        left.network().connectTo(right.address());
        left.network().connectTo(right.address());
        THEN("one link is opened, and onLinkUp reports the router's name")
        {
            REQUIRE(
                runner.runUntil([&] { return left.linkUps.size() + right.linkUps.size() == 2; }));
            REQUIRE(left.linkUps.front().name == right.name());
            left.network().connectTo(right.address());
            runner.runFor(Milliseconds(20));
            REQUIRE(right.linkUps.size() == 1);
        }
        THEN("messages sent meanwhile use that link")
        {
            left.ping(right, 1);
            REQUIRE(runner.runUntil([&] { return right.pingsFrom(left).size() == 1; }));
            REQUIRE(right.linkUps.size() == 1);
        }
    }
    // Guards against a router that treats itself as a peer.
    WHEN("a router dials itself")
    {
        left.network().connectTo(left.address());
        runner.runFor(Milliseconds(50));
        REQUIRE(left.linkUps.empty());
        REQUIRE(left.network().linkCount() == 0);
    }
    // Guards against a message that is delivered to another router than its recipient.
    WHEN("the router at the address is not the expected one")
    {
        PingMessage ping;
        left.network().send(RouterName("other"), right.address(), ping);
        REQUIRE(runner.runUntil([&] { return left.hasLink(right); }));
        runner.runFor(Milliseconds(20));
        REQUIRE(right.messages.empty());
        REQUIRE_FALSE(left.network().hasLink(RouterName("other")));
    }
    WHEN("the address refuses connections or is invalid")
    {
        const auto address = GENERATE(values<std::string>({ "127.0.0.1:1", "nowhere", "" }));
        left.network().send(RouterName("other"), SocketAddress(address), PingMessage());
        runner.runFor(Milliseconds(20));
        REQUIRE(left.network().linkCount() == 0);
        REQUIRE(left.linkDowns.empty());
    }
}

SCENARIO("Two routers dial each other at the same time")
{
    LoopRunner runner;
    PeerNode left(runner.loop(), "left");
    PeerNode right(runner.loop(), "right");

    // Guards against each side closing a different one of the two links, and against lost messages.
    for (std::uint64_t i = 1; i <= 10; ++i) {
        left.ping(right, i);
        right.ping(left, i);
    }
    std::uint64_t sent = 10;
    bool hadTwo = false;
    REQUIRE(runner.runUntil([&] {
        ++sent;
        left.ping(right, sent);
        right.ping(left, sent);
        const bool isOne =
            left.network().connectionCount() == 1 && right.network().connectionCount() == 1;
        hadTwo = hadTwo || left.network().connectionCount() == 2;
        return hadTwo && isOne;
    }));
    REQUIRE(runner.runUntil([&] {
        return left.pingsFrom(right).size() >= sent && right.pingsFrom(left).size() >= sent;
    }));
    REQUIRE(left.pingsFrom(right).size() == sent);
    REQUIRE(right.pingsFrom(left).size() == sent);
    REQUIRE(left.linkUps.size() == 1);
    REQUIRE(right.linkUps.size() == 1);
    REQUIRE(left.linkDowns.empty());
    REQUIRE(right.linkDowns.empty());
    REQUIRE(left.network().linkCount() == 1);
}

SCENARIO("A link stops delivering data without being closed")
{
    LoopRunner runner;
    // Which router has the smaller name must make no difference here, since the links are not
    // opened at the same time.
    const bool isDialerSmaller = GENERATE(true, false);
    PeerNode dialer(runner.loop(), isDialerSmaller ? "a" : "b");
    PeerNode other(runner.loop(), isDialerSmaller ? "b" : "a");
    Relay relay(runner.loop(), other.address());
    dialer.network().connectTo(relay.address());
    REQUIRE(runner.runUntil([&] { return dialer.hasLink(other) && other.hasLink(dialer); }));
    relay.stopForwarding();

    // Guards against a dead link that is still preferred after one side has replaced it.
    WHEN("the side that dialed it opens a new one")
    {
        dialer.network().closeLink(other.name());
        dialer.ping(other, 1);
        REQUIRE(runner.runUntil([&] { return other.pingsFrom(dialer).size() == 1; }));
        other.ping(dialer, 2);
        REQUIRE(runner.runUntil([&] { return dialer.pingsFrom(other).size() == 1; }));
    }
    WHEN("the other side opens a new one")
    {
        other.network().closeLink(dialer.name());
        other.ping(dialer, 1);
        REQUIRE(runner.runUntil([&] { return dialer.pingsFrom(other).size() == 1; }));
        dialer.ping(other, 2);
        REQUIRE(runner.runUntil([&] { return other.pingsFrom(dialer).size() == 1; }));
    }
    THEN("one connection remains on each side")
    {
        dialer.network().closeLink(other.name());
        dialer.ping(other, 3);
        REQUIRE(runner.runUntil([&] {
            return other.hasLink(dialer) && other.network().connectionCount() == 1
                && dialer.network().connectionCount() == 1 && other.pingsFrom(dialer).size() == 1;
        }));
        REQUIRE(other.linkDowns.empty());
    }
}

SCENARIO("A peer that restarts")
{
    LoopRunner runner;
    PeerNode left(runner.loop(), "left");
    auto right = std::make_unique<PeerNode>(runner.loop(), "right");
    left.ping(*right, 1);
    REQUIRE(runner.runUntil([&] { return right->messages.size() == 1; }));

    // Guards against further use of a link to an earlier incarnation.
    WHEN("its new incarnation dials before the old link is known to be dead")
    {
        PeerNode next(runner.loop(), "right",
                      [](auto &options) { options.self.incarnation = Incarnation(2); });
        next.ping(left, 1);
        REQUIRE(runner.runUntil([&] { return left.linkUps.size() == 2; }));
        REQUIRE(left.linkUps.back().incarnation == Incarnation(2));
        left.ping(next, 2);
        REQUIRE(runner.runUntil([&] { return next.messages.size() == 1; }));
        REQUIRE(right->messages.size() == 1);
        REQUIRE(runner.runUntil([&] { return right->linkDowns.size() == 1; }));
        REQUIRE(left.linkDowns.empty());
    }
    WHEN("it stops")
    {
        right.reset();
        REQUIRE(runner.runUntil([&] { return left.linkDowns.size() == 1; }));
        REQUIRE(left.network().linkCount() == 0);
    }
}

SCENARIO("Peers that fail the handshake get no link")
{
    LoopRunner runner;
    PeerNode left(runner.loop(), "left");
    PeerNode right(runner.loop(), "right");
    left.ping(right, 1);
    REQUIRE(runner.runUntil([&] { return right.messages.size() == 1; }));

    WHEN("a peer has another key")
    {
        PeerNode wrong(runner.loop(), "wrong",
                       [](auto &options) { options.sharedKey = "another key"; });
        wrong.ping(left, 1);
        runner.runFor(Milliseconds(50));
        REQUIRE(wrong.network().linkCount() == 0);
        REQUIRE(wrong.linkUps.empty());
    }
    WHEN("a peer sends nothing")
    {
        RawClient silent(runner.loop(), left.address());
        REQUIRE(runner.runUntil([&] { return silent.isClosed(); }));
    }
    WHEN("a peer sends")
    {
        RawPeer peer(runner.loop(), left.address());
        REQUIRE(runner.runUntil([&] { return peer.isOpen(); }));
        HelloMessage hello;
        hello.self.name = RouterName("raw");
        hello.nonce = std::string(32, 'n');
        AND_WHEN("a malformed message")
        {
            peer.send("garbage");
        }
        AND_WHEN("a message before the handshake")
        {
            peer.send(encodePeerMessage(PingMessage()));
        }
        AND_WHEN("a message after its Hello, without proof")
        {
            peer.send(encodePeerMessage(hello));
            peer.send(encodePeerMessage(PingMessage()));
        }
        AND_WHEN("a wrong protocol version")
        {
            hello.protocolVersion = 2;
            peer.send(encodePeerMessage(hello));
        }
        AND_WHEN("a wrong proof")
        {
            peer.send(encodePeerMessage(hello));
            hello.proof = std::string(32, 'p');
            peer.send(encodePeerMessage(hello));
        }
        // Guards against an unauthenticated peer that controls how much memory is used.
        AND_WHEN("many bytes before its proof")
        {
            peer.send(std::string(200'000, 'x'));
        }
        REQUIRE(runner.runUntil([&] { return peer.isClosed(); }));
    }
    // Guards against a failed handshake that affects another link.
    REQUIRE(left.network().linkCount() == 1);
    REQUIRE(left.linkDowns.empty());
    left.ping(right, 2);
    REQUIRE(runner.runUntil([&] { return right.messages.size() >= 2; }));
    REQUIRE(left.messages.empty());
}

SCENARIO("Many unauthenticated connections")
{
    LoopRunner runner;
    PeerNode left(runner.loop(), "left");
    std::vector<std::unique_ptr<RawClient>> silent;
    for (int i = 0; i < 200; ++i)
        silent.push_back(std::make_unique<RawClient>(runner.loop(), left.address()));

    // Guards against idle connections that keep other peers out or use up all file descriptors.
    PeerNode late(runner.loop(), "late");
    late.ping(left, 1);
    REQUIRE(runner.runUntil([&] { return left.pingsFrom(late).size() == 1; }));
    REQUIRE(left.network().connectionCount() < 100);
    REQUIRE(std::count_if(silent.begin(), silent.end(),
                          [](const auto &client) { return client->isClosed(); })
            >= 100);
}

SCENARIO("The number of links is limited")
{
    LoopRunner runner;
    PeerNode hub(runner.loop(), "hub", [](auto &options) { options.maxLinks = 3; });
    std::vector<std::unique_ptr<PeerNode>> nodes;
    for (int i = 0; i < 6; ++i) {
        nodes.push_back(std::make_unique<PeerNode>(runner.loop(), "node-" + std::to_string(i)));
        hub.ping(*nodes.back(), 1);
        REQUIRE(runner.runUntil([&] { return nodes.back()->messages.size() == 1; }));
        if (i >= 1)
            hub.ping(*nodes.front(), 2);
    }

    // Guards against a number of connections that grows with the number of routers.
    THEN("the least recently used link is closed first")
    {
        REQUIRE(runner.runUntil([&] { return hub.linkDowns.size() == 3; }));
        REQUIRE(hub.network().linkCount() == 3);
        REQUIRE(hub.hasLink(*nodes[0]));
        REQUIRE(hub.hasLink(*nodes[4]));
        REQUIRE(hub.hasLink(*nodes[5]));
    }
}

SCENARIO("A peer that does not read")
{
    LoopRunner runner;
    PeerNode left(runner.loop(), "left",
                  [](auto &options) { options.maxBufferedBytes = 1'000'000; });

    // Guards against memory that grows because a peer does not respond.
    WHEN("it accepts the connection and sends nothing")
    {
        RawServer silent(runner.loop(), "", RawServer::Ending::KeepOpen);
        ConfigurationMessage configuration;
        configuration.document = std::string(100'000, 'c');
        for (int i = 0; i < 100; ++i)
            left.network().send(RouterName("silent"), silent.address(), configuration);
        runner.runFor(Milliseconds(20));
        REQUIRE(left.network().bytesSent() < 10'000);
        REQUIRE_FALSE(left.network().hasLink(RouterName("silent")));
    }
    WHEN("its process stops reading after the handshake")
    {
        PeerNode right(runner.loop(), "right");
        left.ping(right, 1);
        REQUIRE(runner.runUntil([&] { return right.messages.size() == 1; }));
        // The loop does not run here, so the peer does not read.
        ConfigurationMessage configuration;
        configuration.document = std::string(100'000, 'c');
        for (int i = 0; i < 15; ++i)
            left.network().send(right.name(), right.address(), configuration);
        REQUIRE_FALSE(left.hasLink(right));
        REQUIRE(left.linkDowns.empty());
        REQUIRE(runner.runUntil([&] { return left.linkDowns.size() == 1; }));
    }
}

SCENARIO("A message handler closes the link on which the message was received")
{
    LoopRunner runner;
    PeerNode left(runner.loop(), "left");
    PeerNode right(runner.loop(), "right");
    // Guards against a link that is destroyed while one of its messages is being handled.
    right.onMessage = [&](const RouterName &from) { right.network().closeLink(from); };
    left.ping(right, 1);
    left.ping(right, 2);
    REQUIRE(runner.runUntil([&] { return right.linkDowns.size() == 1; }));
    REQUIRE(right.messages.size() == 1);
    right.onMessage = nullptr;
    REQUIRE(runner.runUntil([&] { return left.linkDowns.size() == 1; }));
    left.ping(right, 3);
    REQUIRE(runner.runUntil([&] { return right.messages.size() == 2; }));
}
