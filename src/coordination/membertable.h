#ifndef CROCUSPORT_MEMBERTABLE_H
#define CROCUSPORT_MEMBERTABLE_H

#include "crocusport/coordination/membership.h"
#include "gossipqueue.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace crocusport {

//! What this router knows about another router.
struct Member
{
    MemberInfo info;
    std::optional<Instant> suspectedAt; //!< Also set for a leaving member that does not respond.
    Instant deadSince;
    Instant tryAgainAt; //!< When to try to connect to a dead member next.
    ConfigurationVersion configurationVersion;
    unsigned missedPings = 0; //!< Unacknowledged direct pings in succession.
};

/*!
    The table of all members, and the rules by which updates from other routers are merged into it.

    A member becomes Dead only when this router's own suspicion timer runs out. An update with the
    state Dead starts that timer but does not make the member Dead. When the two sides of a
    partition rejoin, the members that the other side considers dead thus have time to refute that
    state, and stay live.

    Thread safety: none; use from one thread.
*/
class MemberTable
{
public:
    MemberTable(const MemberInfo &self, const MembershipPolicy &policy, std::uint64_t randomSeed);

    const MemberInfo &self() const { return self_; }
    const std::map<RouterName, Member> &members() const { return members_; }
    Member *find(const RouterName &name);
    const Member *find(const RouterName &name) const;

    //! Sets this router's own state and announces it with a higher incarnation.
    void setOwnState(MemberState state);
    //! Merges an update that was received about a member, which may be this router.
    void merge(const MemberInfo &update, Instant now);
    //! Starts the suspicion timer of a member that did not acknowledge a ping.
    void suspect(const RouterName &name, Instant now);
    //! Declares members dead after the suspicion timeout, and removes members that have been dead
    //! for policy.deadMemberRetention.
    void tick(Instant now);
    //! Extends all suspicion timers by \a pause, during which this router did not run.
    void extendTimers(Duration pause);

    //! Returns at most policy.maxUpdates updates for a message to \a target. The first one is this
    //! router's own record.
    std::vector<MemberInfo> takeUpdates(const RouterName &target);
    //! Returns the addresses of dead members to which to connect now, and sets the next retry.
    std::vector<SocketAddress> takeAddressesToTry(Instant now);
    //! See Membership::takeMembersChanged().
    bool takeChanged();

private:
    //! Returns true if \a update overrides what is known about \a member.
    bool isSuperseded(const Member &member, const MemberInfo &update) const;
    void mergeOwn(const MemberInfo &update);
    void accept(Member &member, const MemberInfo &update, Instant now);
    void declareDead(Member &member, Instant now);
    void queueUpdate(const RouterName &name) { gossipQueue_.add(name); }

    MemberInfo self_;
    MembershipPolicy policy_;
    std::mt19937_64 random_;
    std::map<RouterName, Member> members_;
    GossipQueue<RouterName> gossipQueue_;
    RouterName rotationCursor_; //!< Member last considered in rotation.
    bool isChanged_ = true;
};

//! Returns true for the states in which a member can have roles, such as that of a pool's holder.
inline bool isLive(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

} // namespace crocusport

#endif // CROCUSPORT_MEMBERTABLE_H
