#include "peercontrol.h"

#include "logline.h"

#include "crocusport/protocol/digest.h"
#include "crocusport/transport/eventloop.h"

#include <glog/logging.h>

#include <utility>

namespace crocusport {

namespace {

// Short against the acknowledgement timeout of 250 ms, so that timeouts are noticed in time.
constexpr Duration kTickInterval = std::chrono::milliseconds(50);

} // namespace

Result<std::unique_ptr<PeerControl>> PeerControl::create(EventLoop &loop,
                                                         PeerNetwork::Options options,
                                                         std::vector<SocketAddress> seeds,
                                                         Handlers handlers)
{
    std::unique_ptr<PeerControl> control(new PeerControl(loop, std::move(handlers)));
    PeerNetwork::Handlers networkHandlers;
    networkHandlers.onMessage = [self = control.get()](const RouterName &from,
                                                       const PeerMessage &message) {
        self->onMessage(from, message);
    };
    networkHandlers.onLinkUp = [self = control.get()](const MemberInfo &peer) {
        LOG(INFO) << LogLine("peer_link_up").add("peer", peer.name.value()).text();
        self->membership_->addPeer(peer, monotonicNow());
        self->flush();
    };
    networkHandlers.onLinkDown = [](const RouterName &peer) {
        LOG(INFO) << LogLine("peer_link_down").add("peer", peer.value()).text();
    };
    BOOST_LEAF_ASSIGN(control->network_,
                      PeerNetwork::create(loop, std::move(options), std::move(networkHandlers)));
    control->membership_ =
        std::make_unique<Membership>(control->network_->self(), MembershipPolicy {}, randomSeed());
    control->membership_->setSeeds(std::move(seeds));
    control->tickTimer_.startPeriodic(kTickInterval);
    return control;
}

PeerControl::PeerControl(EventLoop &loop, Handlers handlers)
    : handlers_(std::move(handlers)), tickTimer_(loop, [this] { tick(); })
{ }

void PeerControl::send(const OutgoingMessage &message)
{
    if (const auto address = membership_->addressOf(message.to))
        network_->send(message.to, *address, message.message);
}

void PeerControl::observe(const Observation &observation)
{
    membership_->addObservation(observation, monotonicNow());
}

void PeerControl::setConfigurationVersion(ConfigurationVersion version)
{
    membership_->setConfigurationVersion(version);
}

void PeerControl::leave()
{
    membership_->leave(monotonicNow());
    flush();
}

void PeerControl::onMessage(const RouterName &from, const PeerMessage &message)
{
    membership_->handleMessage(from, message, monotonicNow());
    handlers_.onMessage(from, message);
    flush();
}

void PeerControl::tick()
{
    const auto now = monotonicNow();
    membership_->tick(now);
    for (const auto &address : membership_->takeAddressesToTry(now)) {
        if (address != network_->self().address)
            network_->connectTo(address);
    }
    for (const auto &peer : membership_->takeStaleLinks())
        network_->closeLink(peer);
    flush();
}

void PeerControl::flush()
{
    for (const auto &message : membership_->takeMessages())
        send(message);
    for (const auto &observation : membership_->takeObservations())
        handlers_.onObservation(observation);
    if (membership_->takeMembersChanged())
        handlers_.onMembersChanged(membership_->liveMembers());
}

} // namespace crocusport
