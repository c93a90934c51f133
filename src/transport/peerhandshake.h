#ifndef CROCUSPORT_PEERHANDSHAKE_H
#define CROCUSPORT_PEERHANDSHAKE_H

#include "crocusport/coordination/peermessage.h"
#include "crocusport/state/error.h"

#include <cstddef>
#include <optional>
#include <string>

namespace crocusport {

inline constexpr std::size_t kPeerNonceBytes = 32;

/*!
    One side of the mutual authentication of a peer link. Each side proves with its second Hello
    that it has the shared key: the proof is an HMAC-SHA-256 of the receiver's nonce and the
    sender's name.

    Thread safety: loop thread only.
*/
class PeerHandshake
{
public:
    PeerHandshake(MemberInfo self, std::string sharedKey);

    //! Returns the Hello, without proof, that starts the handshake.
    HelloMessage firstHello() const;
    /*!
        Checks the other side's next Hello and returns the Hello to reply with, if any. Fails with
        ProtocolVersionMismatch, MalformedMessage or AuthenticationFailed, after which the link must
        be closed.
    */
    Result<std::optional<HelloMessage>> receive(const HelloMessage &hello);

    //! Whether the other side's proof has been verified.
    bool isDone() const { return isDone_; }
    //! The router on the other side. Precondition: isDone().
    const MemberInfo &peer() const { return peer_; }

private:
    //! Checks the other side's first Hello and stores its identity and nonce.
    Result<void> checkFirst(const HelloMessage &hello);

    MemberInfo self_;
    std::string sharedKey_;
    std::string nonce_;
    MemberInfo peer_;
    std::string peerNonce_; //!< Empty until the first Hello has been received.
    bool isDone_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_PEERHANDSHAKE_H
