#include "peerhandshake.h"

#include "crocusport/protocol/digest.h"

#include <utility>

namespace crocusport {

namespace {

// The nonce has a fixed size, so that another pair of nonce and name cannot give the same text.
std::string proofOf(const std::string &sharedKey, const std::string &nonce, const RouterName &name)
{
    return hmacSha256(sharedKey, nonce + name.value());
}

} // namespace

PeerHandshake::PeerHandshake(MemberInfo self, std::string sharedKey)
    : self_(std::move(self)), sharedKey_(std::move(sharedKey)), nonce_(randomBytes(kPeerNonceBytes))
{ }

HelloMessage PeerHandshake::firstHello() const
{
    HelloMessage hello;
    hello.self = self_;
    hello.nonce = nonce_;
    return hello;
}

Result<void> PeerHandshake::checkFirst(const HelloMessage &hello)
{
    if (hello.protocolVersion != kPeerProtocolVersion)
        return makeError(ResultCode::ProtocolVersionMismatch,
                         "protocol version " + std::to_string(hello.protocolVersion)
                             + " instead of " + std::to_string(kPeerProtocolVersion));
    if (hello.nonce.size() != kPeerNonceBytes || hello.self.name.value().empty())
        return makeError(ResultCode::MalformedMessage,
                         "Hello has a nonce of the wrong size or no name");
    // Without this check, a peer could send the router's own proof back to it and be authenticated.
    if (hello.self.name == self_.name || hello.nonce == nonce_)
        return makeError(ResultCode::AuthenticationFailed,
                         "peer uses the name or nonce of this router");
    peer_ = hello.self;
    peerNonce_ = hello.nonce;
    return {};
}

Result<std::optional<HelloMessage>> PeerHandshake::receive(const HelloMessage &hello)
{
    if (isDone_)
        return makeError(ResultCode::MalformedMessage, "Hello after the handshake");
    std::optional<HelloMessage> answer;
    if (peerNonce_.empty()) {
        BOOST_LEAF_CHECK(checkFirst(hello));
        answer = firstHello();
        answer->proof = proofOf(sharedKey_, peerNonce_, self_.name);
        if (hello.proof.empty())
            return answer;
    }
    if (hello.protocolVersion != kPeerProtocolVersion || hello.nonce != peerNonce_
        || hello.self != peer_)
        return makeError(ResultCode::MalformedMessage, "second Hello differs from the first");
    if (!isEqualConstantTime(hello.proof, proofOf(sharedKey_, nonce_, peer_.name)))
        return makeError(ResultCode::AuthenticationFailed,
                         "peer's proof is not valid for the shared key");
    isDone_ = true;
    return answer;
}

} // namespace crocusport
