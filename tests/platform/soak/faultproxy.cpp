#include "faultproxy.h"

#include "socketaddresses.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <sys/socket.h>

#include <stdexcept>

namespace crocusport {

namespace {

// Longer than any way inside a region, shorter than the time limits of calls.
constexpr Duration kDelay = std::chrono::milliseconds(200);

} // namespace

FaultProxy::FaultProxy(EventLoop &loop, SocketAddress target)
    : loop_(loop), target_(std::move(target)), delayTimer_(loop, [this] { passDelayed(); })
{
    listener_ = handleErrors(
        [&] {
            return openListener(loop.base(), SocketAddress("127.0.0.1:0"), &FaultProxy::onAccepted,
                                this);
        },
        [](const Error &error) -> evconnlistener * { throw std::runtime_error(error.message); });
    address_ = listenerAddress(listener_);
}

FaultProxy::~FaultProxy()
{
    evconnlistener_free(listener_);
    while (!links_.empty())
        close(&links_.front(), true);
}

void FaultProxy::setFault(Fault fault)
{
    // Connections that were silenced stay so: whatever is between the ends has forgotten them.
    if (fault_ == Fault::Silent || fault_ == Fault::OneWay) {
        for (auto &link : links_)
            link.isStuck = true;
    }
    fault_ = fault;
    if (fault == Fault::Delay)
        delayTimer_.startPeriodic(kDelay);
    else
        delayTimer_.stop();
    passDelayed();
    if (fault != Fault::Reset)
        return;
    while (!links_.empty())
        close(&links_.front(), true);
}

void FaultProxy::passDelayed()
{
    for (auto &link : links_) {
        for (auto *const end : { link.client, link.server })
            bufferevent_enable(end, EV_READ);
    }
}

void FaultProxy::onAccepted(evconnlistener * /*listener*/, int socket, sockaddr * /*address*/,
                            int /*size*/, void *self)
{
    auto *const proxy = static_cast<FaultProxy *>(self);
    auto &link = proxy->links_.emplace_back();
    link.proxy = proxy;
    link.client = bufferevent_socket_new(proxy->loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    link.server = bufferevent_socket_new(proxy->loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    if (proxy->fault_ == Fault::Reset) {
        proxy->close(&link, true);
        return;
    }
    for (auto *const end : { link.client, link.server })
        bufferevent_setcb(end, &FaultProxy::onRead, nullptr, &FaultProxy::onEvent, &link);
    const auto raw = handleErrors([&] { return parseSocketAddress(proxy->target_); },
                                  [](const Error & /*error*/) { return RawSocketAddress(); });
    bufferevent_socket_connect(link.server, raw.get(), raw.size);
    bufferevent_enable(link.client, EV_READ | EV_WRITE);
    bufferevent_enable(link.server, EV_READ | EV_WRITE);
}

void FaultProxy::onRead(bufferevent *from, void *argument)
{
    auto *const link = static_cast<Link *>(argument);
    auto *const input = bufferevent_get_input(from);
    const auto fault = link->proxy->fault_;
    const bool isDropped =
        link->isStuck || fault == Fault::Silent || (fault == Fault::OneWay && from == link->server);
    if (isDropped) {
        link->isStuck = true; // A stream with a hole must not go on.
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    bufferevent_write_buffer(from == link->client ? link->server : link->client, input);
    if (fault == Fault::Delay)
        bufferevent_disable(from, EV_READ);
}

void FaultProxy::onEvent(bufferevent *from, short what, void *argument)
{
    auto *const link = static_cast<Link *>(argument);
    if ((what & BEV_EVENT_CONNECTED) != 0 || link->isStuck)
        return;
    auto *const to = from == link->client ? link->server : link->client;
    const bool isError = (what & BEV_EVENT_ERROR) != 0;
    if (isError || evbuffer_get_length(bufferevent_get_output(to)) == 0) {
        link->proxy->close(link, isError);
        return;
    }
    // What has been received is passed on before the close.
    bufferevent_disable(from, EV_READ);
    bufferevent_setcb(to, nullptr, &FaultProxy::onDrained, &FaultProxy::onEvent, link);
}

void FaultProxy::onDrained(bufferevent * /*to*/, void *argument)
{
    auto *const link = static_cast<Link *>(argument);
    link->proxy->close(link, false);
}

void FaultProxy::close(Link *link, bool isReset)
{
    for (auto *const end : { link->client, link->server }) {
        const linger withReset { isReset ? 1 : 0, 0 };
        setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER, &withReset, sizeof(withReset));
        bufferevent_free(end);
    }
    links_.remove_if([link](const Link &other) { return &other == link; });
}

} // namespace crocusport
