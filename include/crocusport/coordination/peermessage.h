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
    std::string proof; //!< HMAC-SHA-256 over the other side's nonce; empty while that is unknown.
};

//! Ping of the failure detector; also carries gossip.
struct PingMessage
{
    std::uint64_t sequence = 0;
    std::vector<MemberInfo> updates;
    std::vector<Observation> observations;
    ConfigurationVersion configurationVersion;
};

//! Reply to a PingMessage; also carries gossip.
struct AckMessage
{
    std::uint64_t sequence = 0;
    std::vector<MemberInfo> updates;
    std::vector<Observation> observations;
    ConfigurationVersion configurationVersion;
};

//! Asks a member to ping another member, \a target.
struct PingRequestMessage
{
    std::uint64_t sequence = 0;
    RouterName target;
};

//! Reply to a PingRequestMessage.
struct PingReplyMessage
{
    std::uint64_t sequence = 0;
    RouterName target;
    bool isReached = false;
};

//! Requests a configuration that is newer than haveVersion.
struct ConfigurationRequestMessage
{
    ConfigurationVersion haveVersion;
};

//! A configuration document, exactly as the store has it.
struct ConfigurationMessage
{
    ConfigurationVersion version;
    std::string document;
};

/*!
    Asks the pool's holder for a slot. The sender also repeats its waiting and running requests with
    this message, to the same holder or to a new one.

    Times are sent as elapsed and remaining durations, because the clocks of hosts differ.
*/
struct SlotRequestMessage
{
    SlotRequest request;   //!< The receiver sets arrived and deadline from the durations below.
    Duration waited {};    //!< Time since the request arrived.
    Duration remaining {}; //!< Time until the deadline of the request.
};

//! Tells a router that the holder has queued its request.
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

//! Tells a holder to remove a request, because the request was cancelled (for example when its
//! caller has disconnected), its deadline has passed, another router has decided it or another
//! router is now the holder. With an empty pool, the receiver removes the request from all pools.
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
    std::vector<std::string> events; //!< Lines of key=value pairs, oldest first.
};

using PeerMessage =
    std::variant<HelloMessage, PingMessage, AckMessage, PingRequestMessage, PingReplyMessage,
                 ConfigurationRequestMessage, ConfigurationMessage, SlotRequestMessage,
                 SlotQueuedMessage, SlotGrantMessage, SlotRefusedMessage, SlotReleaseMessage,
                 SlotCancelMessage, ExplainRequestMessage, ExplainReplyMessage>;

//! A message that the owner of a Membership, SlotBroker or ConfigurationReplica is to send.
struct OutgoingMessage
{
    RouterName to;
    PeerMessage message;
};

} // namespace crocusport

#endif // CROCUSPORT_PEERMESSAGE_H
