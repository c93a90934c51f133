#include "rawcaller.h"

#include "socketaddresses.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <string_view>

namespace crocusport {

RawCaller::RawCaller(EventLoop &loop, const SocketAddress &address, Handlers handlers)
    : address_(address), handlers_(std::move(handlers)),
      buffers_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
    bufferevent_setcb(buffers_, &RawCaller::onRead, nullptr, &RawCaller::onEvent, this);
    bufferevent_enable(buffers_, EV_READ | EV_WRITE);
    const auto raw = handleErrors([&] { return parseSocketAddress(address_); },
                                  [](const Error & /*error*/) { return RawSocketAddress(); });
    bufferevent_socket_connect(buffers_, raw.get(), raw.size);
}

RawCaller::~RawCaller()
{
    bufferevent_free(buffers_);
}

void RawCaller::send(const std::string &id, const std::string &bytes)
{
    ids_.push_back(id);
    bufferevent_write(buffers_, bytes.data(), bytes.size());
}

void RawCaller::checkReceived(ConnectionEnd end)
{
    const auto read = readAnswers(received_, ids_.size(), end);
    for (; answered_ < read.answers.size(); ++answered_)
        handlers_.onAnswer(ids_[answered_], read.answers[answered_]);
    if (!read.fault.empty())
        handlers_.onFault(ids_.empty() ? "no request" : ids_.back(), read.fault);
}

void RawCaller::onRead(bufferevent *buffers, void *self)
{
    auto *const caller = static_cast<RawCaller *>(self);
    auto *const input = bufferevent_get_input(buffers);
    const auto size = evbuffer_get_length(input);
    caller->received_.append(reinterpret_cast<const char *>(evbuffer_pullup(input, -1)), size);
    evbuffer_drain(input, size);
    if (caller->isIdle())
        return; // No request waits for these bytes; checkReceived() checks them.
    const auto bytes = std::string_view(caller->received_).substr(caller->answerStart_);
    const auto read = readAnswers(bytes, 1, ConnectionEnd::Open);
    if (read.answers.empty() || !read.answers.front().isComplete)
        return;
    caller->answerStart_ = caller->received_.size();
    caller->handlers_.onAnswer(caller->ids_[caller->answered_++], read.answers.front());
}

void RawCaller::onEvent(bufferevent * /*buffers*/, short what, void *self)
{
    if ((what & (BEV_EVENT_ERROR | BEV_EVENT_EOF)) == 0)
        return;
    auto *const caller = static_cast<RawCaller *>(self);
    caller->isEnded_ = true;
    caller->checkReceived((what & BEV_EVENT_ERROR) != 0 ? ConnectionEnd::Reset
                                                        : ConnectionEnd::Closed);
    caller->handlers_.onEnd();
}

} // namespace crocusport
