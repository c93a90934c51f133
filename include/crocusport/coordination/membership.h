#ifndef CROCUSPORT_MEMBERSHIP_H
#define CROCUSPORT_MEMBERSHIP_H

#include "crocusport/coordination/memberinfo.h"
#include "crocusport/coordination/peermessage.h"
#include "crocusport/state/instant.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace crocusport {

//! Timing and bounds of the membership protocol.
struct MembershipPolicy
{
    Duration pingInterval = std::chrono::milliseconds(500);
    Duration acknowledgeTimeout = std::chrono::milliseconds(250);
    Duration suspicionTimeout = std::chrono::seconds(2);
    Duration rememberDead = std::chrono::minutes(10);
    Duration retryDead = std::chrono::minutes(1);
    std::size_t indirectPings = 3;
    std::size_t maxUpdates = 16;      //!< Member updates on one message.
    std::size_t maxObservations = 16; //!< Observations on one message.
};

/*!
    The member table and the SWIM-style failure detector (docs/design.md section 4.8). Also spreads
    observations and the configuration version by gossip.

    Pure: time is an argument. Thread safety: none; use from one thread.
*/
class Membership
{
public:
    Membership(const MemberInfo &self, const MembershipPolicy &policy, std::uint64_t seed);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    //! Sets addresses at which routers are expected. Those without a known member are tried every
    //! minute, or every second while this router knows no other one.
    void setSeeds(std::vector<SocketAddress> seeds);
    //! Learns of a router that has proved its identity on a link.
    void addPeer(const MemberInfo &peer, Instant now);
    //! Handles Ping, Ack, PingRequest and PingReply; ignores others.
    void handleMessage(const RouterName &from, const PeerMessage &message, Instant now);
    //! Sends what is due and moves members from Suspect to Dead.
    void tick(Instant now);
    //! Announces that this router is leaving.
    void leave(Instant now);

    //! Queues an observation for gossip; returns false if it was known.
    bool addObservation(const Observation &observation, Instant now);
    void setConfigurationVersion(ConfigurationVersion version);

    std::vector<OutgoingMessage> takeMessages();
    //! Observations received since the last call that were not known.
    std::vector<Observation> takeObservations();
    //! The peer with the highest configuration version heard, if newer than this router's.
    std::optional<RouterName> peerWithNewerConfiguration() const;
    //! True once after liveMembers() or leavingMembers() has changed.
    bool takeMembersChanged();
    //! Links that did not acknowledge three pings in succession and should be replaced.
    std::vector<RouterName> takeStaleLinks();
    //! Addresses of dead members and of seeds that are due to be tried.
    std::vector<SocketAddress> takeAddressesToTry(Instant now);

    //! Alive and suspect members with this router unless it is leaving, sorted by name.
    std::vector<RouterName> liveMembers() const;
    //! Members that finish their requests and take no new roles, sorted by name.
    std::vector<RouterName> leavingMembers() const;
    std::vector<MemberInfo> members() const;
    std::optional<SocketAddress> addressOf(const RouterName &member) const;
    const MemberInfo &self() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace crocusport

#endif // CROCUSPORT_MEMBERSHIP_H
