#include "crocusport/transport/httpexchange.h"

#include "httpexchange_p.h"
#include "httpmessage.h"
#include "httptext.h"
#include "serverconnection.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <glog/logging.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <utility>

namespace crocusport {

namespace {

std::uint64_t misuses = 0;

// HEAD requests and the statuses 1xx, 204 and 304 have no body (RFC 9110 sections 9.3.2 and 15).
bool hasResponseBody(std::string_view method, int status)
{
    return method != "HEAD" && status >= 200 && status != 204 && status != 304;
}

} // namespace

HttpExchange::HttpExchange() : d_(std::make_unique<Private>()) { }

HttpExchange::~HttpExchange()
{
    if (d_->progress == Private::Progress::NothingSent)
        reply(500, {}, "");
    else if (d_->progress == Private::Progress::Streaming)
        abort();
    if (d_->connection)
        d_->connection->detachExchange();
}

bool HttpExchange::Private::requireProgress(Progress expected, std::string_view call)
{
    if (isClosed)
        return false;
    if (progress == expected)
        return true;
    ++misuses;
    LOG(ERROR) << call << " was called out of order in the response to " << method << ' ' << path;
    abort();
    return false;
}

void HttpExchange::Private::abort()
{
    if (isClosed || !connection)
        return;
    isClosed = true;
    closedHandler = nullptr;
    auto *const dropped = std::exchange(connection, nullptr);
    dropped->detachExchange();
    dropped->reset();
}

void HttpExchange::Private::setTarget(std::string_view target)
{
    if (!target.empty() && target.front() != '/') {
        const auto scheme = target.find("://");
        const auto start =
            scheme == std::string_view::npos ? target.size() : target.find('/', scheme + 3);
        target = start < target.size() ? target.substr(start) : "/";
    }
    const auto question = target.find('?');
    path = target.substr(0, question);
    hasQuery = question != std::string_view::npos;
    if (hasQuery)
        query = target.substr(question + 1);
}

void HttpExchange::Private::writeHead(int status, const HttpHeaders &answerHeaders,
                                      std::string_view framing)
{
    if (connection->mustCloseAfterResponse())
        isKeptAlive = false;
    std::string head = "HTTP/1.1 " + std::to_string(status) + ' ';
    head += reasonPhrase(status);
    head += "\r\n";
    for (const auto &[name, value] : answerHeaders) {
        if (!isSendableHeader(name, value))
            continue;
        if (isEqualIgnoringCase(name, "Connection")) {
            isKeptAlive = isKeptAlive && !listContainsToken(value, "close");
            continue;
        }
        head += name;
        head += ": ";
        head += value;
        head += "\r\n";
    }
    head += framing;
    if (!isKeptAlive)
        head += "Connection: close\r\n";
    else if (!isHttp11)
        head += "Connection: keep-alive\r\n";
    head += "\r\n";
    evbuffer_add(connection->output(), head.data(), head.size());
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
    return d_->hasQuery ? d_->path + '?' + d_->query : d_->path;
}

Instant HttpExchange::arrival() const
{
    return d_->arrival;
}

const HttpHeaders &HttpExchange::headers() const
{
    return d_->headers;
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

std::size_t HttpExchange::headerCount(const std::string &name) const
{
    return static_cast<std::size_t>(
        std::count_if(d_->headers.begin(), d_->headers.end(),
                      [&](const auto &field) { return isEqualIgnoringCase(field.first, name); }));
}

const std::string &HttpExchange::body() const
{
    return d_->body;
}

void HttpExchange::reply(int status, const HttpHeaders &headers, std::string_view body)
{
    if (!d_->requireProgress(Private::Progress::NothingSent, "reply"))
        return;
    d_->progress = Private::Progress::Complete;
    d_->closedHandler = nullptr;
    const bool hasBody = hasResponseBody(d_->method, status);
    const bool hasLength = status >= 200 && status != 204 && status != 304;
    d_->writeHead(status, headers,
                  hasLength ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "");
    if (hasBody)
        evbuffer_add(d_->connection->output(), body.data(), body.size());
    std::exchange(d_->connection, nullptr)->finishExchange(d_->isKeptAlive);
}

void HttpExchange::startStream(int status, const HttpHeaders &headers)
{
    if (!d_->requireProgress(Private::Progress::NothingSent, "startStream"))
        return;
    d_->progress = Private::Progress::Streaming;
    d_->hasBody = hasResponseBody(d_->method, status);
    // HTTP/1.0 has no chunked encoding, so the close of the connection delimits the body.
    d_->isChunked = d_->isHttp11 && status >= 200 && status != 204 && status != 304;
    d_->isKeptAlive = d_->isKeptAlive && d_->isHttp11;
    d_->writeHead(status, headers, d_->isChunked ? "Transfer-Encoding: chunked\r\n" : "");
}

// Appends the chunk directly to the connection's output buffer. The data is copied once, and small
// chunks of one loop iteration share memory and are written with one system call.
void HttpExchange::sendChunk(std::string_view data)
{
    if (!d_->requireProgress(Private::Progress::Streaming, "sendChunk") || !d_->hasBody
        || data.empty())
        return;
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
    if (!d_->requireProgress(Private::Progress::Streaming, "endStream"))
        return;
    d_->progress = Private::Progress::Complete;
    d_->closedHandler = nullptr;
    if (d_->isChunked && d_->hasBody)
        evbuffer_add(d_->connection->output(), "0\r\n\r\n", 5);
    std::exchange(d_->connection, nullptr)->finishExchange(d_->isKeptAlive);
}

void HttpExchange::abort()
{
    d_->abort();
}

std::uint64_t exchangeMisuses()
{
    return misuses;
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
    return d_->progress != Private::Progress::NothingSent;
}

void HttpExchange::markClosed()
{
    d_->connection = nullptr;
    d_->isClosed = true;
    // The handler may destroy the exchange, so no code may follow it.
    if (const auto handler = std::exchange(d_->closedHandler, nullptr))
        handler();
}

} // namespace crocusport
