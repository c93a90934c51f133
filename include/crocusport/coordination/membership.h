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

//! Timing and limits of the membership protocol.
struct MembershipPolicy
{
    Duration pingInterval = std::chrono::milliseconds(500);
    Duration acknowledgeTimeout = std::chrono::milliseconds(250);
    //! A suspected member that has not refuted the suspicion after this time is declared dead.
    Duration suspicionTimeout = std::chrono::seconds(2);
    //! A dead member is removed from the table after this time.
    Duration deadMemberRetention = std::chrono::minutes(10);
    //! Interval at which dead members' addresses and seeds without a known member are tried.
    Duration connectRetryInterval = std::chrono::minutes(1);
    //! Number of members that are asked to ping a member that has not acknowledged a ping.
    std::size_t indirectPings = 3;
    std::size_t maxUpdates = 16;      //!< Member updates in one message.
    std::size_t maxObservations = 16; //!< Observations in one message.
};

/*!
    The member table and the SWIM-style failure detector (docs/design.md section 4.8). Also
    distributes observations and the configuration version by gossip.

    Does no I/O and reads no clock: callers pass the time. Thread safety: none; use from one thread.
*/
class Membership
{
public:
    Membership(const MemberInfo &self, const MembershipPolicy &policy, std::uint64_t randomSeed);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    //! Sets the addresses at which routers are expected. Every minute, takeAddressesToTry() returns
    //! those at which no member is known. It returns them every second while this router knows no
    //! other router that is not dead.
    void setSeeds(std::vector<SocketAddress> seeds);
    //! Adds or updates a router that has proved its identity on a link. Sends the member table to a
    //! router that is new, has restarted or was considered dead.
    void addPeer(const MemberInfo &peer, Instant now);
    //! Handles Ping, Ack, PingRequest and PingReply messages; ignores other messages.
    void handleMessage(const RouterName &from, const PeerMessage &message, Instant now);
    //! Queues the messages that are due, and declares members dead after the suspicion timeout.
    void tick(Instant now);
    //! Announces to other members that this router is leaving.
    void leave(Instant now);

    //! Queues \a observation for gossip; returns false if it was already known.
    bool addObservation(const Observation &observation, Instant now);
    //! Sets the configuration version that this router has and announces it to up to 4 members at
    //! once. Does nothing if \a version is not higher than before.
    void setConfigurationVersion(ConfigurationVersion version);

    //! Returns the messages that were queued since the last call.
    std::vector<OutgoingMessage> takeMessages();
    //! Returns the observations received since the last call that were not known before.
    std::vector<Observation> takeObservations();
    //! Returns the peer that reported the highest configuration version, if that is newer than this
    //! router's.
    std::optional<RouterName> peerWithNewerConfiguration() const;
    //! Returns true if liveMembers() or leavingMembers() may have changed since the last call. One
    //! change is not reported: a router that was unknown or dead here and is received as Leaving.
    bool takeMembersChanged();
    //! Returns the members to which the owner should replace the link, because they did not
    //! acknowledge three direct pings in succession. A member that still does not acknowledge is
    //! returned again after every two further pings.
    std::vector<RouterName> takeStaleLinks();
    //! Returns the addresses of dead members and of seeds to which the owner should connect now.
    std::vector<SocketAddress> takeAddressesToTry(Instant now);

    //! Returns alive and suspect members, sorted by name, with this router unless it is leaving.
    std::vector<RouterName> liveMembers() const;
    //! Returns the other routers that are leaving, sorted by name. They finish their requests and
    //! take no new roles.
    std::vector<RouterName> leavingMembers() const;
    //! Returns this router and all others that are known, also the dead ones.
    std::vector<MemberInfo> members() const;
    std::optional<SocketAddress> addressOf(const RouterName &member) const;
    const MemberInfo &self() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace crocusport

#endif // CROCUSPORT_MEMBERSHIP_H
