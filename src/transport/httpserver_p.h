#ifndef CROCUSPORT_HTTPSERVER_P_H
#define CROCUSPORT_HTTPSERVER_P_H

#include "crocusport/transport/httpserver.h"
#include "crocusport/transport/timer.h"

#include "serverconnection.h"

#include <event2/event.h>
#include <event2/listener.h>

#include <unordered_map>
#include <vector>

namespace crocusport {

struct HttpServer::Private
{
    Private(EventLoop &eventLoop, const HttpServerLimits &serverLimits, Handler requestHandler,
            ClientMemory *clientMemory);
    ~Private();

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    Result<void> listen(const SocketAddress &requested);
    void stopAccepting();
    void acceptPending();
    //! Schedules \a connection to be destroyed from the loop, since its methods may be running.
    void removeConnection(ServerConnection &connection);

    static void onAccepted(evconnlistener *listener, evutil_socket_t socket, sockaddr *peer,
                           int size, void *self);
    static void onAcceptError(evconnlistener *listener, void *self);
    void resumeAccepting();
    //! Closes connections without progress if the limit of connections is reached; \a count at
    //! most, the longest without progress first. Returns whether one was closed.
    bool makeRoom(std::size_t count);
    void sweep();

    EventLoop &loop;
    HttpServerLimits limits;
    Handler handler;
    ClientMemory *memory; //!< Null: without a budget.
    SocketAddress address;
    evconnlistener *listener = nullptr;
    Timer resumeTimer;
    Timer removalTimer;
    Timer reliefTimer; //!< Relieves the budget outside of callbacks of exchanges.
    Timer sweepTimer;  //!< Relieves the budget and makes room for new connections.
    std::unordered_map<ServerConnection *, std::unique_ptr<ServerConnection>> connections;
    std::vector<std::unique_ptr<ServerConnection>> removed;
    std::size_t openExchanges = 0;
    bool isAtLimit = false;  //!< Accepting is paused because of maxConnections.
    bool isPaused = false;   //!< Accepting is paused by pauseAccepting().
    bool isClosing = false;  //!< Responses have "Connection: close".
    bool isStopping = false; //!< Stopped accepting, or being destroyed.
};

} // namespace crocusport

#endif // CROCUSPORT_HTTPSERVER_P_H
