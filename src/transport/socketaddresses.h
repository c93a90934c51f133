#ifndef CROCUSPORT_SOCKETADDRESSES_H
#define CROCUSPORT_SOCKETADDRESSES_H

#include "crocusport/state/error.h"
#include "crocusport/state/identifiers.h"

#include <event2/listener.h>

#include <sys/socket.h>

#include <cstdint>
#include <string>

namespace crocusport {

//! The parts of "ip:port" or "[ip]:port".
struct HostAndPort
{
    std::string host;
    std::uint16_t port = 0;
};

//! Splits \a address. Fails with BadSettings. Safe from any thread.
Result<HostAndPort> splitSocketAddress(const SocketAddress &address);
//! Joins \a host and \a port; an IPv6 address gets brackets. Safe from any thread.
SocketAddress joinSocketAddress(const std::string &host, std::uint16_t port);

//! An IP address and port in the form that the socket functions expect.
struct RawSocketAddress
{
    sockaddr_storage storage {};
    int size = 0;

    const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&storage); }
};

//! Converts \a address. Fails with BadSettings when it is not an IP address and port.
Result<RawSocketAddress> parseSocketAddress(const SocketAddress &address);
/*!
    Listens on \a address; port 0 picks a free port. Accepted sockets are passed to \a callback,
    which may be null until evconnlistener_set_cb(). Fails with ListenFailed. Loop thread only.
*/
Result<evconnlistener *> openListener(event_base *base, const SocketAddress &address,
                                      evconnlistener_cb callback, void *argument);
//! Returns \a address as text; empty unless it is an IP address. Safe from any thread.
SocketAddress toSocketAddress(const sockaddr &address);
//! Returns the address that \a listener is bound to, with the actual port. Loop thread only.
SocketAddress listenerAddress(evconnlistener *listener);

} // namespace crocusport

#endif // CROCUSPORT_SOCKETADDRESSES_H
