#include "crocusport/coordination/membership.h"

#include "membertable.h"
#include "observationlog.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

namespace crocusport {

namespace {

//! Number of unacknowledged direct pings in succession after which a link is replaced.
constexpr unsigned kMissedPingsOfStaleLink = 3;
//! Maximum number of members that are pinged in each interval in addition to the regular ping,
//! because they have missed a ping or are suspected.
constexpr std::size_t kExtraPings = 3;
//! Maximum number of pending pings that this router has sent on behalf of other members.
constexpr std::size_t kMaxRelays = 64;
//! Number of members that are pinged at once when this router adopts a newer configuration or
//! starts to leave. A new version reaches n routers after log(n)/log(4) message delays instead of
//! as many ping intervals.
constexpr std::size_t kAnnouncePings = 4;
//! Interval at which a router tries the seeds while it knows no other router that is not dead.
constexpr Duration kLoneRouterSeedInterval = std::chrono::seconds(1);
//! If more than this number of ping intervals lies between two ticks, this router was paused.
constexpr int kMaxTickGapIntervals = 3;

} // namespace

struct Membership::Private
{
    //! A ping that this router has sent and that is not acknowledged yet.
    struct Probe
    {
        RouterName target;
        Instant sentAt;
        bool isIndirect = false; //!< Other members were asked to ping the target.
        bool isReached = false;  //!< Another member has reached the target.
    };

    //! A ping that this router has sent on behalf of another member.
    struct Relay
    {
        RouterName requester;
        std::uint64_t requesterSequence = 0;
        RouterName target;
        Instant sentAt;
    };

    Private(const MemberInfo &self, const MembershipPolicy &membershipPolicy,
            std::uint64_t randomSeed)
        : policy(membershipPolicy), table(self, membershipPolicy, randomSeed),
          random(randomSeed + 1)
    { }

    void send(const RouterName &to, PeerMessage message)
    {
        outgoing.push_back({ to, std::move(message) });
    }

    template<typename Message>
    Message makeGossipMessage(const RouterName &target, std::uint64_t number, Instant now)
    {
        Message message;
        message.sequence = number;
        message.updates = table.takeUpdates(target);
        message.observations = log.take(policy.maxObservations, table.members().size(), now);
        message.configurationVersion = ownVersion;
        return message;
    }

    std::vector<RouterName> nonDeadMembers() const
    {
        std::vector<RouterName> names;
        for (const auto &[name, member] : table.members()) {
            if (member.info.state != MemberState::Dead)
                names.push_back(name);
        }
        return names;
    }

    bool isProbed(const RouterName &target) const
    {
        return std::any_of(probes.begin(), probes.end(),
                           [&](const auto &probe) { return probe.second.target == target; });
    }

    void ping(const RouterName &target, Instant now)
    {
        probes[++sequence] = { target, now };
        send(target, makeGossipMessage<PingMessage>(target, sequence, now));
    }

    //! Sends the records of members that are not dead to \a target, a router that is new to this
    //! table, has restarted or was considered dead. The number of messages follows from
    //! policy.maxUpdates, but each one begins with up to 2 updates of MemberTable::takeUpdates().
    //! In a large table the last records may therefore be left out.
    void sendTable(const RouterName &target, Instant now)
    {
        const auto messages = 1 + table.members().size() / policy.maxUpdates;
        auto names = nonDeadMembers();
        auto next = names.begin();
        for (std::size_t i = 0; i < messages; ++i) {
            auto message = makeGossipMessage<PingMessage>(target, ++sequence, now);
            message.updates.resize(std::min<std::size_t>(message.updates.size(), 2));
            while (next != names.end() && message.updates.size() < policy.maxUpdates) {
                if (const Member *const member = table.find(*next); member && *next != target)
                    message.updates.push_back(member->info);
                ++next;
            }
            send(target, std::move(message));
        }
    }

    void pingNext(Instant now)
    {
        std::size_t extra = 0;
        for (const auto &[name, member] : table.members()) {
            if (extra == kExtraPings)
                break;
            if (member.info.state == MemberState::Dead || isProbed(name)
                || (member.missedPings == 0 && !member.suspectedAt))
                continue;
            ping(name, now);
            ++extra;
        }
        while (true) {
            if (round.empty()) {
                round = nonDeadMembers();
                std::shuffle(round.begin(), round.end(), random);
                if (round.empty())
                    return;
            }
            const auto target = std::move(round.back());
            round.pop_back();
            const Member *const member = table.find(target);
            if (!member || member->info.state == MemberState::Dead)
                continue;
            if (!isProbed(target))
                ping(target, now);
            return;
        }
    }

    void requestIndirectPings(std::uint64_t number, Probe &probe, Instant now)
    {
        probe.isIndirect = true;
        if (Member *const member = table.find(probe.target)) {
            if (++member->missedPings == kMissedPingsOfStaleLink) {
                staleLinks.push_back(probe.target);
                member->missedPings = 1;
            }
        }
        std::vector<RouterName> helpers;
        for (const auto &[name, member] : table.members()) {
            if (member.info.state == MemberState::Alive && name != probe.target)
                helpers.push_back(name);
        }
        std::vector<RouterName> chosen;
        std::sample(helpers.begin(), helpers.end(), std::back_inserter(chosen),
                    policy.indirectPings, random);
        for (const auto &helper : chosen)
            send(helper, PingRequestMessage { number, probe.target });
        probe.sentAt = now;
    }

    void checkProbes(Instant now)
    {
        for (auto it = probes.begin(); it != probes.end();) {
            Probe &probe = it->second;
            if (now - probe.sentAt < policy.acknowledgeTimeout) {
                ++it;
            } else if (!probe.isIndirect) {
                requestIndirectPings(it->first, probe, now);
                ++it;
            } else {
                if (!probe.isReached)
                    table.suspect(probe.target, now);
                it = probes.erase(it);
            }
        }
        std::erase_if(relays, [&](const auto &entry) {
            return now - entry.second.sentAt >= policy.acknowledgeTimeout;
        });
    }

    template<typename Message>
    void mergeGossip(const RouterName &from, const Message &message, Instant now)
    {
        for (const auto &update : message.updates)
            table.merge(update, now);
        for (const auto &observation : message.observations) {
            if (log.add(observation, now))
                received.push_back(observation);
        }
        if (Member *const member = table.find(from))
            member->configurationVersion =
                std::max(member->configurationVersion, message.configurationVersion);
    }

    void handle(const RouterName &from, const PingMessage &message, Instant now)
    {
        mergeGossip(from, message, now);
        send(from, makeGossipMessage<AckMessage>(from, message.sequence, now));
    }

    void handle(const RouterName &from, const AckMessage &message, Instant now)
    {
        mergeGossip(from, message, now);
        const auto probe = probes.find(message.sequence);
        if (probe != probes.end() && probe->second.target == from) {
            probes.erase(probe);
            if (Member *const member = table.find(from))
                member->missedPings = 0;
        }
        const auto relay = relays.find(message.sequence);
        if (relay != relays.end() && relay->second.target == from) {
            send(relay->second.requester,
                 PingReplyMessage { relay->second.requesterSequence, from, true });
            relays.erase(relay);
        }
    }

    void handle(const RouterName &from, const PingRequestMessage &message, Instant now)
    {
        const Member *const target = table.find(message.target);
        if (!target || relays.size() >= kMaxRelays)
            return;
        relays[++sequence] = { from, message.sequence, message.target, now };
        send(message.target, makeGossipMessage<PingMessage>(message.target, sequence, now));
    }

    void handle(const RouterName & /*from*/, const PingReplyMessage &message, Instant /*now*/)
    {
        const auto probe = probes.find(message.sequence);
        if (probe != probes.end() && probe->second.target == message.target && message.isReached)
            probe->second.isReached = true;
    }

    template<typename Other>
    void handle(const RouterName & /*from*/, const Other & /*message*/, Instant /*now*/)
    { }

    MembershipPolicy policy;
    MemberTable table;
    ObservationLog log;
    std::mt19937_64 random;
    std::uint64_t sequence = 0;
    std::map<std::uint64_t, Probe> probes;
    std::map<std::uint64_t, Relay> relays;
    std::vector<RouterName> round; //!< Members not yet pinged in this round, in random order.
    std::optional<Instant> nextPingAt;
    std::optional<Instant> lastTick;
    ConfigurationVersion ownVersion;
    std::vector<OutgoingMessage> outgoing;
    std::vector<Observation> received;
    std::vector<RouterName> staleLinks;
    std::vector<SocketAddress> seeds;
    std::optional<Instant> triedSeedsAt;
};

Membership::Membership(const MemberInfo &self, const MembershipPolicy &policy,
                       std::uint64_t randomSeed)
    : d_(std::make_unique<Private>(self, policy, randomSeed))
{ }

Membership::~Membership() = default;

void Membership::addPeer(const MemberInfo &peer, Instant now)
{
    if (peer.name == self().name)
        return;
    const auto stateBefore = [&]() -> std::optional<MemberInfo> {
        const Member *const member = d_->table.find(peer.name);
        return member ? std::optional(member->info) : std::nullopt;
    }();
    d_->table.merge(peer, now);
    // A router that is new, has restarted or is considered dead needs the table. The messages also
    // contain the state that this table has for the router, so that the router can refute a wrong
    // state.
    if (!stateBefore || stateBefore->incarnation != peer.incarnation
        || stateBefore->state == MemberState::Dead)
        d_->sendTable(peer.name, now);
}

void Membership::handleMessage(const RouterName &from, const PeerMessage &message, Instant now)
{
    std::visit([&](const auto &known) { d_->handle(from, known, now); }, message);
}

void Membership::tick(Instant now)
{
    const auto &policy = d_->policy;
    if (d_->lastTick && now - *d_->lastTick > kMaxTickGapIntervals * policy.pingInterval) {
        // Acknowledgements and refutations that arrived during the pause may not have been read
        // yet, so the pause must not make any member suspect or dead.
        d_->probes.clear();
        d_->table.extendTimers(now - *d_->lastTick);
    }
    d_->lastTick = now;
    d_->checkProbes(now);
    d_->table.tick(now);
    d_->log.tick(now);
    if (!d_->nextPingAt || now >= *d_->nextPingAt) {
        d_->pingNext(now);
        const auto due = d_->nextPingAt.value_or(now) + policy.pingInterval;
        d_->nextPingAt = std::max(due, now + policy.pingInterval / 2);
    }
}

void Membership::leave(Instant now)
{
    if (self().state == MemberState::Leaving)
        return;
    d_->table.setOwnState(MemberState::Leaving);
    auto names = d_->nonDeadMembers();
    std::shuffle(names.begin(), names.end(), d_->random);
    names.resize(std::min(names.size(), kAnnouncePings));
    for (const auto &name : names)
        d_->send(name, d_->makeGossipMessage<PingMessage>(name, ++d_->sequence, now));
}

bool Membership::addObservation(const Observation &observation, Instant now)
{
    return d_->log.add(observation, now);
}

void Membership::setConfigurationVersion(ConfigurationVersion version)
{
    if (version <= d_->ownVersion)
        return;
    d_->ownVersion = version;
    auto names = d_->nonDeadMembers();
    std::shuffle(names.begin(), names.end(), d_->random);
    names.resize(std::min(names.size(), kAnnouncePings));
    for (const auto &name : names) {
        PingMessage announcement;
        announcement.sequence = ++d_->sequence;
        announcement.updates = { self() };
        announcement.configurationVersion = version;
        d_->send(name, std::move(announcement));
    }
}

std::vector<OutgoingMessage> Membership::takeMessages()
{
    return std::exchange(d_->outgoing, {});
}

std::vector<Observation> Membership::takeObservations()
{
    return std::exchange(d_->received, {});
}

std::optional<RouterName> Membership::peerWithNewerConfiguration() const
{
    std::optional<RouterName> newest;
    auto version = d_->ownVersion;
    for (const auto &[name, member] : d_->table.members()) {
        if (member.info.state == MemberState::Dead || member.configurationVersion <= version)
            continue;
        version = member.configurationVersion;
        newest = name;
    }
    return newest;
}

bool Membership::takeMembersChanged()
{
    return d_->table.takeChanged();
}

std::vector<RouterName> Membership::takeStaleLinks()
{
    return std::exchange(d_->staleLinks, {});
}

std::vector<SocketAddress> Membership::takeAddressesToTry(Instant now)
{
    auto due = d_->table.takeAddressesToTry(now);
    const auto interval =
        d_->nonDeadMembers().empty() ? kLoneRouterSeedInterval : d_->policy.connectRetryInterval;
    if (d_->triedSeedsAt && now - *d_->triedSeedsAt < interval)
        return due;
    d_->triedSeedsAt = now;
    for (const auto &seed : d_->seeds) {
        const auto &members = d_->table.members();
        const bool isKnown = std::any_of(members.begin(), members.end(), [&](const auto &entry) {
            return entry.second.info.address == seed;
        });
        if (!isKnown && seed != self().address)
            due.push_back(seed);
    }
    return due;
}

void Membership::setSeeds(std::vector<SocketAddress> seeds)
{
    d_->seeds = std::move(seeds);
}

std::vector<RouterName> Membership::liveMembers() const
{
    std::vector<RouterName> names;
    for (const auto &[name, member] : d_->table.members()) {
        if (isLive(member.info.state))
            names.push_back(name);
    }
    if (isLive(self().state))
        names.insert(std::lower_bound(names.begin(), names.end(), self().name), self().name);
    return names;
}

std::vector<RouterName> Membership::leavingMembers() const
{
    std::vector<RouterName> names;
    for (const auto &[name, member] : d_->table.members()) {
        if (member.info.state == MemberState::Leaving)
            names.push_back(name);
    }
    return names;
}

std::vector<MemberInfo> Membership::members() const
{
    std::vector<MemberInfo> infos { self() };
    for (const auto &[name, member] : d_->table.members())
        infos.push_back(member.info);
    return infos;
}

std::optional<SocketAddress> Membership::addressOf(const RouterName &member) const
{
    const Member *const found = d_->table.find(member);
    return found ? std::optional(found->info.address) : std::nullopt;
}

const MemberInfo &Membership::self() const
{
    return d_->table.self();
}

} // namespace crocusport
