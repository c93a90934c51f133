#include "membertable.h"

#include <algorithm>
#include <bit>

namespace crocusport {

namespace {

//! Number of records that are added to each message in rotation, so that a record whose messages
//! were all lost still arrives within bounded time.
constexpr std::size_t kRotatedUpdates = 4;
//! Number of transmissions of an update for each doubling of the number of members. SWIM needs
//! about 3 without message loss; 4 keeps the probability low that a router misses the update at a
//! loss of 20%.
constexpr std::size_t kTransmissionsPerDoubling = 4;

} // namespace

MemberTable::MemberTable(const MemberInfo &self, const MembershipPolicy &policy,
                         std::uint64_t randomSeed)
    : self_(self), policy_(policy), random_(randomSeed)
{ }

Member *MemberTable::find(const RouterName &name)
{
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second;
}

const Member *MemberTable::find(const RouterName &name) const
{
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second;
}

void MemberTable::setOwnState(MemberState state)
{
    self_.state = state;
    self_.incarnation = Incarnation(self_.incarnation.value() + 1);
    isChanged_ = true;
    queueUpdate(self_.name);
}

void MemberTable::merge(const MemberInfo &update, Instant now)
{
    if (update.name == self_.name) {
        mergeOwn(update);
        return;
    }
    const auto found = members_.find(update.name);
    if (found == members_.end()) {
        // A dead router that is unknown here is not pinged and has no wrong state to refute. Adding
        // it would keep its record circulating after every other router has removed it.
        if (update.state == MemberState::Dead)
            return;
        accept(members_[update.name], update, now);
        return;
    }
    Member &member = found->second;
    if (!isSuperseded(member, update)) {
        // The sender considers the member live, but this table has it as Dead. The state Dead is
        // queued for gossip, so that the member receives and refutes it.
        if (member.info.state == MemberState::Dead && isLive(update.state)
            && !gossipQueue_.contains(update.name))
            queueUpdate(update.name);
        return;
    }
    accept(member, update, now);
}

bool MemberTable::isSuperseded(const Member &member, const MemberInfo &update) const
{
    if (update.incarnation != member.info.incarnation)
        return update.incarnation > member.info.incarnation;
    switch (update.state) {
    case MemberState::Alive:
        return false;
    case MemberState::Suspect:
    case MemberState::Dead:
        return member.info.state != MemberState::Dead && !member.suspectedAt;
    case MemberState::Leaving:
        return isLive(member.info.state);
    }
    return false;
}

void MemberTable::mergeOwn(const MemberInfo &update)
{
    if (update.incarnation < self_.incarnation || update == self_)
        return;
    // Other routers suspect this router, or this router had a higher incarnation before a restart.
    // setOwnState() announces an incarnation above the received one.
    self_.incarnation = update.incarnation;
    setOwnState(self_.state);
}

void MemberTable::accept(Member &member, const MemberInfo &update, Instant now)
{
    const bool wasKnown = member.info.name == update.name;
    const bool wasLive = wasKnown && isLive(member.info.state);
    const bool isSameIncarnation = wasKnown && member.info.incarnation == update.incarnation;
    const bool isLeaving = update.state == MemberState::Leaving
        || (isSameIncarnation && member.info.state == MemberState::Leaving);
    const bool isSuspectOrDead =
        update.state == MemberState::Suspect || update.state == MemberState::Dead;
    if (isSuspectOrDead && !member.suspectedAt)
        member.suspectedAt = now;
    if (!isSuspectOrDead && !isSameIncarnation) {
        member.suspectedAt.reset();
        member.missedPings = 0;
    }
    member.info = update;
    if (isLeaving)
        member.info.state = MemberState::Leaving;
    else if (isSuspectOrDead)
        member.info.state = MemberState::Suspect;
    isChanged_ = isChanged_ || wasLive != isLive(member.info.state);
    queueUpdate(update.name);
}

void MemberTable::suspect(const RouterName &name, Instant now)
{
    Member *const member = find(name);
    if (!member || member->suspectedAt || member->info.state == MemberState::Dead)
        return;
    member->suspectedAt = now;
    // A leaving member keeps its state, so that other routers do not count it as live again.
    if (member->info.state == MemberState::Alive)
        member->info.state = MemberState::Suspect;
    queueUpdate(name);
}

void MemberTable::declareDead(Member &member, Instant now)
{
    isChanged_ = true;
    member.info.state = MemberState::Dead;
    member.suspectedAt.reset();
    member.deadSince = now;
    // The first retry is after a random time. Routers then retry at different times, so that some
    // router soon opens a link across a partition that has healed.
    std::uniform_int_distribution<Duration::rep> delay(1, policy_.connectRetryInterval.count());
    member.tryAgainAt = now + Duration(delay(random_));
    queueUpdate(member.info.name);
}

void MemberTable::tick(Instant now)
{
    for (auto it = members_.begin(); it != members_.end();) {
        Member &member = it->second;
        if (member.suspectedAt && now - *member.suspectedAt >= policy_.suspicionTimeout)
            declareDead(member, now);
        if (member.info.state == MemberState::Dead
            && now - member.deadSince >= policy_.deadMemberRetention) {
            gossipQueue_.remove(it->first);
            it = members_.erase(it);
        } else {
            ++it;
        }
    }
}

void MemberTable::extendTimers(Duration pause)
{
    for (auto &[name, member] : members_) {
        if (member.suspectedAt)
            *member.suspectedAt += pause;
    }
}

std::vector<MemberInfo> MemberTable::takeUpdates(const RouterName &target)
{
    std::vector<MemberInfo> updates { self_ };
    const auto add = [&](const RouterName &name) {
        const auto isSame = [&](const MemberInfo &info) { return info.name == name; };
        if (updates.size() >= policy_.maxUpdates
            || std::any_of(updates.begin(), updates.end(), isSame))
            return;
        if (const Member *const member = find(name))
            updates.push_back(member->info);
    };
    // If the receiver is not Alive in this table, its record is added, because only the receiver
    // can refute the state.
    const Member *const receiver = find(target);
    if (receiver && receiver->info.state != MemberState::Alive)
        add(target);
    const auto limit = kTransmissionsPerDoubling * std::bit_width(members_.size() + 1);
    for (const auto &name : gossipQueue_.take(policy_.maxUpdates - updates.size(), limit))
        add(name);
    // Dead members are left out here; otherwise their records would circulate for ever.
    std::size_t rotated = 0;
    for (std::size_t seen = 0; seen < members_.size() && rotated < kRotatedUpdates; ++seen) {
        auto next = members_.upper_bound(rotationCursor_);
        if (next == members_.end())
            next = members_.begin();
        rotationCursor_ = next->first;
        if (next->second.info.state == MemberState::Dead)
            continue;
        add(next->first);
        ++rotated;
    }
    return updates;
}

std::vector<SocketAddress> MemberTable::takeAddressesToTry(Instant now)
{
    std::vector<SocketAddress> due;
    for (auto &[name, member] : members_) {
        if (member.info.state != MemberState::Dead || now < member.tryAgainAt)
            continue;
        due.push_back(member.info.address);
        member.tryAgainAt = now + policy_.connectRetryInterval;
    }
    return due;
}

bool MemberTable::takeChanged()
{
    return std::exchange(isChanged_, false);
}

} // namespace crocusport
