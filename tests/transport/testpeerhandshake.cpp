#include "peerhandshake.h"

#include "crocusport/protocol/digest.h"

#include <catch2/catch.hpp>

using namespace crocusport;

namespace {

MemberInfo member(const std::string &name)
{
    MemberInfo info;
    info.name = RouterName(name);
    info.incarnation = Incarnation(1);
    info.address = SocketAddress("127.0.0.1:1");
    return info;
}

ResultCode receive(PeerHandshake &handshake, const HelloMessage &hello,
                   std::optional<HelloMessage> *answer = nullptr)
{
    return handleErrors(
        [&]() -> Result<ResultCode> {
            BOOST_LEAF_AUTO(received, handshake.receive(hello));
            if (answer)
                *answer = received;
            return ResultCode::Ok;
        },
        [](const Error &error) { return error.code; });
}

} // namespace

SCENARIO("Two routers prove that they hold the shared key")
{
    PeerHandshake left(member("left"), "key");
    PeerHandshake right(member("right"), "key");
    std::optional<HelloMessage> fromLeft;
    std::optional<HelloMessage> fromRight;
    REQUIRE(receive(left, right.firstHello(), &fromLeft) == ResultCode::Ok);
    REQUIRE(receive(right, left.firstHello(), &fromRight) == ResultCode::Ok);
    REQUIRE_FALSE(left.isDone());
    REQUIRE_FALSE(right.isDone());
    REQUIRE(receive(left, *fromRight) == ResultCode::Ok);
    REQUIRE(receive(right, *fromLeft) == ResultCode::Ok);
    REQUIRE(left.isDone());
    REQUIRE(right.isDone());
    REQUIRE(left.peer() == member("right"));
    REQUIRE(right.peer() == member("left"));

    // Guards against a link whose peer changes its identity after the handshake.
    REQUIRE(receive(left, *fromRight) == ResultCode::MalformedMessage);
}

// Guards against peers that do not have the key, use another protocol version or replay messages.
SCENARIO("A handshake with an invalid peer fails")
{
    PeerHandshake left(member("left"), "key");
    PeerHandshake right(member("right"), "key");
    auto hello = right.firstHello();

    WHEN("the peer has another key")
    {
        PeerHandshake wrong(member("right"), "other key");
        std::optional<HelloMessage> proof;
        REQUIRE(receive(wrong, left.firstHello(), &proof) == ResultCode::Ok);
        REQUIRE(receive(left, wrong.firstHello()) == ResultCode::Ok);
        REQUIRE(receive(left, *proof) == ResultCode::AuthenticationFailed);
    }
    WHEN("the second Hello has no proof")
    {
        REQUIRE(receive(left, hello) == ResultCode::Ok);
        REQUIRE(receive(left, hello) == ResultCode::AuthenticationFailed);
    }
    WHEN("the peer has another protocol version")
    {
        hello.protocolVersion = kPeerProtocolVersion + 1;
        REQUIRE(receive(left, hello) == ResultCode::ProtocolVersionMismatch);
    }
    WHEN(
        "the nonce is too short, so that the beginning of the name could be read as the end of the "
        "nonce")
    {
        hello.nonce.pop_back();
        REQUIRE(receive(left, hello) == ResultCode::MalformedMessage);
    }
    WHEN("the name is missing")
    {
        hello.self.name = RouterName();
        REQUIRE(receive(left, hello) == ResultCode::MalformedMessage);
    }
    WHEN("the router's own Hello is sent back to it")
    {
        REQUIRE(receive(left, left.firstHello()) == ResultCode::AuthenticationFailed);
    }
    WHEN("the router's own nonce is sent back to it with another name")
    {
        hello.nonce = left.firstHello().nonce;
        REQUIRE(receive(left, hello) == ResultCode::AuthenticationFailed);
    }
    WHEN("the second Hello has another name than the first")
    {
        std::optional<HelloMessage> proof;
        REQUIRE(receive(right, left.firstHello(), &proof) == ResultCode::Ok);
        REQUIRE(receive(left, hello) == ResultCode::Ok);
        proof->self.name = RouterName("other");
        REQUIRE(receive(left, *proof) == ResultCode::MalformedMessage);
    }
    WHEN("a proof of an earlier link is replayed")
    {
        PeerHandshake earlier(member("left"), "key");
        std::optional<HelloMessage> proof;
        REQUIRE(receive(right, earlier.firstHello(), &proof) == ResultCode::Ok);
        REQUIRE(receive(left, hello) == ResultCode::Ok);
        REQUIRE(receive(left, *proof) == ResultCode::AuthenticationFailed);
    }
    REQUIRE_FALSE(left.isDone());
}
