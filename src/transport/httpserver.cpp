#include "crocusport/transport/httpserver.h"

#include "crocusport/transport/eventloop.h"

#include "httpserver_p.h"
#include "socketaddresses.h"
#include "timevalue.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cassert>
#include <utility>

namespace crocusport {

namespace {

// Pause after accept() failed for lack of descriptors, so that the loop does not spin on it.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

} // namespace

HttpServer::Private::Private(EventLoop &eventLoop, const HttpServerLimits &serverLimits,
                             Handler requestHandler)
    : loop(eventLoop), limits(serverLimits), handler(std::move(requestHandler)),
      resumeTimer(loop, [this] { resumeAccepting(); })
{ }

HttpServer::Private::~Private()
{
    isStopping = true;
    listener = nullptr;
    if (adoptEvent)
        event_free(adoptEvent);
    for (auto *const bufferevent : accepted)
        bufferevent_decref(bufferevent);
    if (http)
        evhttp_free(http); // Closes each connection, which empties the map.
}

Result<void> HttpServer::Private::listen(const SocketAddress &requested)
{
    BOOST_LEAF_ASSIGN(listener, openListener(loop.base(), requested, nullptr, nullptr));
    http = evhttp_new(loop.base());
    adoptEvent = event_new(loop.base(), -1, 0, &Private::onAdopt, this);
    boundSocket = http ? evhttp_bind_listener(http, listener) : nullptr;
    if (!boundSocket || !adoptEvent) {
        if (!boundSocket)
            evconnlistener_free(std::exchange(listener, nullptr));
        return makeError(ResultCode::ListenFailed, "cannot listen on " + requested.value());
    }
    evconnlistener_set_error_cb(listener, &Private::onAcceptError);
    resumeTimer.startPeriodic(kAcceptRetryDelay);
    address = listenerAddress(listener);

    const auto idleTimeout = toTimeval(limits.idleTimeout);
    evhttp_set_timeout_tv(http, &idleTimeout);
    evhttp_set_max_headers_size(http, static_cast<ev_ssize_t>(limits.maxHeadBytes));
    evhttp_set_max_body_size(http, static_cast<ev_ssize_t>(limits.maxBodyBytes));
    evhttp_set_default_content_type(http, nullptr);
    evhttp_set_allowed_methods(http,
                               EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT
                                   | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
    // Reads the rest of a body that is too large: a socket closed with unread data is reset, and
    // the caller would lose the 413 answer.
    evhttp_set_flags(http, EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_bevcb(http, &Private::onAccepted, this);
    evhttp_set_gencb(http, &Private::onRequest, this);
    return {};
}

// evhttp reports a new connection only with its first request, but connections count, and need
// their options, from the start. This callback makes the bufferevent; the connection that evhttp
// then makes from it is taken up in onAdopt, which runs before the connection's first read.
bufferevent *HttpServer::Private::onAccepted(event_base *base, void *self)
{
    auto *const server = static_cast<Private *>(self);
    auto *const created = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (!created)
        return nullptr;
    bufferevent_incref(created);
    server->accepted.push_back(created);
    event_active(server->adoptEvent, EV_TIMEOUT, 0);
    if (server->connections.size() + server->accepted.size() >= server->limits.maxConnections) {
        server->isAtLimit = true;
        evconnlistener_disable(server->listener);
    }
    return created;
}

void HttpServer::Private::onAdopt(evutil_socket_t /*unused*/, short /*what*/, void *self)
{
    auto *const server = static_cast<Private *>(self);
    for (auto *const bufferevent : std::exchange(server->accepted, {}))
        server->adopt(bufferevent);
}

void HttpServer::Private::adopt(bufferevent *accepted)
{
    // The argument of the callbacks that evhttp sets is its connection; null after a failure.
    void *argument = nullptr;
    bufferevent_getcb(accepted, nullptr, nullptr, nullptr, &argument);
    if (auto *const connection = static_cast<evhttp_connection *>(argument)) {
        assert(evhttp_connection_get_bufferevent(connection) == accepted);
        // Small events of a stream must not wait for the acknowledgement of earlier ones.
        const int enabled = 1;
        setsockopt(bufferevent_getfd(accepted), IPPROTO_TCP, TCP_NODELAY, &enabled,
                   sizeof(enabled));
        connections.emplace(connection, std::make_unique<ServerConnection>(*this, connection));
    }
    bufferevent_decref(accepted);
}

void HttpServer::Private::removeConnection(evhttp_connection *connection)
{
    connections.erase(connection);
    if (isAtLimit)
        resumeAccepting();
}

void HttpServer::Private::onRequest(evhttp_request *request, void *self)
{
    auto *const server = static_cast<Private *>(self);
    const auto found = server->connections.find(evhttp_request_get_connection(request));
    assert(found != server->connections.end());
    found->second->handleRequest(request);
}

// The argument belongs to evhttp, so the server is not known here; its timer resumes.
void HttpServer::Private::onAcceptError(evconnlistener *listener, void * /*http*/)
{
    evconnlistener_disable(listener);
}

void HttpServer::Private::resumeAccepting()
{
    if (!listener || connections.size() + accepted.size() >= limits.maxConnections)
        return;
    isAtLimit = false;
    evconnlistener_enable(listener);
}

void HttpServer::Private::stopAccepting()
{
    isStopping = true;
    resumeTimer.stop();
    if (boundSocket)
        evhttp_del_accept_socket(http, boundSocket);
    boundSocket = nullptr;
    listener = nullptr;
}

HttpServer::HttpServer() = default;

HttpServer::~HttpServer() = default;

Result<std::unique_ptr<HttpServer>> HttpServer::create(EventLoop &loop,
                                                       const SocketAddress &address,
                                                       const HttpServerLimits &limits,
                                                       Handler handler)
{
    std::unique_ptr<HttpServer> server(new HttpServer);
    server->d_ = std::make_unique<Private>(loop, limits, std::move(handler));
    BOOST_LEAF_CHECK(server->d_->listen(address));
    return server;
}

const SocketAddress &HttpServer::address() const
{
    return d_->address;
}

void HttpServer::stopAccepting()
{
    d_->stopAccepting();
}

std::size_t HttpServer::openExchanges() const
{
    return d_->openExchanges;
}

} // namespace crocusport
