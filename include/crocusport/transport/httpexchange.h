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
    One request that a server has received and its answer: either reply(), or startStream(),
    sendChunk() any number of times and endStream().

    A call out of this order is logged and counted, and drops the connection, so that the caller
    never reads bytes that are no answer to its request. After the whole answer there is no
    connection to drop, and such a call does nothing more.

    After the caller has left, all sending methods do nothing. Destroying an exchange that has no
    answer sends status 500, and destroying one in mid-stream aborts it. Header names and values
   that contain line breaks or NUL are dropped, so that no input can inject a header (RFC 9110
   section 5.5).

    Thread safety: loop thread only.
*/
class HttpExchange
{
public:
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;
    ~HttpExchange();

    std::string_view method() const;
    //! Path without query, not decoded.
    std::string_view path() const;
    //! Path and query, not decoded, to be sent on.
    std::string target() const;
    //! Value of a query parameter, decoded.
    std::optional<std::string> queryParameter(const std::string &name) const;
    //! Value of a request header; names compare without case.
    std::optional<std::string> header(const std::string &name) const;
    const std::string &body() const;
    //! When the first byte of the request was received.
    Instant arrival() const;
    //! All header fields in the order received.
    const HttpHeaders &headers() const;

    //! Sends a whole answer. Precondition: nothing sent yet.
    void reply(int status, const HttpHeaders &headers, std::string_view body);
    //! Sends the head of a chunked answer. Precondition: nothing sent yet.
    void startStream(int status, const HttpHeaders &headers);
    //! Precondition: startStream() was called, endStream() not.
    void sendChunk(std::string_view data);
    void endStream();
    //! Drops the connection without ending the answer, so that a cut answer is recognisable.
    void abort();

    //! Bytes accepted by sendChunk() that the socket has not taken yet.
    std::size_t bufferedBytes() const;
    /*!
        Calls \a handler once when the caller has left before the answer was complete. A caller
        that closes only its sending direction has left, too.
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

//! Calls of exchanges out of their order since the start. Loop thread only.
std::uint64_t exchangeMisuses();

} // namespace crocusport

#endif // CROCUSPORT_HTTPEXCHANGE_H
