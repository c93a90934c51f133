#include "clientconnection.h"

#include "crocusport/transport/eventloop.h"

#include "callstate.h"
#include "connectionpool.h"
#include "httptext.h"
#include "responseframing.h"
#include "socketaddresses.h"
#include "timevalue.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace crocusport {

namespace {

constexpr ev_ssize_t kMaxResponseHeadBytes = 64L * 1024;
// Bodies from this size on are not copied into the connection's buffer.
constexpr std::size_t kReferencedBodyBytes = 4096;
// evhttp has its own time limit for each connection, which must never be the one that passes.
constexpr Duration kDisabledTimeout = std::chrono::hours(24 * 365);

std::optional<evhttp_cmd_type> methodNumber(std::string_view method)
{
    if (method == "GET")
        return EVHTTP_REQ_GET;
    if (method == "POST")
        return EVHTTP_REQ_POST;
    if (method == "HEAD")
        return EVHTTP_REQ_HEAD;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (method == "OPTIONS")
        return EVHTTP_REQ_OPTIONS;
    if (method == "PATCH")
        return EVHTTP_REQ_PATCH;
    return std::nullopt;
}

void deleteString(const void * /*data*/, std::size_t /*size*/, void *string)
{
    delete static_cast<std::string *>(string);
}

void addBody(evbuffer *buffer, std::string body)
{
    if (body.size() < kReferencedBodyBytes) {
        evbuffer_add(buffer, body.data(), body.size());
        return;
    }
    auto owned = std::make_unique<std::string>(std::move(body));
    if (evbuffer_add_reference(buffer, owned->data(), owned->size(), deleteString, owned.get())
        == 0)
        static_cast<void>(owned.release()); // Freed by deleteString.
}

} // namespace

Result<std::unique_ptr<ClientConnection>>
ClientConnection::create(EventLoop &loop, ConnectionPool &pool, const SocketAddress &address)
{
    // evhttp would resolve a name, and block the loop meanwhile.
    BOOST_LEAF_CHECK(parseSocketAddress(address));
    BOOST_LEAF_AUTO(parts, splitSocketAddress(address));
    auto *const bufferevent = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    if (!bufferevent)
        return makeError(ResultCode::InternalError, "cannot create a socket buffer");
    auto *const connection = evhttp_connection_base_bufferevent_new(
        loop.base(), nullptr, bufferevent, parts.host.c_str(), parts.port);
    if (!connection) {
        bufferevent_free(bufferevent);
        return makeError(ResultCode::InternalError, "cannot create a connection");
    }
    return std::unique_ptr<ClientConnection>(new ClientConnection(pool, address, connection));
}

ClientConnection::ClientConnection(ConnectionPool &pool, SocketAddress address,
                                   evhttp_connection *connection)
    : pool_(pool), address_(std::move(address)), connection_(connection),
      bufferevent_(evhttp_connection_get_bufferevent(connection))
{
    const auto disabled = toTimeval(kDisabledTimeout);
    evhttp_connection_set_timeout_tv(connection_, &disabled);
    evhttp_connection_set_retries(connection_, 0);
    evhttp_connection_set_max_headers_size(connection_, kMaxResponseHeadBytes);
    // EVHTTP_CON_READ_ON_WRITE_ERROR stays off: with it, evhttp 2.1.12 never reports a close that
    // follows an incomplete line.
    evhttp_connection_set_closecb(connection_, &ClientConnection::onClosed, this);
    evbuffer_add_cb(bufferevent_get_output(bufferevent_), &ClientConnection::onOutput, this);
    evbuffer_add_cb(bufferevent_get_input(bufferevent_), &ClientConnection::onInput, this);
}

ClientConnection::~ClientConnection()
{
    if (const auto call = std::exchange(call_, nullptr))
        call->forgetConnection();
    evhttp_connection_set_closecb(connection_, nullptr, nullptr);
    evbuffer_remove_cb(bufferevent_get_output(bufferevent_), &ClientConnection::onOutput, this);
    evbuffer_remove_cb(bufferevent_get_input(bufferevent_), &ClientConnection::onInput, this);
    evhttp_connection_free(connection_);
}

evhttp_request *ClientConnection::makeRequest(HttpCallRequest &request)
{
    auto *const made = evhttp_request_new(&ClientConnection::onDone, this);
    evhttp_request_set_header_cb(made, &ClientConnection::onHead);
    evhttp_request_set_chunked_cb(made, &ClientConnection::onBody);
    evhttp_request_set_error_cb(made, &ClientConnection::onError);
    auto *const headers = evhttp_request_get_output_headers(made);
    bool hasHost = false;
    for (const auto &[name, value] : request.headers) {
        if (!isSendableHeader(name, value))
            continue;
        hasHost = hasHost || isEqualIgnoringCase(name, "Host");
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    if (!hasHost)
        evhttp_add_header(headers, "Host", address_.value().c_str());
    if (request.connection == ConnectionUse::Fresh)
        evhttp_add_header(headers, "Connection", "close");
    addBody(evhttp_request_get_output_buffer(made), std::move(request.body));
    return made;
}

void ClientConnection::send(std::shared_ptr<CallState> call)
{
    call_ = std::move(call);
    const auto current = call_; // Outlives a failure inside evhttp_make_request.
    auto &request = current->request();
    isPooled_ = request.connection == ConnectionUse::Pooled;
    mayBeReused_ = false;
    failure_.reset();

    current->begin(*this, isConnected_);
    const auto method = methodNumber(request.method);
    if (!method || !isSendableTarget(request.target)) {
        CallState::endLater(current, HttpFailure::ConnectFailed);
        return;
    }
    isStarting_ = true;
    const int made =
        evhttp_make_request(connection_, makeRequest(request), *method, request.target.c_str());
    isStarting_ = false;
    if (made != 0)
        CallState::endLater(current, current->closedFailure());
}

void ClientConnection::release()
{
    call_.reset();
    lastUse_ = monotonicNow();
    if (mayBeReused_) {
        pool_.keep(*this);
        return;
    }
    shutDown();
    pool_.discard(*this);
}

void ClientConnection::shutDown()
{
    const auto socket = bufferevent_getfd(bufferevent_);
    if (socket >= 0)
        shutdown(socket, SHUT_RDWR);
}

void ClientConnection::onDone(evhttp_request *request, void *self)
{
    auto *const connection = static_cast<ClientConnection *>(self);
    const auto call = connection->call_;
    if (!call)
        return;
    const int status = request ? evhttp_request_get_response_code(request) : 0;
    if (status == 0 || connection->failure_) {
        const auto failure = connection->failure_.value_or(call->closedFailure());
        if (connection->isStarting_)
            CallState::endLater(call, failure);
        else
            call->end(failure);
        return;
    }
    call->deliverBody(evhttp_request_get_input_buffer(request));
    if (call->isEnded())
        return;
    connection->mayBeReused_ = connection->isReusable(request);
    call->finish();
}

bool ClientConnection::isReusable(evhttp_request *request) const
{
    return isPooled_ && bufferevent_getfd(bufferevent_) >= 0 && allowsReuse(request)
        && evbuffer_get_length(bufferevent_get_input(bufferevent_)) == 0
        && evbuffer_get_length(bufferevent_get_output(bufferevent_)) == 0;
}

int ClientConnection::onHead(evhttp_request *request, void *self)
{
    constexpr int kContinue = 100;
    auto *const connection = static_cast<ClientConnection *>(self);
    const auto call = connection->call_;
    if (!call)
        return -1;
    const int status = evhttp_request_get_response_code(request);
    if (status == kContinue)
        return 0;
    const auto framing = responseFraming(request);
    if (framing == ResponseFraming::Malformed) {
        connection->failure_ = HttpFailure::Malformed;
        return -1;
    }
    if (contentLength(request) > call->request().maxResponseBytes) {
        connection->failure_ = HttpFailure::TooLarge;
        return -1;
    }
    HttpHeaders headers;
    const auto *const input = evhttp_request_get_input_headers(request);
    for (const auto *header = input->tqh_first; header; header = header->next.tqe_next)
        headers.emplace_back(header->key, header->value);
    call->deliverHead(status, headers, framing == ResponseFraming::UntilClose);
    return call->isEnded() ? -1 : 0;
}

void ClientConnection::onBody(evhttp_request *request, void *self)
{
    // The call may end, and its connection release it, while it is in use here.
    if (const auto call = static_cast<ClientConnection *>(self)->call_)
        call->deliverBody(evhttp_request_get_input_buffer(request));
}

void ClientConnection::onError(evhttp_request_error error, void *self)
{
    auto *const connection = static_cast<ClientConnection *>(self);
    if (connection->failure_)
        return;
    // evhttp has no limit on the body here, so that "too long" means a malformed chunk size.
    if (error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG)
        connection->failure_ = HttpFailure::Malformed;
    else if (connection->call_)
        connection->failure_ = connection->call_->closedFailure();
}

void ClientConnection::onClosed(evhttp_connection * /*connection*/, void *self)
{
    auto *const connection = static_cast<ClientConnection *>(self);
    if (!connection->call_)
        connection->pool_.discard(*connection);
}

void ClientConnection::markConnected()
{
    isConnected_ = true;
    const int enabled = 1;
    setsockopt(bufferevent_getfd(bufferevent_), IPPROTO_TCP, TCP_NODELAY, &enabled,
               sizeof(enabled));
    bufferevent_set_timeouts(bufferevent_, nullptr, nullptr);
    if (call_)
        call_->markConnected();
}

// evhttp writes a request only once the connection is established, and the buffer shrinks when the
// socket has taken bytes.
void ClientConnection::onOutput(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *self)
{
    auto *const connection = static_cast<ClientConnection *>(self);
    if (info->n_added > 0 && !connection->isConnected_)
        connection->markConnected();
    if (info->n_deleted > 0 && connection->call_)
        connection->call_->markSent();
}

void ClientConnection::onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *self)
{
    if (info->n_added == 0)
        return;
    auto *const connection = static_cast<ClientConnection *>(self);
    if (const auto call = connection->call_) {
        call->markReceived();
        // evhttp hands a chunk over only when all of it is here.
        if (evbuffer_get_length(buffer) > call->request().maxResponseBytes + kMaxResponseHeadBytes)
            CallState::endLater(call, HttpFailure::TooLarge);
        return;
    }
    // A response to no request would be taken for the response to the next one.
    connection->shutDown();
    connection->pool_.discard(*connection);
}

} // namespace crocusport
