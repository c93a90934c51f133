#include "rawpeer.h"

#include "crocusport/protocol/peermessagecodec.h"

namespace crocusport {

RawPeer::RawPeer(EventLoop &loop, const SocketAddress &address) : socket_(loop, address)
{
    WebSocketEndpoint::Handlers handlers;
    handlers.onOutput = [this](std::string_view bytes) { socket_.send(bytes); };
    handlers.onOpen = [this] { isOpen_ = true; };
    handlers.onMessage = [](const std::string & /*message*/) {};
    handlers.onClosed = [](const std::string & /*reason*/) {};
    endpoint_ = std::make_unique<WebSocketEndpoint>(WebSocketEndpoint::Role::Client, "a:1",
                                                    kMaxPeerMessageBytes, handlers);
    endpoint_->start();
}

bool RawPeer::isOpen()
{
    const auto bytes = std::string_view(socket_.received()).substr(taken_);
    taken_ = socket_.received().size();
    if (!bytes.empty())
        endpoint_->receive(bytes);
    return isOpen_;
}

} // namespace crocusport
