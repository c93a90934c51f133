#ifndef CROCUSPORT_PEERNETWORK_H
#define CROCUSPORT_PEERNETWORK_H

#include "crocusport/coordination/peermessage.h"
#include "crocusport/state/error.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace crocusport {

class EventLoop;

/*!
    The authenticated WebSocket links between this router and its peers, the other routers. Opens a
    link when there is a message to send, and keeps links to at most \a maxLinks peers; the least
    recently used link is closed first.

    Messages on one link arrive in order; messages may be lost when their link is closed.

    When two routers dial each other at the same time, two links are opened. Both routers send on
    the link that the router with the smaller name has dialed, and receive on both links. The router
    with the smaller name closes the other link after a short delay; the other router closes it only
    if it is still open after a longer one. So the two routers do not close different links. Of two
    links that were not opened at the same time, both routers send on
    the newer one, since the older one may be dead without having been closed.

    Handlers must not destroy the network.

    Thread safety: loop thread only.
*/
class PeerNetwork
{
public:
    struct Options
    {
        SocketAddress listen;
        //! If its address is empty or has port 0, the listening address replaces it.
        MemberInfo self;
        std::string sharedKey; //!< Each peer must prove that it has the same key.
        std::size_t maxLinks = 24;
        std::size_t maxMessageBytes = 2UL * 1024 * 1024;
        //! Limit of unsent bytes. A link that exceeds it is closed; messages queued for a peer
        //! without a link are dropped.
        std::size_t maxBufferedBytes = 8UL * 1024 * 1024;
        Duration handshakeTimeout = std::chrono::seconds(2);
    };

    struct Handlers
    {
        std::function<void(const RouterName &from, PeerMessage message)> onMessage;
        //! Called when a link to \a peer is up and there was none before, or only links to an
        //! earlier incarnation of it.
        std::function<void(const MemberInfo &peer)> onLinkUp;
        //! Called when \a peer has no link any more. Called from the loop, never from a method of
        //! this class.
        std::function<void(const RouterName &peer)> onLinkDown;
    };

    //! Fails with ListenFailed.
    static Result<std::unique_ptr<PeerNetwork>> create(EventLoop &loop, Options options,
                                                       Handlers handlers);
    ~PeerNetwork();

    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    const MemberInfo &self() const;
    //! Opens a link to \a address, unless there is one or one is being opened. The name of the
    //! router need not be known; onLinkUp reports it.
    void connectTo(const SocketAddress &address);
    /*!
        Sends \a message to the router \a to, opening a link to \a address when there is none. The
        message is dropped when no link can be opened, when the router at \a address has another
        name, or when the message is larger than \a maxMessageBytes. The message is also dropped
        when \a to is this router. All messages queued for \a to are dropped when together they
        exceed \a maxBufferedBytes.
    */
    void send(const RouterName &to, const SocketAddress &address, const PeerMessage &message);
    //! Closes all links to \a peer; the next send() opens a new one.
    void closeLink(const RouterName &peer);
    bool hasLink(const RouterName &peer) const;
    //! Number of peers that have a link.
    std::size_t linkCount() const;
    //! Number of TCP connections, including those in a handshake and redundant links that are about
    //! to be closed.
    std::size_t connectionCount() const;
    //! Bytes received and sent on all links since the network was created.
    std::uint64_t bytesReceived() const;
    std::uint64_t bytesSent() const;

private:
    friend class PeerLink;
    PeerNetwork();

    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace crocusport

#endif // CROCUSPORT_PEERNETWORK_H
