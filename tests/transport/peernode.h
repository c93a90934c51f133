#ifndef CROCUSPORT_PEERNODE_H
#define CROCUSPORT_PEERNODE_H

#include "crocusport/transport/peernetwork.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace crocusport {

//! The peer network of one router. Records what its handlers receive.
class PeerNode
{
public:
    using Adjust = std::function<void(PeerNetwork::Options &)>;

    PeerNode(EventLoop &loop, const std::string &name, const Adjust &adjust = {});

    PeerNode(const PeerNode &) = delete;
    PeerNode &operator=(const PeerNode &) = delete;

    PeerNetwork &network() { return *network_; }
    RouterName name() const { return network_->self().name; }
    SocketAddress address() const { return network_->self().address; }
    //! Sends a ping with \a sequence, which identifies the message in pingsFrom().
    void ping(const PeerNode &to, std::uint64_t sequence);
    bool hasLink(const PeerNode &to) const { return network_->hasLink(to.name()); }
    //! Sequence numbers of the pings received from \a from, in the order received.
    std::vector<std::uint64_t> pingsFrom(const PeerNode &from) const;

    //! Called with each message, after it has been recorded.
    std::function<void(const RouterName &from)> onMessage;
    std::vector<std::pair<RouterName, PeerMessage>> messages;
    std::vector<MemberInfo> linkUps;
    std::vector<RouterName> linkDowns;

private:
    std::unique_ptr<PeerNetwork> network_;
};

} // namespace crocusport

#endif // CROCUSPORT_PEERNODE_H
