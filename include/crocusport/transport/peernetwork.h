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
    The authenticated WebSocket links between routers. Opens a link when there is something to send,
    and keeps at most \a maxLinks; the least recently used is closed first.

    Messages on one link arrive in order; a message may be lost when its link breaks.

    Two routers that dial each other at the same time get two links. Both prefer the one that the
    router with the smaller name has dialed, and both receive on either. That router closes the
    other one shortly after, so that the two never close different ones. Of links that did not
    start at the same time, the newer is preferred, since the older may have gone silent.

    Handlers must not destroy the network.

    Thread safety: loop thread only.
*/
class PeerNetwork
{
public:
    struct Options
    {
        SocketAddress listen;
        MemberInfo self;       //!< address is set to the listening address when its port is 0.
        std::string sharedKey; //!< Peers must prove that they hold it.
        std::size_t maxLinks = 24;
        std::size_t maxMessageBytes = 2UL * 1024 * 1024;
        std::size_t maxBufferedBytes = 8UL * 1024 * 1024; //!< For each link; more closes it.
        Duration handshakeTimeout = std::chrono::seconds(2);
    };

    struct Handlers
    {
        std::function<void(const RouterName &from, PeerMessage message)> onMessage;
        //! The peer has its first link, or one with another incarnation than before.
        std::function<void(const MemberInfo &peer)> onLinkUp;
        //! The peer has no link any more. Called from the loop, never inside a method.
        std::function<void(const RouterName &peer)> onLinkDown;
    };

    //! Fails with ListenFailed.
    static Result<std::unique_ptr<PeerNetwork>> create(EventLoop &loop, Options options,
                                                       Handlers handlers);
    ~PeerNetwork();

    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    const MemberInfo &self() const;
    //! Opens a link to an address whose router is not known yet; onLinkUp tells who it is.
    void connectTo(const SocketAddress &address);
    /*!
        Sends \a message to \a to, opening a link to \a address when there is none. The message is
        dropped when another router answers there, or when it is over \a maxMessageBytes.
    */
    void send(const RouterName &to, const SocketAddress &address, const PeerMessage &message);
    //! Closes the link to \a peer, if any; the next send opens a new one.
    void closeLink(const RouterName &peer);
    bool hasLink(const RouterName &peer) const;
    //! Number of peers that have a link.
    std::size_t linkCount() const;
    //! Number of TCP connections, with those in a handshake or about to be closed.
    std::size_t connectionCount() const;
    //! Bytes received and sent on all links since the start.
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
