#include "cluster.h"

#include "crocusport/coordination/publisher.h"

#include <algorithm>
#include <sstream>

namespace crocusport::testing {

namespace {

using namespace std::chrono_literals;

constexpr Duration kTick = 50ms;

std::optional<PublishedDocument> readDocument(const std::string &value)
{
    std::istringstream text(value);
    std::uint64_t version = 0;
    std::string id;
    if (!(text >> version >> id))
        return std::nullopt;
    return PublishedDocument { ConfigurationVersion(version), id };
}

} // namespace

Cluster::Cluster(const std::vector<std::string> &names, std::uint64_t seed)
    : store(seed), random_(seed)
{
    for (const auto *const pool : { "p0", "p1", "p2" }) {
        for (int i = 0; i < 3; ++i) {
            BackendServer server;
            server.name = BackendServerName(std::string(pool) + "-" + std::to_string(i));
            server.pool = PoolName(pool);
            server.slots = 4;
            servers_.push_back(server);
        }
    }
    for (const auto &name : names)
        nodes_[name];
    for (const auto &name : names)
        start(name);
}

void Cluster::start(const std::string &name)
{
    Node &node = nodes_.at(name);
    node = {};
    node.incarnation = lastIncarnation_ += 100;
    const MemberInfo self { RouterName(name),    Incarnation(node.incarnation),
                            SocketAddress(name), AvailabilityZone("zone"),
                            Region("region"),    MemberState::Alive };
    node.membership = std::make_unique<Membership>(self, MembershipPolicy {}, random_());
    node.broker = std::make_unique<SlotBroker>(self.name, QueuePolicy::Holder, random_());
    node.replica = std::make_unique<ConfigurationReplica>(self.name);
    node.broker->setBackendServers(servers_, now_);
    std::vector<SocketAddress> seeds;
    for (const auto &[other, peer] : nodes_) {
        if (seeds.size() < 2)
            seeds.emplace_back(other);
    }
    node.membership->setSeeds(seeds);
}

void Cluster::kill(const std::string &name)
{
    nodes_.at(name) = {};
    for (auto &[other, node] : nodes_)
        node.links.erase(name);
}

void Cluster::resume(const std::string &name)
{
    Node &node = nodes_.at(name);
    if (!node.membership)
        return;
    node.isPaused = false;
    // Ticks first: a timer may run before the messages that arrived during the pause are read.
    tick(name);
    for (const auto &event : std::exchange(node.deferred, {}))
        event();
}

void Cluster::cut(const std::string &first, const std::string &second)
{
    cuts_.emplace(first, second);
    cuts_.emplace(second, first);
}

bool Cluster::isRunning(const std::string &name) const
{
    const Node &node = nodes_.at(name);
    return node.membership && !node.isPaused;
}

bool Cluster::canReach(const std::string &from, const std::string &to) const
{
    return cuts_.count({ from, to }) == 0 && nodes_.at(to).membership;
}

void Cluster::at(Instant time, const std::string &name, std::function<void()> event)
{
    const auto incarnation = nodes_.at(name).incarnation;
    events_.emplace(time, [this, name, incarnation, event = std::move(event)] {
        Node &node = nodes_.at(name);
        if (!node.membership || node.incarnation != incarnation)
            return;
        if (node.isPaused)
            node.deferred.push_back(event);
        else
            event();
    });
}

void Cluster::connect(const std::string &from, const std::string &to)
{
    Node &node = nodes_.at(from);
    Node &peer = nodes_.at(to);
    if (node.links.count(to) > 0 || !canReach(from, to) || peer.isPaused)
        return;
    node.links.insert(to);
    peer.links.insert(from);
    node.membership->addPeer(peer.membership->self(), now_);
    peer.membership->addPeer(node.membership->self(), now_);
}

void Cluster::deliver(const std::string &from, const OutgoingMessage &outgoing)
{
    const auto &to = outgoing.to.value();
    ++messagesSent_;
    connect(from, to);
    const auto chance = [&] { return std::uniform_real_distribution<>(0, 1)(random_); };
    if (!canReach(from, to) || nodes_.at(from).links.count(to) == 0 || chance() < loss)
        return;
    const int copies = chance() < duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        std::uniform_int_distribution<Duration::rep> delay(0, maxDelay.count());
        at(now_ + Duration(delay(random_)), to,
           [this, from, to, message = outgoing.message] { receive(from, to, message); });
    }
}

void Cluster::receive(const std::string &from, const std::string &to, const PeerMessage &message)
{
    Node &node = nodes_.at(to);
    const RouterName sender(from);
    node.membership->handleMessage(sender, message, now_);
    node.broker->handleMessage(sender, message, now_);
    if (const auto *const ping = std::get_if<PingMessage>(&message))
        node.replica->recordPeerVersion(sender, ping->configurationVersion);
    if (const auto *const ack = std::get_if<AckMessage>(&message))
        node.replica->recordPeerVersion(sender, ack->configurationVersion);
    if (const auto *const asked = std::get_if<ConfigurationRequestMessage>(&message)) {
        if (const auto answer = node.replica->answer(sender, *asked))
            deliver(to, *answer);
    }
    if (const auto *const sent = std::get_if<ConfigurationMessage>(&message))
        adopt(to, sent->document, ConfigurationSource::Peer);
    for (const auto &outgoing : node.membership->takeMessages())
        deliver(to, outgoing);
    runBroker(to);
}

void Cluster::adopt(const std::string &name, const std::string &document,
                    ConfigurationSource source)
{
    Node &node = nodes_.at(name);
    auto configuration = std::make_shared<Configuration>();
    configuration->version = readDocument(document)->version;
    if (node.replica->adopt(configuration, document, source)) {
        node.membership->setConfigurationVersion(configuration->version);
        node.broker->setConfiguration(configuration, now_);
    }
}

void Cluster::readStore(const std::string &name)
{
    const auto incarnation = nodes_.at(name).incarnation;
    store.get(kConfigurationKey, [this, name, incarnation](const auto &result) {
        const auto *const entry = std::get_if<std::optional<StoreEntry>>(&result);
        if (entry && *entry && isRunning(name) && nodes_.at(name).incarnation == incarnation)
            adopt(name, (*entry)->value, ConfigurationSource::Store);
    });
}

void Cluster::healAll()
{
    cuts_.clear();
    drops_ = 0;
}

void Cluster::updateMembers(const std::string &name)
{
    Node &node = nodes_.at(name);
    const auto before = std::exchange(node.live, node.membership->liveMembers());
    for (const auto &member : before) {
        if (isRunning(member.value())
            && nodes_.at(member.value()).membership->self().state == MemberState::Alive
            && !std::binary_search(node.live.begin(), node.live.end(), member))
            ++drops_;
    }
    node.broker->setMembers(node.live, node.membership->leavingMembers(), now_);
    node.replica->setMembers(node.live);
}

void Cluster::tick(const std::string &name)
{
    Node &node = nodes_.at(name);
    auto &membership = *node.membership;
    membership.tick(now_);
    for (const auto &link : membership.takeStaleLinks()) {
        node.links.erase(link.value());
        nodes_.at(link.value()).links.erase(name);
    }
    for (const auto &address : membership.takeAddressesToTry(now_))
        connect(name, address.value());
    for (const auto &observation : membership.takeObservations()) {
        node.observations.insert(observation);
        node.broker->observe(observation, now_);
    }
    if (membership.takeMembersChanged())
        updateMembers(name);
    if (node.replica->isStoreWatcher())
        readStore(name);
    for (const auto &outgoing : node.replica->tick(now_))
        deliver(name, outgoing);
    for (const auto &outgoing : membership.takeMessages())
        deliver(name, outgoing);
    runBroker(name);
}

void Cluster::tickAll()
{
    for (const auto &name : runningNodes())
        tick(name);
}

void Cluster::runBroker(const std::string &name)
{
    SlotBroker &broker = *nodes_.at(name).broker;
    const auto output = broker.run(now_);
    for (const auto &outgoing : output.messages)
        deliver(name, outgoing);
    for (const auto &grant : output.grants)
        handleGrant(name, grant);
    for (const auto &refusal : output.refusals) {
        ++requests_.at(refusal.request.value()).refusals;
        requests_.at(refusal.request.value()).decidedAt = now_;
    }
    if (const auto next = broker.nextRunTime(now_))
        at(std::max(*next, now_ + 1ms), name, [this, name] {
            const auto current = nodes_.at(name).broker->nextRunTime(now_);
            if (current && *current <= now_)
                runBroker(name);
        });
}

void Cluster::handleGrant(const std::string &name, const SlotGrant &grant)
{
    Request &request = requests_.at(grant.request.value());
    ++request.grants;
    request.decidedAt = now_;
    at(now_ + serviceTimes_.at(grant.request.value()), name, [this, name, grant] {
        SlotRelease release;
        release.request = grant.request;
        release.pool = grant.pool;
        release.server = grant.server;
        release.serviceTime = serviceTimes_.at(grant.request.value());
        nodes_.at(name).broker->release(release, now_);
        runBroker(name);
    });
}

void Cluster::advanceTo(Instant time)
{
    while (true) {
        const auto next = events_.empty() ? nextTick_ : std::min(nextTick_, events_.begin()->first);
        if (next > time)
            break;
        now_ = std::max(now_, next);
        store.advance(now_);
        if (next == nextTick_) {
            nextTick_ += kTick;
            tickAll();
            continue;
        }
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
    }
    now_ = time;
}

void Cluster::request(const std::string &router, const std::string &pool, int tier,
                      Duration deadline, Duration service)
{
    SlotRequest request;
    request.request = RequestId("q" + std::to_string(requests_.size()));
    request.pool = PoolName(pool);
    request.requestClass = ClassName("class");
    request.team = TeamName("team");
    request.tier = Tier(tier);
    request.arrived = now_;
    request.deadline = now_ + deadline;
    requests_[request.request.value()] = {
        router, nodes_.at(router).incarnation, false, 0, 0, {}, request.deadline
    };
    serviceTimes_[request.request.value()] = service;
    nodes_.at(router).broker->request(request, now_);
    runBroker(router);
}

void Cluster::cancelAll(const std::string &router)
{
    for (auto &[id, request] : requests_) {
        if (request.router != router || request.grants + request.refusals > 0)
            continue;
        request.isCancelled = true;
        nodes_.at(router).broker->cancel(RequestId(id), now_);
    }
    runBroker(router);
}

void Cluster::publish(const std::string &publishId)
{
    Publication publication;
    publication.publishId = publishId;
    publication.encode = [](ConfigurationVersion version, const std::string &id) {
        return std::to_string(version.value()) + " " + id;
    };
    publication.decode = readDocument;
    Publisher(store).publish(publication, [this, publishId](const auto &result) {
        const auto *const error = std::get_if<Error>(&result);
        publications_[publishId] = error ? std::string(resultCodeName(error->code)) : "ok";
    });
}

void Cluster::observe(const std::string &router, const std::string &server)
{
    Observation observation;
    observation.kind = ObservationKind::Leaving;
    observation.server = BackendServerName(server);
    nodes_.at(router).membership->addObservation(observation, now_);
    nodes_.at(router).observations.insert(observation);
}

bool Cluster::hasIncarnation(const std::string &name, std::uint64_t incarnation) const
{
    return nodes_.at(name).membership && nodes_.at(name).incarnation == incarnation;
}

std::vector<std::string> Cluster::runningNodes() const
{
    std::vector<std::string> names;
    for (const auto &[name, node] : nodes_) {
        if (isRunning(name))
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> Cluster::liveSeenBy(const std::string &name) const
{
    std::vector<std::string> names;
    for (const auto &member : nodes_.at(name).membership->liveMembers())
        names.push_back(member.value());
    return names;
}

std::string Cluster::holderSeenBy(const std::string &name, const std::string &pool) const
{
    return nodes_.at(name).broker->holderOf(PoolName(pool)).value();
}

std::uint32_t Cluster::countedSlots() const
{
    std::uint32_t slots = 0;
    for (const auto &name : runningNodes()) {
        for (const auto &pool : nodes_.at(name).broker->status(now_)) {
            for (const auto &server : pool.servers)
                slots += server.running;
        }
    }
    return slots;
}

std::uint64_t Cluster::versionOf(const std::string &name) const
{
    return nodes_.at(name).replica->version().value();
}

std::uint64_t Cluster::storedVersion() const
{
    const auto entry = store.find(kConfigurationKey);
    return entry ? readDocument(entry->value)->version.value() : 0;
}

std::size_t Cluster::observationsAt(const std::string &name) const
{
    return nodes_.at(name).observations.size();
}

} // namespace crocusport::testing
