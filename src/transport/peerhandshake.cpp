#include "peerhandshake.h"

#include "crocusport/protocol/digest.h"

#include <utility>

namespace crocusport {

namespace {

// The nonce has a fixed size, so that nonce and name cannot be split in another way.
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
        return makeError(ResultCode::MalformedMessage, "Hello without a full nonce or a name");
    // Else the proofs of this router could be sent back to it as another's.
    if (hello.self.name == self_.name || hello.nonce == nonce_)
        return makeError(ResultCode::AuthenticationFailed, "peer has this router's name or nonce");
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
        return makeError(ResultCode::AuthenticationFailed, "wrong proof");
    isDone_ = true;
    return answer;
}

} // namespace crocusport
