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
    Sends and receives datagrams without connections, for state of which only the newest counts.

    Thread safety: loop thread only. The loop must outlive the socket.
*/
class DatagramSocket
{
public:
    using Handler = std::function<void(std::string_view datagram)>;

    //! Listens on \a address ("ip:port"; port 0 takes a free one). Fails with ListenFailed.
    static Result<std::unique_ptr<DatagramSocket>>
    create(EventLoop &loop, const SocketAddress &address, Handler onDatagram);
    ~DatagramSocket();

    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    //! The address in use, with the actual port.
    const SocketAddress &address() const { return address_; }
    //! Sends at once; a datagram that the socket does not take is lost, as on the network.
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
