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
        std::function<void(const MemberInfo &peer)> onLinkUp;
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
    //! Sends \a message to \a to, opening a link to \a address when there is none.
    void send(const RouterName &to, const SocketAddress &address, const PeerMessage &message);
    //! Closes the link to \a peer, if any; the next send opens a new one.
    void closeLink(const RouterName &peer);
    bool hasLink(const RouterName &peer) const;
    std::size_t linkCount() const;
    //! Bytes received and sent on all links since the start.
    std::uint64_t bytesReceived() const;
    std::uint64_t bytesSent() const;

private:
    PeerNetwork();

    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace crocusport

#endif // CROCUSPORT_PEERNETWORK_H
