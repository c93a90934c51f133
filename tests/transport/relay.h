#ifndef CROCUSPORT_RELAY_H
#define CROCUSPORT_RELAY_H

#include "crocusport/state/identifiers.h"
#include "crocusport/transport/eventloop.h"

#include <memory>
#include <vector>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace crocusport {

//! A TCP proxy to one address that can stop forwarding, like a broken network path.
class Relay
{
public:
    Relay(EventLoop &loop, SocketAddress target);
    ~Relay();

    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    const SocketAddress &address() const { return address_; }
    //! From now on forwards nothing, not even the close of a connection.
    void stopForwarding() { isForwardingStopped_ = true; }

private:
    struct Direction
    {
        Relay *relay = nullptr;
        bufferevent *from = nullptr;
        bufferevent *to = nullptr;
    };

    static void onAccepted(evconnlistener *listener, int socket, sockaddr *address, int size,
                           void *self);
    static void onRead(bufferevent *from, void *direction);
    void addDirection(bufferevent *from, bufferevent *to);

    EventLoop &loop_;
    SocketAddress target_;
    evconnlistener *listener_ = nullptr;
    SocketAddress address_;
    std::vector<std::unique_ptr<Direction>> directions_;
    bool isForwardingStopped_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_RELAY_H
