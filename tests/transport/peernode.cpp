#include "peernode.h"

#include <stdexcept>

namespace crocusport {

PeerNode::PeerNode(EventLoop &loop, const std::string &name, const Adjust &adjust)
{
    PeerNetwork::Options options;
    options.listen = SocketAddress("127.0.0.1:0");
    options.self.name = RouterName(name);
    options.self.incarnation = Incarnation(1);
    options.self.address = options.listen;
    options.self.zone = AvailabilityZone("zone-1");
    options.self.region = Region("region-1");
    options.sharedKey = "shared key";
    if (adjust)
        adjust(options);
    PeerNetwork::Handlers handlers;
    handlers.onMessage = [this](const RouterName &from, PeerMessage message) {
        messages.emplace_back(from, std::move(message));
        if (onMessage)
            onMessage(from);
    };
    handlers.onLinkUp = [this](const MemberInfo &peer) { linkUps.push_back(peer); };
    handlers.onLinkDown = [this](const RouterName &peer) { linkDowns.push_back(peer); };
    network_ = handleErrors([&] { return PeerNetwork::create(loop, options, handlers); },
                            [](const Error &error) -> std::unique_ptr<PeerNetwork> {
                                throw std::runtime_error(error.message);
                            });
}

void PeerNode::ping(const PeerNode &to, std::uint64_t sequence)
{
    PingMessage ping;
    ping.sequence = sequence;
    network_->send(to.name(), to.address(), ping);
}

std::vector<std::uint64_t> PeerNode::pingsFrom(const PeerNode &from) const
{
    std::vector<std::uint64_t> result;
    for (const auto &[name, message] : messages) {
        if (name == from.name() && std::holds_alternative<PingMessage>(message))
            result.push_back(std::get<PingMessage>(message).sequence);
    }
    return result;
}

} // namespace crocusport
