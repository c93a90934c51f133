#include "crocusport/transport/peernetwork.h"

#include "peernetwork_p.h"

#include <utility>

namespace crocusport {

PeerNetwork::PeerNetwork() = default;

PeerNetwork::~PeerNetwork() = default;

Result<std::unique_ptr<PeerNetwork>> PeerNetwork::create(EventLoop &loop, Options options,
                                                         Handlers handlers)
{
    std::unique_ptr<PeerNetwork> network(new PeerNetwork);
    network->d_ = std::make_unique<Private>(loop, std::move(options), std::move(handlers));
    BOOST_LEAF_CHECK(network->d_->listen());
    return network;
}

const MemberInfo &PeerNetwork::self() const
{
    return d_->options.self;
}

void PeerNetwork::connectTo(const SocketAddress &address)
{
    d_->connectTo(address);
}

void PeerNetwork::send(const RouterName &to, const SocketAddress &address,
                       const PeerMessage &message)
{
    d_->send(to, address, message);
}

void PeerNetwork::closeLink(const RouterName &peer)
{
    d_->closeLink(peer);
}

bool PeerNetwork::hasLink(const RouterName &peer) const
{
    return d_->currentLink(peer) != nullptr;
}

std::size_t PeerNetwork::linkCount() const
{
    return d_->current.size();
}

std::size_t PeerNetwork::connectionCount() const
{
    return d_->links.size();
}

std::uint64_t PeerNetwork::bytesReceived() const
{
    return d_->bytesReceived;
}

std::uint64_t PeerNetwork::bytesSent() const
{
    return d_->bytesSent;
}

} // namespace crocusport
