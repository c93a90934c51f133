#include "crocusport/transport/httpserver.h"

#include "crocusport/transport/eventloop.h"

#include "httpserver_p.h"
#include "socketaddresses.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

// Delay after a failed accept(), e.g. for lack of file descriptors, so that the loop does not spin.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

} // namespace

HttpServer::Private::Private(EventLoop &eventLoop, const HttpServerLimits &serverLimits,
                             Handler requestHandler)
    : loop(eventLoop), limits(serverLimits), handler(std::move(requestHandler)),
      resumeTimer(loop, [this] { resumeAccepting(); }),
      removalTimer(loop, [this] { removed.clear(); })
{ }

HttpServer::Private::~Private()
{
    isStopping = true;
    if (listener)
        evconnlistener_free(std::exchange(listener, nullptr));
    while (!connections.empty())
        connections.begin()->second->close();
}

Result<void> HttpServer::Private::listen(const SocketAddress &requested)
{
    BOOST_LEAF_ASSIGN(listener, openListener(loop.base(), requested, &Private::onAccepted, this));
    evconnlistener_set_error_cb(listener, &Private::onAcceptError);
    address = listenerAddress(listener);
    return {};
}

void HttpServer::Private::onAccepted(evconnlistener * /*listener*/, evutil_socket_t socket,
                                     sockaddr * /*peer*/, int /*size*/, void *self)
{
    auto *const server = static_cast<Private *>(self);
    // Nagle's algorithm would delay small events of a stream until earlier ones are acknowledged.
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    auto connection = std::make_unique<ServerConnection>(*server, socket);
    auto *const key = connection.get();
    server->connections.emplace(key, std::move(connection));
    if (server->connections.size() >= server->limits.maxConnections) {
        server->isAtLimit = true;
        evconnlistener_disable(server->listener);
    }
}

void HttpServer::Private::removeConnection(ServerConnection &connection)
{
    const auto found = connections.find(&connection);
    if (found == connections.end())
        return;
    removed.push_back(std::move(found->second));
    connections.erase(found);
    removalTimer.startOnce(Duration::zero());
    if (isAtLimit)
        resumeAccepting();
}

void HttpServer::Private::onAcceptError(evconnlistener *listener, void *self)
{
    evconnlistener_disable(listener);
    static_cast<Private *>(self)->resumeTimer.startOnce(kAcceptRetryDelay);
}

void HttpServer::Private::resumeAccepting()
{
    if (!listener || isPaused || connections.size() >= limits.maxConnections)
        return;
    isAtLimit = false;
    evconnlistener_enable(listener);
}

void HttpServer::Private::stopAccepting()
{
    isStopping = true;
    isClosing = true;
    resumeTimer.stop();
    if (listener) {
        acceptPending();
        evconnlistener_free(std::exchange(listener, nullptr));
    }
    std::vector<ServerConnection *> open;
    open.reserve(connections.size());
    for (const auto &[key, connection] : connections)
        open.push_back(key);
    for (auto *const connection : open)
        connection->closeWhenIdle();
}

// Accepts the connections in the kernel's queue, since closing the listener would reset them.
void HttpServer::Private::acceptPending()
{
    while (connections.size() < limits.maxConnections) {
        const auto socket = accept4(evconnlistener_get_fd(listener), nullptr, nullptr,
                                    SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0)
            return;
        onAccepted(listener, socket, nullptr, 0, this);
    }
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

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    d_->limits = limits;
}

void HttpServer::pauseAccepting()
{
    d_->isPaused = true;
    if (d_->listener)
        evconnlistener_disable(d_->listener);
}

void HttpServer::resumeAccepting()
{
    if (std::exchange(d_->isPaused, false))
        d_->resumeAccepting();
}

void HttpServer::stopAccepting()
{
    d_->stopAccepting();
}

void HttpServer::closeAfterResponses()
{
    d_->isClosing = true;
}

std::size_t HttpServer::openExchanges() const
{
    const auto unsent =
        std::count_if(d_->connections.begin(), d_->connections.end(),
                      [](const auto &entry) { return entry.second->hasUnsentResponse(); });
    return d_->openExchanges + static_cast<std::size_t>(unsent);
}

std::size_t HttpServer::connectionCount() const
{
    return d_->connections.size();
}

} // namespace crocusport
