#ifndef CROCUSPORT_PEERMESSAGE_H
#define CROCUSPORT_PEERMESSAGE_H

#include "crocusport/coordination/memberinfo.h"
#include "crocusport/coordination/observation.h"
#include "crocusport/state/slotrequest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocusport {

inline constexpr std::uint32_t kPeerProtocolVersion = 1;

//! First message of each side of a peer link.
struct HelloMessage
{
    std::uint32_t protocolVersion = kPeerProtocolVersion;
    MemberInfo self;
    std::string nonce; //!< 32 random bytes; the other side's proof is computed over them.
    std::string proof; //!< HMAC-SHA-256 over the other side's nonce; empty until that is known.
};

//! Liveness probe; carries gossip.
struct PingMessage
{
    std::uint64_t sequence = 0;
    std::vector<MemberInfo> updates;
    std::vector<Observation> observations;
    ConfigurationVersion configurationVersion;
};

//! Answer to a PingMessage; carries gossip.
struct AckMessage
{
    std::uint64_t sequence = 0;
    std::vector<MemberInfo> updates;
    std::vector<Observation> observations;
    ConfigurationVersion configurationVersion;
};

//! Asks a member to ping another one.
struct PingRequestMessage
{
    std::uint64_t sequence = 0;
    RouterName target;
};

//! Answer to a PingRequestMessage.
struct PingReplyMessage
{
    std::uint64_t sequence = 0;
    RouterName target;
    bool isReached = false;
};

//! Asks for a configuration newer than haveVersion.
struct ConfigurationRequestMessage
{
    ConfigurationVersion haveVersion;
};

//! A configuration document, as it stands in the store.
struct ConfigurationMessage
{
    ConfigurationVersion version;
    std::string document;
};

/*!
    Asks the pool's holder for a slot, or repeats a waiting or running request to a new holder.
    Times travel as remaining and elapsed durations, since hosts have different clocks.
*/
struct SlotRequestMessage
{
    SlotRequest request; //!< arrived and deadline are filled in by the codec's user.
    Duration waited {};
    Duration remaining {};
};

//! The holder has queued the request.
struct SlotQueuedMessage
{
    RequestId request;
    std::uint32_t position = 0;
    Duration estimatedWait {};
};

struct SlotGrantMessage
{
    SlotGrant grant;
};

struct SlotRefusedMessage
{
    SlotRefusal refusal;
};

struct SlotReleaseMessage
{
    SlotRelease release;
};

//! The caller has gone or the request was decided elsewhere; the holder forgets it. An empty pool
//! stands for any pool.
struct SlotCancelMessage
{
    RequestId request;
    PoolName pool;
};

struct ExplainRequestMessage
{
    std::uint64_t sequence = 0;
    RequestId request;
};

struct ExplainReplyMessage
{
    std::uint64_t sequence = 0;
    std::vector<std::string> events; //!< key=value lines, oldest first.
};

using PeerMessage =
    std::variant<HelloMessage, PingMessage, AckMessage, PingRequestMessage, PingReplyMessage,
                 ConfigurationRequestMessage, ConfigurationMessage, SlotRequestMessage,
                 SlotQueuedMessage, SlotGrantMessage, SlotRefusedMessage, SlotReleaseMessage,
                 SlotCancelMessage, ExplainRequestMessage, ExplainReplyMessage>;

//! A message that a state machine asks its owner to send.
struct OutgoingMessage
{
    RouterName to;
    PeerMessage message;
};

} // namespace crocusport

#endif // CROCUSPORT_PEERMESSAGE_H
