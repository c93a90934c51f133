#include "serverconnection.h"

#include "httpexchange_p.h"
#include "httpserver_p.h"
#include "httptext.h"
#include "timevalue.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <sys/socket.h>

#include <utility>

namespace crocusport {

namespace {

// Bytes that a caller may send ahead (pipelining) while its request is being answered.
constexpr std::size_t kMaxReadAhead = 64UL * 1024;

std::string_view methodName(evhttp_cmd_type method)
{
    switch (method) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "";
    }
}

// evhttp reads no body after these methods and would take one for the next request.
bool isBodyUnread(std::string_view method)
{
    return method != "POST" && method != "PUT" && method != "PATCH";
}

} // namespace

ServerConnection::ServerConnection(HttpServer::Private &server, evhttp_connection *connection)
    : server_(server), connection_(connection),
      bufferevent_(evhttp_connection_get_bufferevent(connection))
{
    evhttp_connection_set_closecb(connection_, &ServerConnection::onClosed, this);
}

void ServerConnection::handleRequest(evhttp_request *request)
{
    std::shared_ptr<HttpExchange> exchange(new HttpExchange);
    exchange->d_->connection = this;
    exchange->d_->request = request;
    copyRequest(request, *exchange->d_);

    exchange_ = exchange.get();
    isBusy_ = true;
    ++server_.openExchanges;
    evhttp_request_set_on_complete_cb(request, &ServerConnection::onComplete, this);
    if (isAmbiguous(*exchange->d_)) {
        exchange->reply(400, { { "Connection", "close" } }, "");
        return;
    }
    watchForClose();
    server_.handler(std::move(exchange));
}

void ServerConnection::copyRequest(evhttp_request *request, HttpExchange::Private &exchange)
{
    exchange.method = methodName(evhttp_request_get_command(request));
    const std::string_view uri = evhttp_request_get_uri(request);
    const auto question = uri.find('?');
    if (!uri.empty() && uri.front() == '/') {
        exchange.path = uri.substr(0, question);
    } else if (const auto *const parsed = evhttp_request_get_evhttp_uri(request)) {
        const char *const path = evhttp_uri_get_path(parsed);
        exchange.path = path && *path ? path : "/";
    }
    if (question != std::string_view::npos)
        exchange.query = uri.substr(question + 1);

    const auto *const headers = evhttp_request_get_input_headers(request);
    for (const auto *header = headers->tqh_first; header; header = header->next.tqe_next)
        exchange.headers.emplace_back(header->key, header->value);

    auto *const input = evhttp_request_get_input_buffer(request);
    exchange.body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, exchange.body.data(), exchange.body.size());
}

// Requests whose end two servers may see at different places (RFC 9112 section 11.2).
bool ServerConnection::isAmbiguous(const HttpExchange::Private &exchange)
{
    int lengths = 0;
    int encodings = 0;
    bool isEmpty = true;
    bool isOnlyChunked = true;
    for (const auto &[name, value] : exchange.headers) {
        if (isEqualIgnoringCase(name, "Content-Length")) {
            ++lengths;
            isEmpty = isEmpty && value == "0";
        } else if (isEqualIgnoringCase(name, "Transfer-Encoding")) {
            ++encodings;
            isOnlyChunked = isOnlyChunked && isEqualIgnoringCase(value, "chunked");
        }
    }
    if (lengths + encodings > 1 || !isOnlyChunked)
        return true;
    return isBodyUnread(exchange.method) && (!isEmpty || encodings > 0);
}

// evhttp stops reading after a request, so that it would notice only by writing that the caller
// has left. The read callback is removed, because evhttp's own ends the process when bytes arrive
// in this state, and the amount read ahead is bounded.
void ServerConnection::watchForClose()
{
    bufferevent_data_cb readCallback = nullptr;
    bufferevent_data_cb writeCallback = nullptr;
    bufferevent_event_cb eventCallback = nullptr;
    void *argument = nullptr;
    bufferevent_getcb(bufferevent_, &readCallback, &writeCallback, &eventCallback, &argument);
    bufferevent_setcb(bufferevent_, nullptr, writeCallback, eventCallback, argument);
    bufferevent_setwatermark(bufferevent_, EV_READ, 0, kMaxReadAhead);
    // The caller has nothing to send now; only an answer that it does not read may time out.
    const auto idleTimeout = toTimeval(server_.limits.idleTimeout);
    bufferevent_set_timeouts(bufferevent_, nullptr, &idleTimeout);
    bufferevent_enable(bufferevent_, EV_READ);
}

void ServerConnection::stopWatchingForClose()
{
    const auto idleTimeout = toTimeval(server_.limits.idleTimeout);
    bufferevent_set_timeouts(bufferevent_, &idleTimeout, &idleTimeout);
    bufferevent_setwatermark(bufferevent_, EV_READ, 0, 0);
}

bool ServerConnection::isLastExchange() const
{
    return server_.isStopping;
}

void ServerConnection::forgetExchange()
{
    exchange_ = nullptr;
}

evbuffer *ServerConnection::output() const
{
    return bufferevent_get_output(bufferevent_);
}

void ServerConnection::reset(evhttp_request *request)
{
    exchange_ = nullptr;
    abandoned_ = request;
    // Lets the loop see the end also when reading was paused.
    bufferevent_setwatermark(bufferevent_, EV_READ, 0, 0);
    // Dissolving the association sends a reset and drops what is buffered. A close would send the
    // end of the stream, which completes an answer without length.
    sockaddr unspecified {};
    unspecified.sa_family = AF_UNSPEC;
    const int fileDescriptor = bufferevent_getfd(bufferevent_);
    // Fails only on a socket that has no connection any more.
    static_cast<void>(connect(fileDescriptor, &unspecified, sizeof(unspecified)));
}

void ServerConnection::onComplete(evhttp_request * /*request*/, void *self)
{
    auto *const connection = static_cast<ServerConnection *>(self);
    connection->isBusy_ = false;
    --connection->server_.openExchanges;
    connection->stopWatchingForClose();
    if (auto *const exchange = std::exchange(connection->exchange_, nullptr))
        exchange->markComplete();
}

void ServerConnection::onClosed(evhttp_connection *connection, void *self)
{
    auto *const closed = static_cast<ServerConnection *>(self);
    if (closed->isBusy_)
        --closed->server_.openExchanges;
    auto *const exchange = std::exchange(closed->exchange_, nullptr);
    // evhttp leaves a request that it has detached from the connection to its user.
    if (closed->abandoned_ && !evhttp_request_get_connection(closed->abandoned_))
        evhttp_request_free(closed->abandoned_);
    closed->server_.removeConnection(connection); // Destroys *closed.
    if (exchange)
        exchange->markClosed();
}

} // namespace crocusport
