#ifndef CROCUSPORT_PEERLINK_H
#define CROCUSPORT_PEERLINK_H

#include "crocusport/transport/peernetwork.h"
#include "crocusport/transport/timer.h"

#include "peerhandshake.h"
#include "websocketendpoint.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace crocusport {

/*!
    One TCP connection to a peer, from the WebSocket handshake to its end.

    Thread safety: loop thread only.
*/
class PeerLink
{
public:
    enum class Side { Dialed, Accepted };

    //! Takes \a buffers. \a network must outlive the link.
    PeerLink(PeerNetwork::Private &network, Side side, SocketAddress address, RouterName expected,
             bufferevent *buffers, std::uint64_t startNumber);
    ~PeerLink();

    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    //! Starts the handshake on an accepted socket, or connects.
    void start();
    //! Precondition: isUp().
    void send(std::string_view message);
    //! Closes the link; the network destroys it from the loop. Further calls do nothing.
    void close(const std::string &reason);
    //! Has the network look at the link again after \a delay.
    void reviewLater(Duration delay);

    Side side() const { return side_; }
    bool isUp() const { return upNumber_ != 0 && !isClosed_; }
    bool isClosed() const { return isClosed_; }
    const SocketAddress &address() const { return address_; }
    //! Name that the dialer expects; empty when it is not known.
    const RouterName &expected() const { return expected_; }
    void setExpected(const RouterName &name) { expected_ = name; }
    //! Precondition: isUp() or was up.
    const MemberInfo &peer() const { return handshake_.peer(); }
    //! Positions of the start and of coming up in the order of all such events of the network.
    std::uint64_t startNumber() const { return startNumber_; }
    std::uint64_t upNumber() const { return upNumber_; }
    void setUpNumber(std::uint64_t number) { upNumber_ = number; }
    //! Position of the last use in the order of all uses.
    std::uint64_t lastUse() const { return lastUse_; }
    void setLastUse(std::uint64_t number) { lastUse_ = number; }

private:
    static void onRead(bufferevent *buffers, void *self);
    static void onEvent(bufferevent *buffers, short what, void *self);

    WebSocketEndpoint::Handlers endpointHandlers();
    void onOutput(std::string_view bytes);
    void onMessage(const std::string &bytes);
    void onHello(const HelloMessage &hello);
    void onTimer();
    void sendHello(const HelloMessage &hello);

    PeerNetwork::Private &network_;
    Side side_;
    SocketAddress address_;
    RouterName expected_;
    bufferevent *buffers_;
    PeerHandshake handshake_;
    WebSocketEndpoint endpoint_;
    Timer timer_; //!< Of the handshake, later of the review.
    std::uint64_t startNumber_;
    std::uint64_t upNumber_ = 0; //!< 0 until the link is up.
    std::uint64_t lastUse_ = 0;
    std::size_t handshakeBytes_ = 0; //!< Received before the link was up.
    bool isClosed_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_PEERLINK_H
