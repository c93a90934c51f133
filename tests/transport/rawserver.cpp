#include "rawserver.h"

#include "socketaddresses.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/socket.h>

#include <stdexcept>
#include <utility>

namespace crocusport {

RawServer::RawServer(EventLoop &loop, std::string answer, Ending ending)
    : loop_(loop), answer_(std::move(answer)), ending_(ending)
{
    listener_ = handleErrors(
        [&] {
            return openListener(loop.base(), SocketAddress("127.0.0.1:0"), &RawServer::onAccepted,
                                this);
        },
        [](const Error &error) -> evconnlistener * { throw std::runtime_error(error.message); });
    address_ = listenerAddress(listener_);
}

RawServer::~RawServer()
{
    closeAll();
    evconnlistener_free(listener_);
}

void RawServer::onAccepted(evconnlistener * /*listener*/, int socket, sockaddr * /*address*/,
                           int /*size*/, void *self)
{
    auto *const server = static_cast<RawServer *>(self);
    ++server->connectionCount_;
    auto &connection = server->connections_.emplace_back();
    connection.server = server;
    connection.buffers =
        bufferevent_socket_new(server->loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(connection.buffers, &RawServer::onRead, &RawServer::onWritten,
                      &RawServer::onEvent, &connection);
    bufferevent_enable(connection.buffers, EV_READ | EV_WRITE);
}

void RawServer::onRead(bufferevent *buffers, void *connection)
{
    auto *const server = static_cast<Connection *>(connection)->server;
    auto *const input = bufferevent_get_input(buffers);
    while (evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos >= 0) {
        evbuffer_drain(input, evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos + 4);
        ++server->requestCount_;
        if (server->answer_.empty())
            onWritten(buffers, connection);
        else
            bufferevent_write(buffers, server->answer_.data(), server->answer_.size());
        if (server->ending_ != Ending::KeepOpen)
            return;
    }
}

void RawServer::onWritten(bufferevent *buffers, void *connection)
{
    auto *const self = static_cast<Connection *>(connection);
    if (self->server->ending_ == Ending::KeepOpen || self->server->requestCount_ == 0)
        return;
    if (self->server->ending_ == Ending::Reset) {
        const linger resetOnClose { 1, 0 };
        setsockopt(bufferevent_getfd(buffers), SOL_SOCKET, SO_LINGER, &resetOnClose,
                   sizeof(resetOnClose));
    }
    self->server->close(self);
}

void RawServer::onEvent(bufferevent * /*buffers*/, short what, void *connection)
{
    auto *const self = static_cast<Connection *>(connection);
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        self->server->close(self);
}

void RawServer::close(Connection *connection)
{
    bufferevent_free(connection->buffers);
    connections_.remove_if([&](const Connection &other) { return &other == connection; });
}

void RawServer::sendToAll(const std::string &bytes)
{
    for (const auto &connection : connections_)
        bufferevent_write(connection.buffers, bytes.data(), bytes.size());
}

void RawServer::shutDownAll()
{
    for (const auto &connection : connections_)
        shutdown(bufferevent_getfd(connection.buffers), SHUT_WR);
}

void RawServer::closeAll()
{
    while (!connections_.empty())
        close(&connections_.front());
}

} // namespace crocusport
