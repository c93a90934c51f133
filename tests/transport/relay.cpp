#include "relay.h"

#include "socketaddresses.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <stdexcept>
#include <utility>

namespace crocusport {

Relay::Relay(EventLoop &loop, SocketAddress target) : loop_(loop), target_(std::move(target))
{
    listener_ = handleErrors(
        [&] {
            return openListener(loop.base(), SocketAddress("127.0.0.1:0"), &Relay::onAccepted,
                                this);
        },
        [](const Error &error) -> evconnlistener * { throw std::runtime_error(error.message); });
    address_ = listenerAddress(listener_);
}

Relay::~Relay()
{
    evconnlistener_free(listener_);
    for (const auto &direction : directions_)
        bufferevent_free(direction->from);
}

void Relay::onAccepted(evconnlistener * /*listener*/, int socket, sockaddr * /*address*/,
                       int /*size*/, void *self)
{
    auto *const relay = static_cast<Relay *>(self);
    const auto raw = handleErrors([&] { return parseSocketAddress(relay->target_); },
                                  [](const Error & /*error*/) { return RawSocketAddress(); });
    auto *const base = relay->loop_.base();
    auto *const caller = bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
    auto *const target = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    relay->addDirection(caller, target);
    relay->addDirection(target, caller);
    bufferevent_socket_connect(target, raw.get(), raw.size);
}

void Relay::addDirection(bufferevent *from, bufferevent *to)
{
    auto &direction = *directions_.emplace_back(std::make_unique<Direction>());
    direction = { this, from, to };
    bufferevent_setcb(from, &Relay::onRead, nullptr, nullptr, &direction);
    bufferevent_enable(from, EV_READ | EV_WRITE);
}

void Relay::onRead(bufferevent *from, void *direction)
{
    const auto *const self = static_cast<Direction *>(direction);
    if (!self->relay->isForwardingStopped_)
        bufferevent_write_buffer(self->to, bufferevent_get_input(from));
}

} // namespace crocusport
