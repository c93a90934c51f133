#include "rawclient.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <sys/socket.h>

#include <stdexcept>

namespace crocusport {

RawClient::RawClient(EventLoop &loop, const SocketAddress &address)
    : buffers_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
    sockaddr_storage storage {};
    int size = sizeof(storage);
    auto *const target = reinterpret_cast<sockaddr *>(&storage);
    if (evutil_parse_sockaddr_port(address.value().c_str(), target, &size) != 0)
        throw std::runtime_error("bad address " + address.value());
    bufferevent_setcb(buffers_, &RawClient::onRead, nullptr, &RawClient::onEvent, this);
    bufferevent_enable(buffers_, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(buffers_, target, size) != 0)
        throw std::runtime_error("cannot connect to " + address.value());
}

RawClient::~RawClient()
{
    bufferevent_free(buffers_);
}

void RawClient::send(std::string_view bytes)
{
    bufferevent_write(buffers_, bytes.data(), bytes.size());
}

void RawClient::closeSending()
{
    shutdown(bufferevent_getfd(buffers_), SHUT_WR);
}

ReadConnection RawClient::read(std::size_t requests) const
{
    const auto end = isReset_ ? ConnectionEnd::Reset
        : isClosed_           ? ConnectionEnd::Closed
                              : ConnectionEnd::Open;
    return readAnswers(received_, requests, end);
}

void RawClient::setReading(bool isReading)
{
    if (isReading)
        bufferevent_enable(buffers_, EV_READ);
    else
        bufferevent_disable(buffers_, EV_READ);
}

void RawClient::onRead(bufferevent *buffers, void *self)
{
    auto *const client = static_cast<RawClient *>(self);
    auto *const input = bufferevent_get_input(buffers);
    const auto size = evbuffer_get_length(input);
    const auto *const data = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
    client->received_.append(data, size);
    evbuffer_drain(input, size);
}

void RawClient::onEvent(bufferevent * /*buffers*/, short what, void *self)
{
    auto *const client = static_cast<RawClient *>(self);
    client->isReset_ = client->isReset_ || (what & BEV_EVENT_ERROR) != 0;
    client->isClosed_ = client->isClosed_ || (what & (BEV_EVENT_ERROR | BEV_EVENT_EOF)) != 0;
}

} // namespace crocusport
