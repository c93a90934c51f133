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
    One TCP connection to or from a peer, including the WebSocket handshake and the authentication.

    Thread safety: loop thread only.
*/
class PeerLink
{
public:
    enum class Side { Dialed, Accepted };

    //! Takes ownership of \a buffers. \a network must outlive the link.
    PeerLink(PeerNetwork::Private &network, Side side, SocketAddress address, RouterName expected,
             bufferevent *buffers, std::uint64_t startNumber);
    ~PeerLink();

    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    //! Starts the handshake on an accepted socket, or connects.
    void start();
    //! Precondition: isUp().
    void send(std::string_view message);
    //! Closes the link; the network destroys it later from the loop. Further calls do nothing.
    void close(const std::string &reason);
    //! Makes the network check after \a delay whether the link is redundant.
    void scheduleRedundancyCheck(Duration delay);

    Side side() const { return side_; }
    bool isUp() const { return upNumber_ != 0 && !isClosed_; }
    bool isClosed() const { return isClosed_; }
    const SocketAddress &address() const { return address_; }
    //! Name of the router that this side expects at the address it dialed; empty if not known.
    const RouterName &expected() const { return expected_; }
    void setExpected(const RouterName &name) { expected_ = name; }
    //! The authenticated peer. Precondition: isUp(), now or earlier.
    const MemberInfo &peer() const { return handshake_.peer(); }
    //! Sequence numbers of the events "link started" and "link up" in the network's common order.
    std::uint64_t startNumber() const { return startNumber_; }
    std::uint64_t upNumber() const { return upNumber_; }
    void setUpNumber(std::uint64_t number) { upNumber_ = number; }
    //! Sequence number of the last use among all uses of the network's links.
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
    Timer timer_; //!< Handshake timeout; later delay of the redundancy check.
    std::uint64_t startNumber_;
    std::uint64_t upNumber_ = 0; //!< 0 until the link is up.
    std::uint64_t lastUse_ = 0;
    std::size_t handshakeBytes_ = 0; //!< Received before the link was up.
    bool isClosed_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_PEERLINK_H
