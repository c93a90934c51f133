#ifndef CROCUSPORT_RAWPEER_H
#define CROCUSPORT_RAWPEER_H

#include "rawclient.h"

#include "websocketendpoint.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace crocusport {

//! A WebSocket connection to a peer network, on which the test can send invalid messages.
class RawPeer
{
public:
    RawPeer(EventLoop &loop, const SocketAddress &address);

    RawPeer(const RawPeer &) = delete;
    RawPeer &operator=(const RawPeer &) = delete;

    void send(const std::string &message) { endpoint_->send(message); }
    bool isClosed() const { return socket_.isClosed(); }
    //! Processes the bytes received. Returns whether the WebSocket handshake is complete.
    bool isOpen();

private:
    RawClient socket_;
    std::unique_ptr<WebSocketEndpoint> endpoint_;
    std::size_t taken_ = 0;
    bool isOpen_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_RAWPEER_H
