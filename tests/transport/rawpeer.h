#ifndef CROCUSPORT_RAWPEER_H
#define CROCUSPORT_RAWPEER_H

#include "rawclient.h"

#include "websocketendpoint.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace crocusport {

//! A connection to a peer network that speaks WebSocket but sends what the test says.
class RawPeer
{
public:
    RawPeer(EventLoop &loop, const SocketAddress &address);

    RawPeer(const RawPeer &) = delete;
    RawPeer &operator=(const RawPeer &) = delete;

    void send(const std::string &message) { endpoint_->send(message); }
    bool isClosed() const { return socket_.isClosed(); }
    //! Passes on what has arrived. Returns whether the WebSocket handshake is done.
    bool isOpen();

private:
    RawClient socket_;
    std::unique_ptr<WebSocketEndpoint> endpoint_;
    std::size_t taken_ = 0;
    bool isOpen_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_RAWPEER_H
