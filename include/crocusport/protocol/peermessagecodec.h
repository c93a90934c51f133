#ifndef CROCUSPORT_PEERMESSAGECODEC_H
#define CROCUSPORT_PEERMESSAGECODEC_H

#include "crocusport/coordination/peermessage.h"
#include "crocusport/state/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace crocusport {

inline constexpr std::size_t kMaxPeerMessageBytes = 2'097'152;

/*!
    Returns \a message as a CBOR map (RFC 8949) with a field "type". Of a SlotRequestMessage,
    request.arrived and request.deadline are not transmitted. Safe from any thread.
*/
std::string encodePeerMessage(const PeerMessage &message);

/*!
    Decodes what encodePeerMessage() returns, from this or another version. Unknown fields are
    ignored. Fails with MalformedMessage, or with MessageTooLarge above kMaxPeerMessageBytes. Safe
    from any thread.
*/
Result<PeerMessage> decodePeerMessage(std::string_view data);

} // namespace crocusport

#endif // CROCUSPORT_PEERMESSAGECODEC_H
