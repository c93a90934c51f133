#include "membertable.h"

#include <algorithm>
#include <bit>

namespace crocusport {

namespace {

//! Old records added to each message, so that what was lost is learned again within bounded time.
constexpr std::size_t kFillUpdates = 4;
//! Transmissions of a piece of news for each doubling of the fleet. SWIM needs about 3 without
//! loss; 4 keeps the chance of a missed router low at a message loss of 20%.
constexpr std::size_t kTransmissionsPerDoubling = 4;

} // namespace

MemberTable::MemberTable(const MemberInfo &self, const MembershipPolicy &policy, std::uint64_t seed)
    : self_(self), policy_(policy), random_(seed)
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
    spread(self_.name);
}

void MemberTable::merge(const MemberInfo &heard, Instant now)
{
    if (heard.name == self_.name) {
        mergeOwn(heard);
        return;
    }
    const auto found = members_.find(heard.name);
    if (found == members_.end()) {
        // A dead router that is not known has nothing to refute and is not pinged; accepting it
        // would keep its record circulating after every router has forgotten it.
        if (heard.state == MemberState::Dead)
            return;
        accept(members_[heard.name], heard, now);
        return;
    }
    Member &member = found->second;
    if (!isSuperseded(member, heard)) {
        // The sender does not know that the member is held dead here. Telling it lets the member
        // hear of it and refute.
        if (member.info.state == MemberState::Dead && isLive(heard.state)
            && !news_.contains(heard.name))
            spread(heard.name);
        return;
    }
    accept(member, heard, now);
}

bool MemberTable::isSuperseded(const Member &member, const MemberInfo &heard) const
{
    if (heard.incarnation != member.info.incarnation)
        return heard.incarnation > member.info.incarnation;
    switch (heard.state) {
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

void MemberTable::mergeOwn(const MemberInfo &heard)
{
    if (heard.incarnation < self_.incarnation || heard == self_)
        return;
    // Suspected by others, or an earlier life of this router had a higher number.
    self_.incarnation = heard.incarnation;
    setOwnState(self_.state);
}

void MemberTable::accept(Member &member, const MemberInfo &heard, Instant now)
{
    const bool wasKnown = member.info.name == heard.name;
    const bool wasLive = wasKnown && isLive(member.info.state);
    const bool isSameLife = wasKnown && member.info.incarnation == heard.incarnation;
    const bool isLeaving = heard.state == MemberState::Leaving
        || (isSameLife && member.info.state == MemberState::Leaving);
    const bool isDoubted = heard.state == MemberState::Suspect || heard.state == MemberState::Dead;
    if (isDoubted && !member.suspectedAt)
        member.suspectedAt = now;
    if (!isDoubted && !isSameLife) {
        member.suspectedAt.reset();
        member.missedPings = 0;
    }
    member.info = heard;
    if (isLeaving)
        member.info.state = MemberState::Leaving;
    else if (isDoubted)
        member.info.state = MemberState::Suspect;
    isChanged_ = isChanged_ || wasLive != isLive(member.info.state);
    spread(heard.name);
}

void MemberTable::suspect(const RouterName &name, Instant now)
{
    Member *const member = find(name);
    if (!member || member->suspectedAt || member->info.state == MemberState::Dead)
        return;
    member->suspectedAt = now;
    // A leaving member keeps its state, so that others do not count it as live again.
    if (member->info.state == MemberState::Alive)
        member->info.state = MemberState::Suspect;
    spread(name);
}

void MemberTable::declareDead(Member &member, Instant now)
{
    isChanged_ = true;
    member.info.state = MemberState::Dead;
    member.suspectedAt.reset();
    member.deadSince = now;
    // Routers try at different times, so that some link across a healed partition opens soon.
    std::uniform_int_distribution<Duration::rep> delay(1, policy_.retryDead.count());
    member.tryAgainAt = now + Duration(delay(random_));
    spread(member.info.name);
}

void MemberTable::tick(Instant now)
{
    for (auto it = members_.begin(); it != members_.end();) {
        Member &member = it->second;
        if (member.suspectedAt && now - *member.suspectedAt >= policy_.suspicionTimeout)
            declareDead(member, now);
        if (member.info.state == MemberState::Dead
            && now - member.deadSince >= policy_.rememberDead) {
            news_.remove(it->first);
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
    // A member that is not held alive here is told so, because it is the one that can refute it.
    const Member *const receiver = find(target);
    if (receiver && receiver->info.state != MemberState::Alive)
        add(target);
    const auto limit = kTransmissionsPerDoubling * std::bit_width(members_.size() + 1);
    for (const auto &name : news_.take(policy_.maxUpdates - updates.size(), limit))
        add(name);
    // Dead members are left out, or their records would never be forgotten.
    std::size_t filled = 0;
    for (std::size_t seen = 0; seen < members_.size() && filled < kFillUpdates; ++seen) {
        auto next = members_.upper_bound(lastFilled_);
        if (next == members_.end())
            next = members_.begin();
        lastFilled_ = next->first;
        if (next->second.info.state == MemberState::Dead)
            continue;
        add(next->first);
        ++filled;
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
        member.tryAgainAt = now + policy_.retryDead;
    }
    return due;
}

bool MemberTable::takeChanged()
{
    return std::exchange(isChanged_, false);
}

} // namespace crocusport
