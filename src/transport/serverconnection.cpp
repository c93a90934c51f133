#include "serverconnection.h"

#include "httpexchange_p.h"
#include "httpmessage.h"
#include "httpserver_p.h"
#include "httptext.h"
#include "timevalue.h"

#include "crocusport/transport/callbackguard.h"
#include "crocusport/transport/eventloop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace crocusport {

namespace http = boost::beast::http;

namespace {

// Maximum number of bytes that are read ahead (pipelining) while a request is being handled.
constexpr std::size_t kMaxReadAhead = 64UL * 1024;
// With a budget, a connection reads only this much before it reserves memory for the rest. Larger
// than nearly all heads; included in ClientMemory::kConnectionBytes.
constexpr std::size_t kFirstReadBytes = 4UL * 1024;
// A head is held as received, by the parser, and by the exchange.
constexpr std::size_t kHeadCopies = 3;
// What a field costs beyond its bytes in those places.
constexpr std::size_t kFieldBytes = 128;
// Bodies up to this size are charged once; larger ones twice, because a copy for the server's
// connection exists while the request is sent.
constexpr std::size_t kSmallBodyBytes = 64UL * 1024;
// Bytes of a body that count as progress, so that single bytes do not keep a large body held.
constexpr std::size_t kProgressBytes = 1024;
// Least mean rate of a body, after the idle timeout has passed once.
constexpr double kMinBodyBytesPerSecond = 1024;
// With a budget, the next request is not read while more than this of the last response is unread.
constexpr std::size_t kMaxUnreadBytes = 64UL * 1024;
// An idle connection may be closed for a new one after this time.
constexpr Duration kMinIdleTime = std::chrono::milliseconds(100);

// Time for a caller to read the last response and close the connection (lingering close). Closing a
// socket with unread input resets the connection, and the caller could lose the response.
constexpr Duration kLingerTime = std::chrono::seconds(1);

// Time for a caller that has just connected to send its first request, before a server that stops
// accepting closes the connection.
constexpr Duration kFirstRequestTime = std::chrono::seconds(1);

constexpr unsigned kHttp11 = 11;
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kUnavailable = 503;

// A server that ignores the body of a request with another method would mistake it for the next
// request, so bodies are accepted only with these methods.
bool isBodyUnexpected(std::string_view method)
{
    return method != "POST" && method != "PUT" && method != "PATCH";
}

int statusOf(const boost::beast::error_code &error)
{
    if (error == http::error::body_limit)
        return kContentTooLarge;
    return error == http::error::header_limit ? kHeadersTooLarge : kBadRequest;
}

} // namespace

ServerConnection::ServerConnection(HttpServer::Private &server, evutil_socket_t socket)
    : server_(server),
      bufferevent_(bufferevent_socket_new(server.loop.base(), socket, BEV_OPT_CLOSE_ON_FREE)),
      timer_(server.loop, [this] { onTimer(); }), acceptedAt_(monotonicNow())
{
    bufferevent_setcb(bufferevent_, &ServerConnection::onRead, &ServerConnection::onWritten,
                      &ServerConnection::onEvent, this);
    progressAt_ = acceptedAt_;
    if (server_.memory) {
        ClientMemory::Holder &holder = *this;
        account_.emplace(*server_.memory, holder, acceptedAt_);
    }
    setReadLimit(kFirstReadBytes);
    const auto idleTimeout = toTimeval(server_.limits.idleTimeout);
    bufferevent_set_timeouts(bufferevent_, nullptr, &idleTimeout);
    bufferevent_enable(bufferevent_, EV_READ | EV_WRITE);
    timer_.startOnce(server_.limits.idleTimeout);
}

ServerConnection::~ServerConnection()
{
    if (bufferevent_)
        bufferevent_free(bufferevent_);
}

bool ServerConnection::mustCloseAfterResponse() const
{
    return server_.isClosing;
}

evbuffer *ServerConnection::output() const
{
    return bufferevent_get_output(bufferevent_);
}

bool ServerConnection::isIdle() const
{
    return !isBusy_ && !isReading_ && !isLingering_ && !hasUnreadBytes()
        && evbuffer_get_length(output()) == 0;
}

bool ServerConnection::hasUnreadBytes() const
{
    char first = 0;
    return evbuffer_get_length(bufferevent_get_input(bufferevent_)) > 0
        || recv(bufferevent_getfd(bufferevent_), &first, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void ServerConnection::closeWhenIdle()
{
    if (!isIdle())
        return;
    const auto firstRequestDue = acceptedAt_ + kFirstRequestTime;
    const auto now = monotonicNow();
    if (arrival_ == Instant() && now < firstRequestDue)
        timer_.startOnce(firstRequestDue - now);
    else
        close();
}

bool ServerConnection::hasUnsentResponse() const
{
    return !isBusy_ && evbuffer_get_length(output()) > 0;
}

void ServerConnection::onRead(bufferevent * /*bufferevent*/, void *self)
{
    auto *const connection = static_cast<ServerConnection *>(self);
    if (!guardCallback("request", [&] { connection->readRequest(); }))
        connection->closeAfterFailure();
}

void ServerConnection::readRequest()
{
    if (isLingering_) {
        auto *const input = bufferevent_get_input(bufferevent_);
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (isBusy_ || isClosingAfterWrite_ || isPaused_)
        return;
    // onWritten() continues when the caller has read more.
    if (account_ && !isReading_ && evbuffer_get_length(output()) > kMaxUnreadBytes)
        return;
    if (!isReading_ && !beginRequest())
        return;
    if (parse())
        startExchange();
}

// Empty lines before a request are skipped (RFC 9112 section 2.2).
bool ServerConnection::beginRequest()
{
    auto *const input = bufferevent_get_input(bufferevent_);
    char first = 0;
    while (evbuffer_copyout(input, &first, 1) == 1 && (first == '\r' || first == '\n'))
        evbuffer_drain(input, 1);
    if (evbuffer_get_length(input) == 0)
        return false;
    isReading_ = true;
    isContinueSent_ = false;
    scannedBytes_ = 0;
    headBytes_ = 0;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(server_.limits.maxHeadBytes));
    parser_->body_limit(server_.limits.maxBodyBytes);
    parser_->eager(true);
    arrival_ = monotonicNow();
    progressAt_ = arrival_;
    progressBytes_ = 0;
    pausedTime_ = {};
    if (account_)
        account_->noteProgress(arrival_);
    timer_.startOnce(std::min(server_.limits.headTimeout, server_.limits.idleTimeout));
    return true;
}

bool ServerConnection::parse()
{
    auto *const input = bufferevent_get_input(bufferevent_);
    if (headBytes_ == 0) {
        const auto scan = scanHead(input, scannedBytes_);
        scannedBytes_ = evbuffer_get_length(input);
        if (scan.state == HeadScan::State::Malformed) {
            reject(kBadRequest);
            return false;
        }
        if (scan.size > server_.limits.maxHeadBytes
            || (scan.size == 0 && scannedBytes_ > server_.limits.maxHeadBytes)) {
            reject(kHeadersTooLarge);
            return false;
        }
        if (scan.state == HeadScan::State::Incomplete) {
            if (scannedBytes_ >= kFirstReadBytes
                && reserve(ClientCharge::Head, 2 * server_.limits.maxHeadBytes))
                setReadLimit(server_.limits.maxHeadBytes + kFirstReadBytes);
            return false;
        }
        headBytes_ = scan.size;
    }
    if (!parser_->is_header_done() && !reserveParsedHead())
        return false;
    timer_.startOnce(server_.limits.idleTimeout);
    while (!parser_->is_done() && evbuffer_get_length(input) > 0) {
        if (parser_->is_header_done() && !reserveBody())
            return false;
        const auto length = evbuffer_get_length(input);
        const auto *const bytes = evbuffer_pullup(input, static_cast<ev_ssize_t>(length));
        const bool hadHead = parser_->is_header_done();
        boost::beast::error_code error;
        const auto used = parser_->put(boost::asio::const_buffer(bytes, length), error);
        evbuffer_drain(input, used);
        if (error && error != http::error::need_more) {
            reject(statusOf(error));
            return false;
        }
        if (!hadHead && parser_->is_header_done() && !checkHead())
            return false;
        if (error == http::error::need_more || used == 0)
            break;
    }
    if (account_ && !parser_->is_done()) {
        noteBodyProgress();
        if (isBodyTooSlow(monotonicNow())) {
            server_.memory->noteLoss(ClientLoss::TooSlow);
            reject(kRequestTimeout);
            return false;
        }
        reserveBody();
        return false;
    }
    return parser_->is_done();
}

bool ServerConnection::reserve(ClientCharge kind, std::size_t bytes)
{
    if (!account_)
        return true;
    const auto now = monotonicNow();
    if (account_->reserve(kind, bytes, now))
        return true;
    isPaused_ = true;
    pausedAt_ = now;
    timer_.stop();
    bufferevent_disable(bufferevent_, EV_READ);
    return false;
}

// Counts the fields before the parser copies each of them.
bool ServerConnection::reserveParsedHead()
{
    if (!account_ && server_.limits.maxFields == 0)
        return true;
    const auto *const bytes = reinterpret_cast<const char *>(
        evbuffer_pullup(bufferevent_get_input(bufferevent_), static_cast<ev_ssize_t>(headBytes_)));
    const auto lines = static_cast<std::size_t>(std::count(bytes, bytes + headBytes_, '\n'));
    constexpr std::size_t kOtherLines = 2; // The request line and the empty line.
    if (server_.limits.maxFields > 0 && lines > server_.limits.maxFields + kOtherLines) {
        reject(kHeadersTooLarge);
        return false;
    }
    return reserve(ClientCharge::Head, kHeadCopies * headBytes_ + lines * kFieldBytes);
}

// A body without a known length reserves for the largest one as soon as it is no small one, since
// bodies that reserve in steps could block each other.
bool ServerConnection::reserveBody()
{
    if (!account_)
        return true;
    const auto received = parser_->get().body().size();
    const auto length = parser_->content_length();
    auto bytes = static_cast<std::size_t>(length.value_or(kSmallBodyBytes));
    if (!length && received + kFirstReadBytes > kSmallBodyBytes)
        bytes = server_.limits.maxBodyBytes;
    bytes *= bytes > kSmallBodyBytes ? 2 : 1;
    if (bytes <= bodyReserved_)
        return true;
    if (!reserve(ClientCharge::Body, bytes))
        return false;
    bodyReserved_ = bytes;
    // Without a known length, small reads keep the body below what is reserved.
    setReadLimit(length || bytes > kSmallBodyBytes ? kMaxReadAhead : kFirstReadBytes);
    return true;
}

void ServerConnection::noteBodyProgress()
{
    const auto received = parser_->get().body().size();
    if (received < progressBytes_ + kProgressBytes)
        return;
    progressBytes_ = received;
    progressAt_ = monotonicNow();
    account_->noteProgress(progressAt_);
}

bool ServerConnection::isBodyTooSlow(Instant now) const
{
    const auto time = now - arrival_ - pausedTime_ - server_.limits.idleTimeout;
    return time > Duration::zero()
        && static_cast<double>(parser_->get().body().size())
        < toSeconds(time) * kMinBodyBytesPerSecond;
}

void ServerConnection::setReadLimit(std::size_t bytes)
{
    bufferevent_setwatermark(bufferevent_, EV_READ, 0, account_ ? bytes : kMaxReadAhead);
}

void ServerConnection::releaseRequest()
{
    if (!account_)
        return;
    bodyReserved_ = 0;
    account_->setHandedOver(false);
    account_->noteProgress(monotonicNow());
    account_->charge(ClientCharge::Head, 0);
    account_->charge(ClientCharge::Body, 0);
    account_->charge(ClientCharge::UnreadAnswer, evbuffer_get_length(output()));
}

void ServerConnection::updateUnread(Instant now)
{
    const auto unread = evbuffer_get_length(output());
    if (!account_ || isBusy_ || unread >= account_->heldBytes(ClientCharge::UnreadAnswer))
        return;
    account_->charge(ClientCharge::UnreadAnswer, unread);
    account_->noteProgress(now);
}

void ServerConnection::onGranted()
{
    isPaused_ = false;
    const auto now = monotonicNow();
    pausedTime_ += now - pausedAt_;
    timer_.startOnce(server_.limits.idleTimeout);
    bufferevent_enable(bufferevent_, EV_READ);
    bufferevent_trigger(bufferevent_, EV_READ, BEV_OPT_DEFER_CALLBACKS);
}

void ServerConnection::onEvicted()
{
    reset();
}

// The request was not handed over, so it has not run.
void ServerConnection::onRefused()
{
    isPaused_ = false;
    bufferevent_enable(bufferevent_, EV_READ);
    reject(kUnavailable, "Retry-After: 1\r\n");
}

std::optional<Instant> ServerConnection::replaceableSince(Instant now) const
{
    if (isBusy_ || isPaused_)
        return std::nullopt;
    // Lingering only protects the last response from being lost; new clients come first.
    if (isLingering_ && evbuffer_get_length(output()) == 0)
        return progressAt_;
    if (isReading_ || isLingering_ || evbuffer_get_length(output()) > 0)
        return now - progressAt_ >= server_.limits.stallTime ? std::optional(progressAt_)
                                                             : std::nullopt;
    if (now - progressAt_ < std::min(kMinIdleTime, server_.limits.stallTime) || hasUnreadBytes())
        return std::nullopt;
    return progressAt_;
}

// Rejects requests whose end two servers could see at different places, which allows request
// smuggling (RFC 9112 section 11.2).
bool ServerConnection::checkHead()
{
    const auto &message = parser_->get();
    const auto headers = copyFields(message);
    int hosts = 0;
    bool isEmpty = true;
    for (const auto &[name, value] : headers) {
        hosts += isEqualIgnoringCase(name, "Host") ? 1 : 0;
        isEmpty = isEmpty && !isEqualIgnoringCase(name, "Transfer-Encoding")
            && !(isEqualIgnoringCase(name, "Content-Length") && value != "0");
    }
    const std::string_view method(message.method_string().data(), message.method_string().size());
    if (hosts > 1 || bodyFraming(headers) == BodyFraming::Malformed
        || (isBodyUnexpected(method) && !isEmpty)) {
        reject(kBadRequest);
        return false;
    }
    const auto *const expect = findHeader(headers, "Expect");
    // An HTTP/1.0 caller would mistake 100 Continue for the response (RFC 9110 section 10.1.1).
    const bool knowsContinue = message.version() >= kHttp11;
    if (expect && isEqualIgnoringCase(*expect, "100-continue") && knowsContinue
        && !parser_->is_done() && !std::exchange(isContinueSent_, true)) {
        constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
        evbuffer_add(output(), kContinue.data(), kContinue.size());
    }
    return true;
}

void ServerConnection::startExchange()
{
    std::shared_ptr<HttpExchange> exchange(new HttpExchange);
    auto message = parser_->release();
    parser_.reset();
    exchange->d_->connection = this;
    exchange->d_->method = std::string(message.method_string());
    exchange->d_->isHttp11 = message.version() >= kHttp11;
    exchange->d_->headers = copyFields(message);
    exchange->d_->isKeptAlive =
        allowsKeepAlive(exchange->d_->headers, static_cast<unsigned>(message.version()));
    exchange->d_->setTarget({ message.target().data(), message.target().size() });
    exchange->d_->body = std::move(message.body());
    exchange->d_->arrival = arrival_;

    isReading_ = false;
    isBusy_ = true;
    exchange_ = exchange.get();
    ++server_.openExchanges;
    timer_.stop();
    if (account_)
        account_->setHandedOver(true);
    server_.handler(std::move(exchange));
}

void ServerConnection::reject(int status, std::string_view extraHeaders)
{
    isReading_ = false;
    parser_.reset();
    releaseRequest();
    const std::string head = "HTTP/1.1 " + std::to_string(status) + ' '
        + std::string(reasonPhrase(status)) + "\r\n" + std::string(extraHeaders)
        + "Content-Length: 0\r\nConnection: close\r\n\r\n";
    evbuffer_add(output(), head.data(), head.size());
    isClosingAfterWrite_ = true;
    startLingering();
}

void ServerConnection::finishExchange(bool keepAlive)
{
    exchange_ = nullptr;
    isBusy_ = false;
    --server_.openExchanges;
    progressAt_ = monotonicNow();
    releaseRequest();
    setReadLimit(kFirstReadBytes);
    // A stream that started before stopAccepting() has no "Connection: close" in its head, so the
    // connection is closed in spite of keep-alive.
    if (!keepAlive || server_.isStopping) {
        isClosingAfterWrite_ = true;
        if (evbuffer_get_length(output()) == 0)
            startLingering();
    } else {
        waitForRequest();
    }
    // Last, because it may close this connection. At once, because many answers can end in one
    // iteration of the loop.
    if (server_.memory && server_.memory->isOverLimit())
        server_.sweep();
}

// The next request may have been received already. It is read in a deferred callback, since this
// function may run inside the handler of the previous request.
void ServerConnection::waitForRequest()
{
    startIdleTime();
    const auto idleTimeout = toTimeval(server_.limits.idleTimeout);
    bufferevent_set_timeouts(bufferevent_, nullptr, &idleTimeout);
    if (evbuffer_get_length(bufferevent_get_input(bufferevent_)) > 0)
        bufferevent_trigger(bufferevent_, EV_READ, BEV_OPT_DEFER_CALLBACKS);
}

// The idle time counts from the last byte of the response; until then the write timeout applies.
void ServerConnection::startIdleTime()
{
    if (evbuffer_get_length(output()) == 0)
        timer_.startOnce(server_.limits.idleTimeout);
}

void ServerConnection::onWritten(bufferevent * /*bufferevent*/, void *self)
{
    auto *const connection = static_cast<ServerConnection *>(self);
    guardCallback("response written", [&] {
        connection->progressAt_ = monotonicNow();
        if (connection->account_)
            connection->account_->charge(ClientCharge::UnreadAnswer, 0);
        if (connection->isClosingAfterWrite_)
            connection->startLingering();
        else if (!connection->isBusy_ && !connection->isReading_)
            connection->waitForRequest();
    });
}

void ServerConnection::startLingering()
{
    if (!isLingering_) {
        isLingering_ = true;
        bufferevent_setwatermark(bufferevent_, EV_READ, 0, 0);
        timer_.startOnce(kLingerTime);
        auto *const input = bufferevent_get_input(bufferevent_);
        evbuffer_drain(input, evbuffer_get_length(input));
    }
    if (evbuffer_get_length(output()) == 0)
        shutdown(bufferevent_getfd(bufferevent_), SHUT_WR);
}

void ServerConnection::onEvent(bufferevent * /*bufferevent*/, short /*what*/, void *self)
{
    guardCallback("connection event", [&] { static_cast<ServerConnection *>(self)->close(); });
}

// If stack unwinding has destroyed the exchange, the exchange has already sent status 500 or
// aborted its stream. In both cases the connection is neither busy nor reading, and is not closed
// here, so that a status 500 can still be written.
void ServerConnection::closeAfterFailure()
{
    if (isBusy_ || isReading_)
        guardCallback("close after a failure", [this] { close(); });
}

void ServerConnection::onTimer()
{
    // While a response is still being written, only the write timeout applies.
    if (isLingering_ && evbuffer_get_length(output()) > 0) {
        timer_.startOnce(kLingerTime);
        return;
    }
    if (isReading_)
        reject(kRequestTimeout);
    else if (!isBusy_)
        close();
}

void ServerConnection::resetOnClose()
{
    const linger withReset { 1, 0 };
    setsockopt(bufferevent_getfd(bufferevent_), SOL_SOCKET, SO_LINGER, &withReset,
               sizeof(withReset));
}

void ServerConnection::reset()
{
    resetOnClose();
    close();
}

void ServerConnection::close()
{
    if (!bufferevent_)
        return;
    // After an orderly close, the caller could take a truncated response for a complete one.
    if ((exchange_ && exchange_->isStarted()) || evbuffer_get_length(output()) > 0)
        resetOnClose();
    timer_.stop();
    account_.reset();
    // The loop frees the buffers later; unread answers are released at once.
    evbuffer_unfreeze(output(), 1);
    evbuffer_drain(output(), evbuffer_get_length(output()));
    bufferevent_free(std::exchange(bufferevent_, nullptr));
    if (std::exchange(isBusy_, false))
        --server_.openExchanges;
    auto *const exchange = std::exchange(exchange_, nullptr);
    server_.removeConnection(*this);
    if (exchange)
        exchange->markClosed();
}

} // namespace crocusport
