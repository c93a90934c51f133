#include "peerlink.h"

#include "crocusport/protocol/peermessagecodec.h"

#include "peernetwork_p.h"
#include "socketaddresses.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <optional>
#include <utility>

namespace crocusport {

namespace {

// Limit of the bytes that a peer may send before it is authenticated. Much more than the two Hellos
// need, and much less than maxMessageBytes, which only an authenticated peer may make this router
// buffer.
constexpr std::size_t kMaxHandshakeBytes = 65'536;

} // namespace

PeerLink::PeerLink(PeerNetwork::Private &network, Side side, SocketAddress address,
                   RouterName expected, bufferevent *buffers, std::uint64_t startNumber)
    : network_(network), side_(side), address_(std::move(address)), expected_(std::move(expected)),
      buffers_(buffers), handshake_(network.options.self, network.options.sharedKey),
      endpoint_(side == Side::Dialed ? WebSocketEndpoint::Role::Client
                                     : WebSocketEndpoint::Role::Server,
                address_.value(), network.options.maxMessageBytes, endpointHandlers()),
      timer_(network.loop, [this] { onTimer(); }), startNumber_(startNumber)
{
    bufferevent_setcb(buffers_, &PeerLink::onRead, nullptr, &PeerLink::onEvent, this);
}

PeerLink::~PeerLink()
{
    isClosed_ = true; // The endpoint may still produce output while it is destroyed.
    bufferevent_free(buffers_);
}

WebSocketEndpoint::Handlers PeerLink::endpointHandlers()
{
    WebSocketEndpoint::Handlers handlers;
    handlers.onOutput = [this](std::string_view bytes) { onOutput(bytes); };
    handlers.onOpen = [this] { sendHello(handshake_.firstHello()); };
    handlers.onMessage = [this](const std::string &bytes) { onMessage(bytes); };
    handlers.onClosed = [this](const std::string &reason) { close(reason); };
    return handlers;
}

void PeerLink::start()
{
    timer_.startOnce(network_.options.handshakeTimeout);
    bufferevent_enable(buffers_, EV_READ | EV_WRITE);
    if (side_ == Side::Accepted) {
        endpoint_.start();
        return;
    }
    const bool isStarted = handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(raw, parseSocketAddress(address_));
            return bufferevent_socket_connect(buffers_, raw.get(), raw.size) == 0;
        },
        [](const Error & /*error*/) { return false; });
    if (!isStarted)
        close("cannot connect");
}

void PeerLink::send(std::string_view message)
{
    if (isClosed_)
        return;
    endpoint_.send(message);
}

void PeerLink::close(const std::string &reason)
{
    if (isClosed_)
        return;
    isClosed_ = true;
    timer_.stop();
    bufferevent_disable(buffers_, EV_READ | EV_WRITE);
    network_.markClosed(*this, reason);
}

void PeerLink::scheduleRedundancyCheck(Duration delay)
{
    timer_.startOnce(delay);
}

void PeerLink::onTimer()
{
    if (isUp())
        network_.closeIfRedundant(*this);
    else
        close("handshake has timed out");
}

void PeerLink::onRead(bufferevent *buffers, void *self)
{
    auto *const link = static_cast<PeerLink *>(self);
    auto *const input = bufferevent_get_input(buffers);
    while (!link->isClosed_ && evbuffer_get_length(input) > 0) {
        evbuffer_iovec extent {};
        evbuffer_peek(input, -1, nullptr, &extent, 1);
        link->network_.bytesReceived += extent.iov_len;
        if (!link->isUp()) {
            link->handshakeBytes_ += extent.iov_len;
            if (link->handshakeBytes_ > kMaxHandshakeBytes)
                link->close("peer sent too many bytes before its proof");
        }
        const std::string_view bytes(static_cast<const char *>(extent.iov_base), extent.iov_len);
        if (!link->isClosed_ && !link->endpoint_.receive(bytes))
            link->close("malformed input");
        evbuffer_drain(input, extent.iov_len);
    }
}

void PeerLink::onEvent(bufferevent *buffers, short what, void *self)
{
    auto *const link = static_cast<PeerLink *>(self);
    if (what & BEV_EVENT_CONNECTED) {
        const int enabled = 1;
        setsockopt(bufferevent_getfd(buffers), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        link->endpoint_.start();
        return;
    }
    link->close(what & BEV_EVENT_EOF ? "closed by peer" : "connection failed");
}

void PeerLink::onOutput(std::string_view bytes)
{
    if (isClosed_)
        return;
    auto *const output = bufferevent_get_output(buffers_);
    if (evbuffer_get_length(output) + bytes.size() > network_.options.maxBufferedBytes) {
        close("send buffer limit exceeded: peer does not read");
        return;
    }
    network_.bytesSent += bytes.size();
    evbuffer_add(output, bytes.data(), bytes.size());
}

void PeerLink::sendHello(const HelloMessage &hello)
{
    if (!isClosed_)
        endpoint_.send(encodePeerMessage(hello));
}

void PeerLink::onMessage(const std::string &bytes)
{
    if (isClosed_)
        return;
    std::string reason;
    auto message = handleErrors(
        [&]() -> Result<std::optional<PeerMessage>> {
            BOOST_LEAF_AUTO(decoded, decodePeerMessage(bytes));
            return std::optional<PeerMessage>(std::move(decoded));
        },
        [&](const Error &error) -> std::optional<PeerMessage> {
            reason = error.message;
            return std::nullopt;
        });
    if (!message) {
        close("malformed message: " + reason);
        return;
    }
    if (const auto *const hello = std::get_if<HelloMessage>(&*message))
        onHello(*hello);
    else if (isUp())
        network_.deliver(*this, std::move(*message));
    else
        close("message before the handshake");
}

void PeerLink::onHello(const HelloMessage &hello)
{
    std::string reason;
    const auto answer = handleErrors([&] { return handshake_.receive(hello); },
                                     [&](const Error &error) -> std::optional<HelloMessage> {
                                         reason = error.message;
                                         return std::nullopt;
                                     });
    if (!reason.empty()) {
        close(reason);
        return;
    }
    if (answer)
        sendHello(*answer);
    if (handshake_.isDone() && !isClosed_) {
        timer_.stop();
        network_.markUp(*this);
    }
}

} // namespace crocusport
