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
    //! Encoded messages for a peer whose link is not up yet.
    struct WaitingMessages
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
    void dial(const SocketAddress &address, const RouterName &expected);
    void send(const RouterName &to, const SocketAddress &address, const PeerMessage &message);
    void closeLink(const RouterName &peer);
    PeerLink *currentLink(const RouterName &peer) const;

    // Called by links.
    void markUp(PeerLink &link);
    void markClosed(PeerLink &link, const std::string &reason);
    void deliver(PeerLink &link, PeerMessage message);
    //! Closes \a link if its peer has a better one.
    void review(PeerLink &link);

    static void onAccepted(evconnlistener *listener, int socket, sockaddr *address, int size,
                           void *self);
    static void onAcceptError(evconnlistener *listener, void *self);

    PeerLink &addLink(PeerLink::Side side, const SocketAddress &address, const RouterName &expected,
                      int socket);
    PeerLink *bestLink(const RouterName &peer) const;
    bool isBetter(const PeerLink &left, const PeerLink &right) const;
    void settle(const RouterName &peer);
    void wait(const RouterName &to, std::string message);
    void dropWaiting(const RouterName &to, const char *reason);
    void limitLinks(const PeerLink &newest);
    void limitHandshakes();
    void use(PeerLink &link) { link.setLastUse(++useNumber); }
    void flushDowns();
    void cleanUp();

    EventLoop &loop;
    Options options;
    Handlers handlers;
    evconnlistener *listener = nullptr;
    Timer acceptTimer;
    Timer cleanUpTimer;
    std::vector<std::unique_ptr<PeerLink>> links;
    std::vector<std::unique_ptr<PeerLink>> closedLinks; //!< Destroyed from the loop.
    std::unordered_map<RouterName, PeerLink *> current; //!< The link to send on, for each peer.
    std::unordered_map<RouterName, WaitingMessages> waiting;
    std::vector<RouterName> downs; //!< Not reported yet.
    std::uint64_t eventNumber = 0;
    std::uint64_t useNumber = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_PEERNETWORK_P_H
