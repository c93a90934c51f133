#include "storewatch.h"

#include "crocusport/protocol/etcdcodec.h"

#include <limits>
#include <utility>

namespace crocusport {

namespace {

constexpr int kOk = 200;
// Large enough for an event with a value of 1 MiB in base64 and the previous value.
constexpr std::size_t kMaxLineBytes = 4'194'304;

} // namespace

StoreWatch::StoreWatch(StoreCallContext &context, const std::string &key, StoreRevision revision,
                       Duration idleTimeout, Handler onEntry)
    : context_(context), key_(key), onEntry_(std::make_shared<Handler>(std::move(onEntry))),
      address_(context.addresses[context.preferred])
{
    HttpCallRequest request;
    request.address = address_;
    request.method = "POST";
    request.target = kEtcdWatchPath;
    request.headers = { { "Content-Type", "application/json" } };
    request.body = writeEtcdWatch(key, revision);
    request.connection = ConnectionUse::Fresh;
    request.connectTimeout = context.timeout;
    request.progressTimeout = idleTimeout;
    request.maxResponseBytes = std::numeric_limits<std::size_t>::max();
    HttpCallHandlers handlers;
    handlers.onHead = [this](int status, const HttpHeaders &) { status_ = status; };
    handlers.onBody = [this](std::string_view data) { onBody(data); };
    handlers.onEnd = [this](const HttpCallEnd &end) { onEnd(end); };
    call_ = context.client.start(std::move(request), std::move(handlers));
}

void StoreWatch::onBody(std::string_view data)
{
    if (status_ != kOk)
        return; // onEnd() reports the status.
    for (auto end = data.find('\n'); end != std::string_view::npos; end = data.find('\n')) {
        const auto line = partialLine_ + std::string(data.substr(0, end));
        partialLine_.clear();
        data.remove_prefix(end + 1);
        if (!line.empty() && !readLine(line))
            return;
    }
    partialLine_.append(data);
    if (partialLine_.size() > kMaxLineBytes)
        finish({ ResultCode::MessageTooLarge, "store sent a watch event that is too large" });
}

bool StoreWatch::readLine(std::string_view line)
{
    // The callbacks are called outside of handleErrors(), as in StoreClient::Private::call().
    auto parsed = handleErrors(
        [&]() -> Result<AsyncResult<EtcdWatchReply>> {
            BOOST_LEAF_AUTO(reply, parseEtcdWatch(line));
            return AsyncResult<EtcdWatchReply>(std::move(reply));
        },
        [](const Error &error) { return AsyncResult<EtcdWatchReply>(error); });
    if (auto *const error = std::get_if<Error>(&parsed)) {
        finish(std::move(*error));
        return false;
    }
    // The handler may destroy the watch, after which the remaining events must not be delivered.
    const std::weak_ptr<Handler> handler = onEntry_;
    for (auto &event : std::get<EtcdWatchReply>(parsed).events) {
        const auto onEntry = handler.lock();
        if (!onEntry)
            return false;
        if (event.key == key_)
            (*onEntry)(std::move(event.entry));
    }
    return !handler.expired();
}

void StoreWatch::onEnd(const HttpCallEnd &end)
{
    context_.failOverFrom(address_);
    if (end.failure == HttpFailure::None && end.status == kOk)
        finish(
            { ResultCode::ConnectionClosed, "store at " + address_.value() + " ended the watch" });
    else
        finish(storeErrorOf(end, address_));
}

void StoreWatch::finish(Error error)
{
    // The handler may destroy this watch, so the handler is moved out of its member before it is
    // called.
    if (const auto onEntry = std::exchange(onEntry_, nullptr))
        (*onEntry)(std::move(error));
}

} // namespace crocusport
