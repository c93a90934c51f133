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
    One side of the mutual authentication of a peer link: each side proves with its second Hello
    that it holds the shared key.

    Thread safety: loop thread only.
*/
class PeerHandshake
{
public:
    PeerHandshake(MemberInfo self, std::string sharedKey);

    //! Returns the Hello that opens the handshake.
    HelloMessage firstHello() const;
    /*!
        Takes the other side's next Hello and returns the one to send in answer, if any. Fails with
        ProtocolVersionMismatch, MalformedMessage or AuthenticationFailed; the link must be closed
        then.
    */
    Result<std::optional<HelloMessage>> receive(const HelloMessage &hello);

    //! Whether the other side's proof has been verified.
    bool isDone() const { return isDone_; }
    //! Who the other side is. Precondition: isDone().
    const MemberInfo &peer() const { return peer_; }

private:
    Result<void> checkFirst(const HelloMessage &hello);

    MemberInfo self_;
    std::string sharedKey_;
    std::string nonce_;
    MemberInfo peer_;
    std::string peerNonce_; //!< Empty until the first Hello.
    bool isDone_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_PEERHANDSHAKE_H
