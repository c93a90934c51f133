#ifndef CROCUSPORT_FAULTPROXY_H
#define CROCUSPORT_FAULTPROXY_H

#include "crocusport/state/identifiers.h"
#include "crocusport/transport/eventloop.h"
#include "crocusport/transport/timer.h"

#include <event2/listener.h>

#include <list>
#include <memory>

struct bufferevent;

namespace crocusport {

/*!
    Forwards TCP connections on loopback and injects faults into them.

    Thread safety: loop thread only.
*/
class FaultProxy
{
public:
    //! What happens to bytes: Reset also ends the connections that are open, Delay passes them on
    //! in bursts.
    enum class Fault { None, Silent, OneWay, Reset, Delay };

    FaultProxy(EventLoop &loop, SocketAddress target);
    ~FaultProxy();

    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    const SocketAddress &address() const { return address_; }
    void setFault(Fault fault);

private:
    struct Link
    {
        FaultProxy *proxy = nullptr;
        bufferevent *client = nullptr;
        bufferevent *server = nullptr;
        bool isStuck = false; //!< Went silent, and stays so for good.
    };

    static void onAccepted(evconnlistener *listener, int socket, sockaddr *address, int size,
                           void *self);
    static void onRead(bufferevent *from, void *link);
    static void onDrained(bufferevent *to, void *link);
    static void onEvent(bufferevent *from, short what, void *link);
    void close(Link *link, bool isReset);
    void passDelayed();

    EventLoop &loop_;
    SocketAddress target_;
    SocketAddress address_;
    evconnlistener *listener_ = nullptr;
    std::list<Link> links_;
    Fault fault_ = Fault::None;
    Timer delayTimer_;
};

} // namespace crocusport

#endif // CROCUSPORT_FAULTPROXY_H
