#ifndef CROCUSPORT_MEMBERTABLE_H
#define CROCUSPORT_MEMBERTABLE_H

#include "crocusport/coordination/membership.h"
#include "gossipqueue.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace crocusport {

//! What this router believes about another one.
struct Member
{
    MemberInfo info;
    std::optional<Instant> suspectedAt; //!< Also set for a leaving member that does not answer.
    Instant deadSince;
    Instant tryAgainAt; //!< When a dead member's address is tried next.
    ConfigurationVersion configurationVersion;
    unsigned missedPings = 0; //!< Unacknowledged direct pings in succession.
};

/*!
    The beliefs about all members and the rules that merge what others say about them.

    A member is only declared dead by this router's own suspicion timer: Dead heard from others
    starts that timer. So when two sides of a partition rejoin, the members that each side holds
    dead have time to refute it and do not drop out of the live set.

    Thread safety: none; use from one thread.
*/
class MemberTable
{
public:
    MemberTable(const MemberInfo &self, const MembershipPolicy &policy, std::uint64_t seed);

    const MemberInfo &self() const { return self_; }
    const std::map<RouterName, Member> &members() const { return members_; }
    Member *find(const RouterName &name);
    const Member *find(const RouterName &name) const;

    //! Announces this router's own state with a higher incarnation.
    void setOwnState(MemberState state);
    //! Applies what another router said about a member, which may be this router.
    void merge(const MemberInfo &heard, Instant now);
    //! Starts the suspicion timer of a member that did not answer.
    void suspect(const RouterName &name, Instant now);
    //! Moves members from Suspect to Dead and forgets the long dead.
    void tick(Instant now);
    //! Moves all timers by \a pause, during which this router did not run.
    void extendTimers(Duration pause);

    //! Updates for a message to \a target, at most policy.maxUpdates, with this router's own first.
    std::vector<MemberInfo> takeUpdates(const RouterName &target);
    std::vector<SocketAddress> takeAddressesToTry(Instant now);
    //! True once after the set of live or leaving members has changed.
    bool takeChanged();

private:
    bool isSuperseded(const Member &member, const MemberInfo &heard) const;
    void mergeOwn(const MemberInfo &heard);
    void accept(Member &member, const MemberInfo &heard, Instant now);
    void declareDead(Member &member, Instant now);
    void spread(const RouterName &name) { news_.add(name); }

    MemberInfo self_;
    MembershipPolicy policy_;
    std::mt19937_64 random_;
    std::map<RouterName, Member> members_;
    GossipQueue<RouterName> news_;
    RouterName lastFilled_;
    bool isChanged_ = true;
};

//! True for members that take part in roles.
inline bool isLive(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

} // namespace crocusport

#endif // CROCUSPORT_MEMBERTABLE_H
