#include "crocusport/transport/httpexchange.h"

#include "httpexchange_p.h"
#include "httptext.h"
#include "serverconnection.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <cassert>
#include <charconv>
#include <cstdlib>
#include <utility>

namespace crocusport {

namespace {

void addHeaders(evhttp_request *request, const HttpHeaders &headers)
{
    auto *const output = evhttp_request_get_output_headers(request);
    for (const auto &[name, value] : headers) {
        if (isSendableHeader(name, value))
            evhttp_add_header(output, name.c_str(), value.c_str());
    }
}

// RFC 9110 sections 9.3.2 and 15.
bool hasResponseBody(std::string_view method, int status)
{
    return method != "HEAD" && status >= 200 && status != 204 && status != 304;
}

} // namespace

HttpExchange::HttpExchange() : d_(std::make_unique<Private>()) { }

HttpExchange::~HttpExchange()
{
    if (d_->progress == Private::Progress::Waiting)
        reply(500, {}, "");
    else if (d_->progress == Private::Progress::Streaming)
        abort();
    if (d_->connection)
        d_->connection->forgetExchange();
    if (d_->isClosed && d_->request)
        evhttp_request_free(d_->request);
}

std::string_view HttpExchange::method() const
{
    return d_->method;
}

std::string_view HttpExchange::path() const
{
    return d_->path;
}

std::string HttpExchange::target() const
{
    return d_->query.empty() ? d_->path : d_->path + '?' + d_->query;
}

std::optional<std::string> HttpExchange::queryParameter(const std::string &name) const
{
    std::string_view rest = d_->query;
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            if (equals == std::string_view::npos)
                return std::string();
            const std::string encoded(pair.substr(equals + 1));
            constexpr int kPlusIsSpace = 1;
            std::size_t size = 0;
            char *const decoded = evhttp_uridecode(encoded.c_str(), kPlusIsSpace, &size);
            if (!decoded)
                return std::nullopt;
            std::string value(decoded, size);
            std::free(decoded);
            return value;
        }
        if (end == std::string_view::npos)
            break;
        rest.remove_prefix(end + 1);
    }
    return std::nullopt;
}

std::optional<std::string> HttpExchange::header(const std::string &name) const
{
    for (const auto &[key, value] : d_->headers) {
        if (isEqualIgnoringCase(key, name))
            return value;
    }
    return std::nullopt;
}

const std::string &HttpExchange::body() const
{
    return d_->body;
}

void HttpExchange::reply(int status, const HttpHeaders &headers, std::string_view body)
{
    if (d_->isClosed)
        return;
    assert(d_->progress == Private::Progress::Waiting);
    auto *const request = std::exchange(d_->request, nullptr);
    d_->progress = Private::Progress::Answered;
    addHeaders(request, headers);
    if (d_->connection->isLastExchange())
        evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    if (hasResponseBody(d_->method, status))
        evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

void HttpExchange::startStream(int status, const HttpHeaders &headers)
{
    if (d_->isClosed)
        return;
    assert(d_->progress == Private::Progress::Waiting);
    d_->progress = Private::Progress::Streaming;
    addHeaders(d_->request, headers);
    auto *const output = evhttp_request_get_output_headers(d_->request);
    if (d_->connection->isLastExchange())
        evhttp_add_header(output, "Connection", "close");
    evhttp_send_reply_start(d_->request, status, nullptr);
    d_->hasBody = hasResponseBody(d_->method, status);
    // A caller that speaks HTTP/1.0 gets the body without chunks, ended by the close.
    d_->isChunked = evhttp_find_header(output, "Transfer-Encoding") != nullptr;
}

// Appends the chunk to the connection's buffer directly: this copies once, and small chunks of one
// loop iteration share memory and leave with one system call.
void HttpExchange::sendChunk(std::string_view data)
{
    if (d_->isClosed || !d_->hasBody || data.empty())
        return;
    assert(d_->progress == Private::Progress::Streaming);
    auto *const output = d_->connection->output();
    if (!d_->isChunked) {
        evbuffer_add(output, data.data(), data.size());
        return;
    }
    constexpr int kHexadecimal = 16;
    char size[2 * sizeof(std::size_t) + 2];
    auto *end = std::to_chars(size, size + 2 * sizeof(std::size_t), data.size(), kHexadecimal).ptr;
    *end++ = '\r';
    *end++ = '\n';
    evbuffer_add(output, size, static_cast<std::size_t>(end - size));
    evbuffer_add(output, data.data(), data.size());
    evbuffer_add(output, "\r\n", 2);
}

void HttpExchange::endStream()
{
    if (d_->isClosed)
        return;
    assert(d_->progress == Private::Progress::Streaming);
    d_->progress = Private::Progress::Answered;
    evhttp_send_reply_end(std::exchange(d_->request, nullptr));
}

void HttpExchange::abort()
{
    if (d_->isClosed || !d_->connection)
        return;
    d_->isClosed = true;
    d_->closedHandler = nullptr;
    std::exchange(d_->connection, nullptr)->reset(std::exchange(d_->request, nullptr));
}

std::size_t HttpExchange::bufferedBytes() const
{
    return d_->connection ? evbuffer_get_length(d_->connection->output()) : 0;
}

void HttpExchange::onClosed(std::function<void()> handler)
{
    d_->closedHandler = std::move(handler);
}

bool HttpExchange::isClosed() const
{
    return d_->isClosed;
}

bool HttpExchange::isStarted() const
{
    return d_->progress != Private::Progress::Waiting;
}

void HttpExchange::markComplete()
{
    d_->connection = nullptr;
    d_->closedHandler = nullptr;
}

void HttpExchange::markClosed()
{
    d_->connection = nullptr;
    d_->isClosed = true;
    // evhttp frees a request that is still attached, and leaves a detached one to its user.
    if (d_->request && evhttp_request_get_connection(d_->request))
        d_->request = nullptr;
    // The handler may destroy the exchange, so nothing may follow this call.
    if (const auto handler = std::exchange(d_->closedHandler, nullptr))
        handler();
}

} // namespace crocusport
