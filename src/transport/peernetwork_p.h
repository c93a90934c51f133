#ifndef CROCUSPORT_PEERNETWORK_P_H
#define CROCUSPORT_PEERNETWORK_P_H

#include "crocusport/transport/peernetwork.h"
#include "crocusport/transport/timer.h"

#include "peerlink.h"

#include <event2/listener.h>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusport {

struct PeerNetwork::Private
{
    //! Encoded messages that wait until a link to the peer is up.
    struct QueuedMessages
    {
        std::vector<std::string> messages;
        std::size_t bytes = 0;
    };

    Private(EventLoop &eventLoop, Options networkOptions, Handlers networkHandlers);
    ~Private();

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    Result<void> listen();
    void connectTo(const SocketAddress &address);
    //! Opens a link to \a address for the router \a expected, unless one is being opened already.
    void dial(const SocketAddress &address, const RouterName &expected);
    void send(const RouterName &to, const SocketAddress &address, const PeerMessage &message);
    void closeLink(const RouterName &peer);
    PeerLink *currentLink(const RouterName &peer) const;

    // Called by links.
    void markUp(PeerLink &link);
    void markClosed(PeerLink &link, const std::string &reason);
    void deliver(PeerLink &link, PeerMessage message);
    //! Closes \a link if it is redundant, i.e. not the current link to its peer.
    void closeIfRedundant(PeerLink &link);

    static void onAccepted(evconnlistener *listener, int socket, sockaddr *address, int size,
                           void *self);
    static void onAcceptError(evconnlistener *listener, void *self);

    PeerLink &addLink(PeerLink::Side side, const SocketAddress &address, const RouterName &expected,
                      int socket);
    PeerLink *bestLink(const RouterName &peer) const;
    bool isBetter(const PeerLink &left, const PeerLink &right) const;
    void chooseCurrentLink(const RouterName &peer);
    //! Queues \a message until a link to \a to is up.
    void queueMessage(const RouterName &to, std::string message);
    //! Drops the messages that wait for a link to \a to.
    void dropQueuedMessages(const RouterName &to, const char *reason);
    //! Closes the least recently used links, but not \a newest, until at most maxLinks peers have a
    //! link.
    void limitLinks(const PeerLink &newest);
    void limitHandshakes();
    void markUsed(PeerLink &link) { link.setLastUse(++useNumber); }
    //! Calls onLinkDown for peers that have lost their last link.
    void reportLostPeers();
    void cleanUp();

    EventLoop &loop;
    Options options;
    Handlers handlers;
    evconnlistener *listener = nullptr;
    Timer acceptTimer;
    Timer cleanUpTimer;
    std::vector<std::unique_ptr<PeerLink>> links;
    std::vector<std::unique_ptr<PeerLink>> closedLinks; //!< Destroyed from the loop.
    std::unordered_map<RouterName, PeerLink *> current; //!< For each peer, the link to send on.
    std::unordered_map<RouterName, QueuedMessages> queuedMessages;
    std::vector<RouterName> lostPeers; //!< Peers without a link for which onLinkDown is still due.
    std::uint64_t eventNumber = 0;
    std::uint64_t useNumber = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_PEERNETWORK_P_H
