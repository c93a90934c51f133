#include "clientconnection.h"

#include "crocusport/transport/callbackguard.h"
#include "crocusport/transport/eventloop.h"

#include "callstate.h"
#include "connectionpool.h"
#include "httpmessage.h"
#include "httptext.h"
#include "socketaddresses.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace crocusport {

namespace http = boost::beast::http;

namespace {

// Thousands of responses may hold an incomplete head at the same time.
constexpr std::uint32_t kMaxResponseHeadBytes = 16U * 1024;
// The parser consumes heads, chunk headers and trailers only when they are complete. This limit
// keeps an incomplete one from growing without bound.
constexpr std::size_t kMaxUnparsedBytes = kMaxResponseHeadBytes;
// Maximum number of interim responses to one request. Servers normally send at most one.
constexpr int kMaxInterimResponses = 8;
// Maximum number of discarded responses to other calls before the response to this call.
constexpr int kMaxDroppedResponses = 8;
// Number of unanswered TCP keep-alive probes after which the kernel closes a connection.
constexpr int kProbeCount = 2;
// Safety margin below the idle timeout that a server announces. The server starts counting when it
// sends its response, which is earlier than the client receives it.
constexpr Duration kIdleMargin = std::chrono::milliseconds(250);
constexpr unsigned kOk = 200;
constexpr int kMaxStatus = 599;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

//! Whether another response follows one of this status (RFC 9110 section 15.2). No call asks to
//! switch protocols, so a response that does is invalid.
bool isInterim(unsigned status)
{
    constexpr unsigned kContinue = 100;
    constexpr unsigned kSwitchingProtocols = 101;
    return status >= kContinue && status < kOk && status != kSwitchingProtocols;
}

} // namespace

Result<std::unique_ptr<ClientConnection>>
ClientConnection::create(EventLoop &loop, ConnectionPool &pool, const SocketAddress &address)
{
    BOOST_LEAF_AUTO(raw, parseSocketAddress(address));
    auto *const bufferevent = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    if (!bufferevent)
        return makeError(ResultCode::InternalError, "cannot create a socket buffer");
    std::unique_ptr<ClientConnection> connection(new ClientConnection(pool, address, bufferevent));
    bufferevent_setcb(bufferevent, &ClientConnection::onRead, &ClientConnection::onWritten,
                      &ClientConnection::onEvent, connection.get());
    if (bufferevent_socket_connect(bufferevent, raw.get(), raw.size) != 0)
        return makeError(ResultCode::ConnectFailed, "cannot connect to " + address.value());
    connection->setSocketOptions();
    return connection;
}

ClientConnection::ClientConnection(ConnectionPool &pool, SocketAddress address,
                                   bufferevent *bufferevent)
    : pool_(pool), address_(std::move(address)), bufferevent_(bufferevent),
      maxIdle_(pool.options().maxIdle)
{ }

ClientConnection::~ClientConnection()
{
    if (const auto call = std::exchange(call_, nullptr))
        call->cancelWithoutConnection();
    bufferevent_free(bufferevent_);
}

// A peer can vanish without closing or resetting its connections.
void ClientConnection::setSocketOptions()
{
    const auto socket = bufferevent_getfd(bufferevent_);
    const auto &options = pool_.options();
    const auto set = [socket](int level, int name, int value) {
        setsockopt(socket, level, name, &value, sizeof(value));
    };
    const auto interval = static_cast<int>(options.probeInterval.count());
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, interval);
    set(IPPROTO_TCP, TCP_KEEPINTVL, interval);
    set(IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT,
        static_cast<int>(
            std::chrono::duration_cast<Milliseconds>(options.unacknowledgedTimeout).count()));
}

void ClientConnection::send(std::shared_ptr<CallState> call)
{
    call_ = std::move(call);
    const auto current = call_; // Keeps the call alive until this returns.
    const auto &request = current->request();
    isPooled_ = request.connection == ConnectionUse::Pooled;
    mayBeReused_ = false;
    hasCarriedHead_ = hasCarriedHead_ || request.method == "HEAD";
    current->begin(*this, isConnected_);
    if (!isSendableHeader(request.method, "") || !isSendableTarget(request.target)) {
        CallState::endLater(current, HttpFailure::ConnectFailed);
        return;
    }
    interimResponses_ = 0;
    droppedResponses_ = 0;
    requestBytes_ = 0;
    startParser();
    // The event loop reports a close only after the current callback. A request written until then
    // could not be repeated safely, although the server does not receive it.
    if (isConnected_ && isClosedByPeer())
        CallState::endLater(current, HttpFailure::ClosedBeforeResponse);
    else if (isConnected_)
        writeRequest();
}

void ClientConnection::startParser()
{
    isDropping_ = false;
    parser_.emplace();
    parser_->header_limit(kMaxResponseHeadBytes);
    parser_->body_limit(boost::none);
    parser_->eager(true);
    parser_->skip(call_->request().method == "HEAD");
}

void ClientConnection::writeRequest()
{
    const auto &request = call_->request();
    std::string head = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    bool hasHost = false;
    for (const auto &[name, value] : request.headers) {
        if (!isSendableHeader(name, value))
            continue;
        hasHost = hasHost || isEqualIgnoringCase(name, "Host");
        head += name;
        head += ": ";
        head += value;
        head += "\r\n";
    }
    if (!hasHost)
        head += "Host: " + address_.value() + "\r\n";
    if (!isPooled_)
        head += "Connection: close\r\n";
    const bool hasBody = !request.body.empty() || request.method == "POST"
        || request.method == "PUT" || request.method == "PATCH";
    if (hasBody)
        head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    head += "\r\n";
    auto *const output = bufferevent_get_output(bufferevent_);
    evbuffer_add(output, head.data(), head.size());
    evbuffer_add(output, request.body.data(), request.body.size());
    requestBytes_ = head.size() + request.body.size();
    call_->markSent();
    bufferevent_enable(bufferevent_, EV_READ | EV_WRITE);
}

// The output buffer is empty before each request. As long as it holds the whole request, no byte of
// it has left the process. Once some bytes are written, the server may run the request even if the
// rest was not.
bool ClientConnection::isRequestUnwritten() const
{
    return requestBytes_ > 0
        && evbuffer_get_length(bufferevent_get_output(bufferevent_)) == requestBytes_;
}

bool ClientConnection::isClosedByPeer() const
{
    char byte = 0;
    const auto received =
        recv(bufferevent_getfd(bufferevent_), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return received == 0
        || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void ClientConnection::release()
{
    call_.reset();
    parser_.reset();
    if (mayBeReused_ && !isClosed_) {
        expiry_ = monotonicNow() + std::min(maxIdle_, pool_.options().maxIdle);
        pool_.keep(*this);
        return;
    }
    shutDown();
    pool_.discard(*this);
}

// The server may still be sending a response that nobody reads. The kernel replies with a reset to
// data that arrives after the shutdown, so that the server detects at once that the client has
// disconnected.
void ClientConnection::shutDown()
{
    isClosed_ = true;
    const auto socket = bufferevent_getfd(bufferevent_);
    if (socket >= 0)
        shutdown(socket, SHUT_RDWR);
}

void ClientConnection::onWritten(bufferevent * /*bufferevent*/, void *self)
{
    if (const auto call = static_cast<ClientConnection *>(self)->call_)
        call->markWritten();
}

void ClientConnection::onRead(bufferevent * /*bufferevent*/, void *self)
{
    auto *const connection = static_cast<ClientConnection *>(self);
    if (!guardCallback("response", [&] { connection->readResponse(); }))
        connection->endAfterFailure();
}

void ClientConnection::readResponse()
{
    const auto call = call_;
    if (!call || call->isEnded()) {
        // These bytes belong to no call. If the connection were reused, they would be mistaken for
        // the response to its next request.
        if (!isClosed_)
            pool_.countStrayConnection();
        shutDown();
        pool_.discard(*this);
        return;
    }
    call->markReceived();
    if (parse(*call))
        finish(*call);
}

bool ClientConnection::parse(CallState &call)
{
    auto *const input = bufferevent_get_input(bufferevent_);
    while (!call.isEnded() && evbuffer_get_length(input) > 0) {
        const auto length = evbuffer_get_length(input);
        const auto *const bytes = evbuffer_pullup(input, static_cast<ev_ssize_t>(length));
        const bool hadHead = parser_->is_header_done();
        boost::beast::error_code error;
        const auto used = parser_->put(boost::asio::const_buffer(bytes, length), error);
        evbuffer_drain(input, used);
        const bool isIncomplete = error == http::error::need_more;
        if (error && !isIncomplete) {
            call.end(HttpFailure::Malformed);
            return false;
        }
        if (!hadHead && parser_->is_header_done()) {
            if (const auto status = parser_->get().result_int(); status < kOk) {
                if (!isInterim(status) || ++interimResponses_ > kMaxInterimResponses) {
                    call.end(HttpFailure::Malformed);
                    return false;
                }
                startParser();
                continue;
            }
            if (!acceptHead(call))
                return false;
        }
        if (parser_->is_header_done()) {
            auto data = std::exchange(parser_->get().body(), {});
            if (!isDropping_)
                call.deliverBody(data);
            if (call.isEnded())
                return false;
        }
        if (parser_->is_done() && isDropping_) {
            startParser();
            continue;
        }
        if (parser_->is_done())
            return true;
        if (isIncomplete || used == 0)
            break;
    }
    if (!call.isEnded() && evbuffer_get_length(input) > kMaxUnparsedBytes)
        call.end(HttpFailure::Malformed);
    return false;
}

bool ClientConnection::dropResponse()
{
    // The response to be discarded may belong to an earlier HEAD request on this connection. Its
    // Content-Length is then the length of a body that is not sent, so the end of the response
    // cannot be determined.
    if (parser_->need_eof() || hasCarriedHead_ || ++droppedResponses_ > kMaxDroppedResponses)
        return false;
    isDropping_ = true;
    return true;
}

bool ClientConnection::acceptHead(CallState &call)
{
    const auto &message = parser_->get();
    const auto status = static_cast<int>(message.result_int());
    const auto headers = copyFields(message);
    const auto framing = bodyFraming(headers);
    if (status > kMaxStatus || framing == BodyFraming::Malformed) {
        call.end(HttpFailure::Malformed);
        return false;
    }
    const auto length = parser_->content_length();
    if (length && *length > call.request().maxResponseBytes) {
        call.end(HttpFailure::TooLarge);
        return false;
    }
    const bool hasNoBody =
        status == kNoContent || status == kNotModified || call.request().method == "HEAD";
    const bool endsWithClose = framing == BodyFraming::None && !hasNoBody;
    isKeptAlive_ =
        !endsWithClose && allowsKeepAlive(headers, static_cast<unsigned>(message.version()));
    maxIdle_ = pool_.options().maxIdle;
    if (const auto seconds = keepAliveTimeout(headers))
        maxIdle_ =
            std::max<Duration>(std::chrono::seconds(*seconds) - kIdleMargin, Duration::zero());
    call.deliverHead(status, headers, endsWithClose);
    return !call.isEnded();
}

void ClientConnection::finish(CallState &call)
{
    const bool isFollowed = evbuffer_get_length(bufferevent_get_input(bufferevent_)) > 0;
    if (isFollowed)
        pool_.countStrayConnection();
    mayBeReused_ = isPooled_ && isKeptAlive_ && !isClosed_ && !isFollowed && droppedResponses_ == 0
        && evbuffer_get_length(bufferevent_get_output(bufferevent_)) == 0;
    call.finish();
}

void ClientConnection::onEvent(bufferevent * /*bufferevent*/, short what, void *self)
{
    auto *const connection = static_cast<ClientConnection *>(self);
    const bool isConnected = (what & BEV_EVENT_CONNECTED) != 0;
    const bool isOrderly = (what & BEV_EVENT_EOF) != 0;
    if (!guardCallback("connection", [&] {
            if (isConnected)
                connection->onConnected();
            else
                connection->onClosed(isOrderly);
        }))
        connection->endAfterFailure();
}

void ClientConnection::onConnected()
{
    isConnected_ = true;
    const auto call = call_;
    if (!call || call->isEnded())
        return;
    call->markConnected();
    if (call->confirmSending())
        writeRequest();
}

void ClientConnection::endAfterFailure()
{
    guardCallback("end after a failure", [this] {
        if (const auto call = call_; call && !call->isEnded())
            call->end(HttpFailure::Malformed);
    });
}

void ClientConnection::onClosed(bool isOrderly)
{
    isClosed_ = true;
    const auto call = call_;
    if (!call) {
        pool_.discard(*this);
        return;
    }
    if (call->isEnded())
        return;
    // A server that closes while the request is being written has given up. Its reset may follow
    // the end of its direction, and is not seen then.
    const bool isRequestWritten = evbuffer_get_length(bufferevent_get_output(bufferevent_)) == 0;
    if (isOrderly && isRequestWritten && parser_ && parser_->is_header_done()
        && parser_->need_eof()) {
        boost::beast::error_code error;
        parser_->put_eof(error);
        if (!error) {
            finish(*call);
            return;
        }
    }
    if (isRequestUnwritten())
        call->markUnsent();
    call->end(call->closedFailure());
}

} // namespace crocusport
