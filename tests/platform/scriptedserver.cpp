#include "scriptedserver.h"

#include "socketaddresses.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace crocusport {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::string field(const std::string &head, const std::string &name)
{
    const auto start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    const auto value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

} // namespace

ScriptedServer::Connection::Connection(ScriptedServer &owner, std::size_t number)
    : server(owner), index(number), timer(owner.loop_, [this] { server.act(*this); })
{ }

ScriptedServer::ScriptedServer(EventLoop &loop, Script script)
    : loop_(loop), script_(std::move(script))
{
    listener_ = handleErrors(
        [&] {
            return openListener(loop.base(), SocketAddress("127.0.0.1:0"),
                                &ScriptedServer::onAccepted, this);
        },
        [](const Error &error) -> evconnlistener * { throw std::runtime_error(error.message); });
    address_ = listenerAddress(listener_);
}

ScriptedServer::~ScriptedServer()
{
    for (auto &connection : connections_) {
        if (connection.buffers)
            close(connection);
    }
    evconnlistener_free(listener_);
}

bool ScriptedServer::isOpen(std::size_t number) const
{
    return std::any_of(connections_.begin(), connections_.end(), [&](const Connection &connection) {
        return connection.index == number && connection.buffers;
    });
}

void ScriptedServer::setReading(bool isReading)
{
    isReading_ = isReading;
    for (const auto &connection : connections_) {
        if (!connection.buffers)
            continue;
        if (isReading)
            bufferevent_enable(connection.buffers, EV_READ);
        else
            bufferevent_disable(connection.buffers, EV_READ);
    }
}

void ScriptedServer::sendToAll(const std::string &bytes)
{
    for (const auto &connection : connections_) {
        if (connection.buffers)
            bufferevent_write(connection.buffers, bytes.data(), bytes.size());
    }
}

void ScriptedServer::onAccepted(evconnlistener * /*listener*/, int socket, sockaddr * /*address*/,
                                int /*size*/, void *self)
{
    auto *const server = static_cast<ScriptedServer *>(self);
    auto &connection = server->connections_.emplace_back(*server, server->received_.size());
    server->received_.emplace_back();
    connection.buffers =
        bufferevent_socket_new(server->loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(connection.buffers, &ScriptedServer::onRead, nullptr,
                      &ScriptedServer::onEvent, &connection);
    bufferevent_enable(connection.buffers, EV_WRITE);
    if (server->isReading_)
        bufferevent_enable(connection.buffers, EV_READ);
}

void ScriptedServer::onRead(bufferevent *buffers, void *connection)
{
    auto &self = *static_cast<Connection *>(connection);
    auto *const input = bufferevent_get_input(buffers);
    const auto size = evbuffer_get_length(input);
    const auto *const data = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
    self.server.received_[self.index].append(data, size);
    evbuffer_drain(input, size);
    self.server.readRequests(self);
}

void ScriptedServer::readRequests(Connection &connection)
{
    const auto &text = received_[connection.index];
    while (true) {
        const auto headEnd = text.find(kHeadEnd, connection.parsed);
        if (headEnd == std::string::npos)
            return;
        const auto head = text.substr(connection.parsed, headEnd - connection.parsed + 2);
        const auto length = field(head, "Content-Length");
        const auto bodySize = length.empty() ? 0 : std::stoul(length);
        const auto bodyStart = headEnd + kHeadEnd.size();
        if (text.size() < bodyStart + bodySize)
            return;
        Request request;
        request.id = field(head, "X-Attempt-Id");
        const auto target = head.find(' ') + 1;
        request.target = head.substr(target, head.find(' ', target) - target);
        request.body = text.substr(bodyStart, bodySize);
        if (const auto last = field(head, "Last-Event-Id"); !last.empty())
            request.lastEventId = std::stoul(last);
        request.previousId = std::exchange(connection.previousId, request.id);
        connection.parsed = bodyStart + bodySize;
        for (auto &step : script_(request))
            connection.steps.push_back(std::move(step));
        if (!connection.timer.isActive() && !connection.steps.empty())
            connection.timer.startOnce(connection.steps.front().pause);
    }
}

void ScriptedServer::act(Connection &connection)
{
    const auto step = std::move(connection.steps.front());
    connection.steps.pop_front();
    if (step.act == Step::Act::Send) {
        bufferevent_write(connection.buffers, step.bytes.data(), step.bytes.size());
        if (!connection.steps.empty())
            connection.timer.startOnce(connection.steps.front().pause);
        return;
    }
    const auto socket = bufferevent_getfd(connection.buffers);
    if (step.act == Step::Act::Reset) {
        const linger resetOnClose { 1, 0 };
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
    }
    // Bytes of earlier steps that are still buffered must be sent: close() discards the buffer.
    auto *const output = bufferevent_get_output(connection.buffers);
    std::string rest(evbuffer_get_length(output), '\0');
    evbuffer_copyout(output, rest.data(), rest.size());
    send(socket, rest.data(), rest.size(), MSG_NOSIGNAL);
    close(connection);
}

void ScriptedServer::onEvent(bufferevent * /*buffers*/, short what, void *connection)
{
    auto &self = *static_cast<Connection *>(connection);
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        self.server.close(self);
}

void ScriptedServer::close(Connection &connection)
{
    bufferevent_free(std::exchange(connection.buffers, nullptr));
    connection.timer.stop();
}

} // namespace crocusport
