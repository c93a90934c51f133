#ifndef CROCUSPORT_HTTPSERVER_P_H
#define CROCUSPORT_HTTPSERVER_P_H

#include "crocusport/transport/httpserver.h"
#include "crocusport/transport/timer.h"

#include "serverconnection.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <unordered_map>
#include <vector>

namespace crocusport {

struct HttpServer::Private
{
    Private(EventLoop &eventLoop, const HttpServerLimits &serverLimits, Handler requestHandler);
    ~Private();

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    Result<void> listen(const SocketAddress &requested);
    void stopAccepting();
    void removeConnection(evhttp_connection *connection);

    static bufferevent *onAccepted(event_base *base, void *self);
    static void onAdopt(evutil_socket_t unused, short what, void *self);
    static void onRequest(evhttp_request *request, void *self);
    static void onAcceptError(evconnlistener *listener, void *http);
    void adopt(bufferevent *accepted);
    void resumeAccepting();

    EventLoop &loop;
    HttpServerLimits limits;
    Handler handler;
    SocketAddress address;
    evhttp *http = nullptr;
    evhttp_bound_socket *boundSocket = nullptr;
    evconnlistener *listener = nullptr;
    event *adoptEvent = nullptr;
    Timer resumeTimer;
    std::vector<bufferevent *> accepted; //!< Not adopted yet; each holds a reference.
    std::unordered_map<evhttp_connection *, std::unique_ptr<ServerConnection>> connections;
    std::size_t openExchanges = 0;
    bool isAtLimit = false; //!< Accepting is paused because of maxConnections.
    bool isStopping = false;
};

} // namespace crocusport

#endif // CROCUSPORT_HTTPSERVER_P_H
