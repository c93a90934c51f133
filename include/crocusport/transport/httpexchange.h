#ifndef CROCUSPORT_HTTPEXCHANGE_H
#define CROCUSPORT_HTTPEXCHANGE_H

#include "crocusport/state/instant.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocusport {

class ServerConnection;

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/*!
    A request that a server has received, and its response. The response is sent either with
    reply(), or with startStream(), any number of calls of sendChunk(), and endStream().

    A method called out of this order is logged and counted, and resets the connection, so that the
    caller (the HTTP client) never reads bytes that are not a response to its request. Once the
    response is complete, the connection no longer belongs to the exchange, and such a method is
    only logged and counted.

    After the caller has disconnected, all sending methods do nothing. Destroying an exchange
    without a response sends status 500, and destroying one whose stream has not ended aborts it.
    Headers whose name is not a token or whose value contains a line break or NUL are dropped, so
    that no input can inject a header (RFC 9110 section 5.5).

    Thread safety: loop thread only.
*/
class HttpExchange
{
public:
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;
    ~HttpExchange();

    std::string_view method() const;
    //! Path without the query, not percent-decoded.
    std::string_view path() const;
    //! Path and query, not percent-decoded, for forwarding the request.
    std::string target() const;
    //! Decoded value of the first query parameter \a name; an empty string if it has no "=".
    //! Returns nothing if there is no such parameter or its value cannot be decoded.
    std::optional<std::string> queryParameter(const std::string &name) const;
    //! Value of the first request header \a name, which is compared case-insensitively.
    std::optional<std::string> header(const std::string &name) const;
    //! Returns how often the field \a name occurs.
    std::size_t headerCount(const std::string &name) const;
    const std::string &body() const;
    //! When the first byte of the request was received.
    Instant arrival() const;
    //! All request headers in the order received.
    const HttpHeaders &headers() const;

    //! Sends a complete response. Precondition: nothing sent yet.
    void reply(int status, const HttpHeaders &headers, std::string_view body);
    //! Sends the head of a streamed response. Precondition: nothing sent yet.
    void startStream(int status, const HttpHeaders &headers);
    //! Precondition: startStream() was called, endStream() not.
    void sendChunk(std::string_view data);
    //! Completes a streamed response. Precondition: as for sendChunk().
    void endStream();
    //! Resets the connection without completing the response, so that the caller can tell that the
    //! response is truncated.
    void abort();

    //! Bytes waiting to be written to the socket; 0 once the exchange is complete or closed.
    std::size_t bufferedBytes() const;
    /*!
        Calls \a handler once if the caller disconnects before the response is complete. A caller
        that closes only its sending direction counts as disconnected. Replaces an earlier handler.
    */
    void onClosed(std::function<void()> handler);
    bool isClosed() const;
    bool isStarted() const;

private:
    friend class ServerConnection;
    HttpExchange();
    void markClosed();

    struct Private;
    std::unique_ptr<Private> d_;
};

//! Number of exchange methods called out of order since the process started. Loop thread only.
std::uint64_t exchangeMisuses();

} // namespace crocusport

#endif // CROCUSPORT_HTTPEXCHANGE_H
