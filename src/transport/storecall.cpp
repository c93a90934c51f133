#include "storecall.h"

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

constexpr int kOk = 200;
constexpr int kFirstServerError = 500;
constexpr int kFirstClientError = 400;
// Large enough for a value of 1 MiB, which is a third longer in base64.
constexpr std::size_t kMaxReplyBytes = 8'388'608;

} // namespace

void StoreCallContext::failOverFrom(const SocketAddress &address)
{
    if (addresses[preferred] == address)
        preferred = (preferred + 1) % addresses.size();
}

Error storeErrorOf(const HttpCallEnd &end, const SocketAddress &address)
{
    const std::string store = "store at " + address.value();
    switch (end.failure) {
    case HttpFailure::ConnectFailed:
        return { ResultCode::ConnectFailed, store + " accepts no connection" };
    case HttpFailure::ProgressTimeout:
        return { ResultCode::Timeout, store + " made no progress within the timeout" };
    case HttpFailure::None:
        break;
    default:
        return { ResultCode::ConnectionClosed,
                 store + " sent no complete reply: " + std::string(httpFailureName(end.failure)) };
    }
    const std::string status = store + " replied with status " + std::to_string(end.status);
    // The gateway reports its own timeouts as 5xx; a write may still take effect afterwards.
    const bool isRejected = end.status >= kFirstClientError && end.status < kFirstServerError;
    return { isRejected ? ResultCode::StoreError : ResultCode::ConnectionClosed, status };
}

StoreCall::StoreCall(StoreCallContext &context, Kind kind, std::string_view path, std::string body,
                     Handler onReply)
    : context_(context), kind_(kind), path_(path), body_(std::move(body)),
      onReply_(std::move(onReply)), timer_(context.loop, [this] {
          context_.failOverFrom(address_);
          finish(Error { ResultCode::Timeout,
                         "store at " + address_.value() + " did not reply within the timeout" });
      })
{
    timer_.startOnce(context_.timeout);
    send(ConnectionUse::Pooled);
}

void StoreCall::send(ConnectionUse use)
{
    ++attempts_;
    reply_.clear();
    address_ = context_.addresses[context_.preferred];
    HttpCallRequest request;
    request.address = address_;
    request.method = "POST";
    request.target = path_;
    request.headers = { { "Content-Type", "application/json" } };
    request.body = body_;
    request.connection = use;
    // When one address drops packets, enough of the timeout must be left to try the others.
    request.connectTimeout = context_.timeout / context_.addresses.size();
    request.progressTimeout = context_.timeout;
    request.maxResponseBytes = kMaxReplyBytes;
    HttpCallHandlers handlers;
    handlers.onBody = [this](std::string_view data) { reply_.append(data); };
    handlers.onEnd = [this](const HttpCallEnd &end) { onEnd(end); };
    call_ = context_.client.start(std::move(request), std::move(handlers));
}

void StoreCall::onEnd(const HttpCallEnd &end)
{
    if (end.failure == HttpFailure::None && end.status == kOk) {
        finish(std::move(reply_));
        return;
    }
    if (end.failure != HttpFailure::None)
        context_.failOverFrom(address_);
    if (canRetry(end))
        send(ConnectionUse::Fresh);
    else
        finish(storeErrorOf(end, address_));
}

bool StoreCall::canRetry(const HttpCallEnd &end) const
{
    if (end.failure == HttpFailure::ConnectFailed)
        return attempts_ < context_.addresses.size();
    // The store may have closed the pooled connection just when the request was sent on it.
    return kind_ == Kind::Read && end.failure == HttpFailure::ClosedBeforeResponse && attempts_ < 2;
}

void StoreCall::finish(AsyncResult<std::string> result)
{
    timer_.stop();
    // The handler may destroy this call, so the handler is moved out of its member before it is
    // called.
    const auto onReply = std::move(onReply_);
    onReply(std::move(result));
}

} // namespace crocusport
