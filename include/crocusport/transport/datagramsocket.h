#ifndef CROCUSPORT_DATAGRAMSOCKET_H
#define CROCUSPORT_DATAGRAMSOCKET_H

#include "crocusport/state/error.h"
#include "crocusport/state/identifiers.h"

#include <functional>
#include <memory>
#include <string_view>

struct event;

namespace crocusport {

class EventLoop;

/*!
    Sends and receives UDP datagrams, which may be lost. Meant for state of which only the newest
    value matters.

    Thread safety: loop thread only. The loop must outlive the socket.
*/
class DatagramSocket
{
public:
    using Handler = std::function<void(std::string_view datagram)>;

    /*!
        Binds to \a address ("ip:port"; port 0 picks a free port). Fails with BadSettings when
        \a address is not an IP address and port, and with ListenFailed when it cannot be bound.
    */
    static Result<std::unique_ptr<DatagramSocket>>
    create(EventLoop &loop, const SocketAddress &address, Handler onDatagram);
    ~DatagramSocket();

    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    //! The address that the socket is bound to, with the actual port.
    const SocketAddress &address() const { return address_; }
    //! Sends without blocking. Drops the datagram, without an error, when the socket does not
    //! accept it or \a to is not an IP address and port.
    void send(const SocketAddress &to, std::string_view datagram);

private:
    DatagramSocket() = default;
    static void onReadable(int socket, short what, void *self);

    int socket_ = -1;
    event *event_ = nullptr;
    SocketAddress address_;
    Handler onDatagram_;
};

} // namespace crocusport

#endif // CROCUSPORT_DATAGRAMSOCKET_H
