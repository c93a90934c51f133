#include "crocusport/transport/httpserver.h"

#include "crocusport/transport/clientmemory.h"
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
// Interval of checks for connections that must give way; only while a budget is used.
constexpr Duration kSweepInterval = std::chrono::milliseconds(100);
// One connection of this many is closed at once to make room, so that a crowd that connects does
// not cause a search for each connection.
constexpr std::size_t kRoomPart = 32;
constexpr std::size_t kMinRoom = 8;
// Kernel buffers of a caller's connection. By default they grow to megabytes, which count against
// the memory of the host but not against any budget of the process. 128 KiB at 10 ms of latency
// carry 13 MB/s.
constexpr int kKernelBufferBytes = 128 * 1024;

} // namespace

HttpServer::Private::Private(EventLoop &eventLoop, const HttpServerLimits &serverLimits,
                             Handler requestHandler, ClientMemory *clientMemory)
    : loop(eventLoop), limits(serverLimits), handler(std::move(requestHandler)),
      memory(clientMemory), resumeTimer(loop, [this] { resumeAccepting(); }),
      removalTimer(loop, [this] { removed.clear(); }), reliefTimer(loop, [this] { sweep(); }),
      sweepTimer(loop, [this] { sweep(); })
{
    if (memory)
        sweepTimer.startPeriodic(kSweepInterval);
}

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
    // Accepted sockets inherit the sizes.
    if (memory) {
        const auto socket = evconnlistener_get_fd(listener);
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &kKernelBufferBytes, sizeof(kKernelBufferBytes));
        setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &kKernelBufferBytes, sizeof(kKernelBufferBytes));
    }
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
        // Not at once: descriptors of closed connections are released by the loop.
        if (server->limits.replacesIdle)
            server->reliefTimer.startOnce(Duration::zero());
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

bool HttpServer::Private::makeRoom(std::size_t count)
{
    if (!limits.replacesIdle || connections.size() < limits.maxConnections)
        return false;
    const auto now = monotonicNow();
    std::vector<std::pair<Instant, ServerConnection *>> candidates;
    for (const auto &[key, connection] : connections) {
        if (const auto since = connection->replaceableSince(now))
            candidates.emplace_back(*since, key);
    }
    count = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end());
    for (std::size_t i = 0; i < count; ++i) {
        if (memory)
            memory->noteLoss(ClientLoss::Replaced);
        candidates[i].second->close();
    }
    return count > 0;
}

void HttpServer::Private::sweep()
{
    if (memory && memory->isPressed()) {
        const auto now = monotonicNow();
        for (const auto &[key, connection] : connections)
            connection->updateUnread(now);
        memory->relieve(now);
    }
    if (isAtLimit)
        makeRoom(std::max(limits.maxConnections / kRoomPart, kMinRoom));
    if (isAtLimit && limits.replacesIdle && !memory)
        sweepTimer.startOnce(std::min(kSweepInterval, limits.stallTime));
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

HttpServerLimits HttpServerLimits::withoutBodies(std::size_t maxConnections)
{
    constexpr std::size_t kMaxHead = 8UL * 1024;
    constexpr std::size_t kMaxFields = 128;
    HttpServerLimits limits;
    limits.maxHeadBytes = kMaxHead;
    limits.maxBodyBytes = 0;
    limits.maxConnections = maxConnections;
    limits.headTimeout = std::chrono::seconds(3);
    limits.maxFields = kMaxFields;
    limits.replacesIdle = true;
    // Such requests fit into one packet. 100 ms let a crowd of 300 hold up readiness for 3 s.
    limits.stallTime = std::chrono::milliseconds(25);
    return limits;
}

HttpServer::HttpServer() = default;

HttpServer::~HttpServer() = default;

Result<std::unique_ptr<HttpServer>> HttpServer::create(EventLoop &loop,
                                                       const SocketAddress &address,
                                                       const HttpServerLimits &limits,
                                                       Handler handler, ClientMemory *memory)
{
    std::unique_ptr<HttpServer> server(new HttpServer);
    server->d_ = std::make_unique<Private>(loop, limits, std::move(handler), memory);
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
