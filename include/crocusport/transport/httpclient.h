#ifndef CROCUSPORT_HTTPCLIENT_H
#define CROCUSPORT_HTTPCLIENT_H

#include "crocusport/state/error.h"
#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"
#include "crocusport/transport/httpexchange.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace crocusport {

class CallState;
class ConnectionPool;
class EventLoop;

//! What counts as progress of a call, besides establishing its connection and writing its request
//! completely.
enum class ResponseProgress {
    Bytes,    //!< Any byte received.
    Reported, //!< The head of the response, and each call of HttpCall::reportProgress().
};

//! Which connection a call uses: one from the pool, if any, or always a new one.
enum class ConnectionUse { Pooled, Fresh };

/*!
    The request of a call to an HTTP server, and the limits of the call. A Host header is added when
    \a headers has none. Content-Length is added when there is a body or the method is POST, PUT or
    PATCH. Headers whose name is not a token or whose value contains a line break or NUL are
    dropped.
*/
struct HttpCallRequest
{
    SocketAddress address; //!< An IP address; names are not resolved.
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
    ConnectionUse connection = ConnectionUse::Pooled;
    Duration connectTimeout = std::chrono::seconds(1);
    Duration progressTimeout = std::chrono::seconds(30); //!< Longest time without progress.
    ResponseProgress progress = ResponseProgress::Bytes;
    std::size_t maxResponseBytes = 64UL * 1024 * 1024; //!< Limit of the whole body.
    /*!
        Whether a body with neither Content-Length nor chunks is complete when the server closes the
        connection without a reset after it was sent the whole request. The connection of a server
        that crashes can close in the same way, so such a body may be truncated (RFC 9112 section
        8).
    */
    bool acceptsCloseDelimited = false;
};

//! Why a call failed; None when the response is complete.
enum class HttpFailure {
    None,
    ConnectFailed,        //!< Nothing sent: connecting failed, or the request is not valid.
    ClosedBeforeResponse, //!< No byte of a response; the server may have received the request.
    ClosedMidResponse,    //!< Part of a response, or a close-delimited one that is not accepted.
    ProgressTimeout,      //!< No progress for HttpCallRequest::progressTimeout.
    Malformed,            //!< Also a response head over 16 KiB, or a handler that has thrown.
    TooLarge,
    Withdrawn, //!< Nothing sent: HttpCallHandlers::onReady returned false.
};

//! Returns a stable name for logs. Safe from any thread.
std::string_view httpFailureName(HttpFailure failure);

//! How a call has ended.
struct HttpCallEnd
{
    HttpFailure failure = HttpFailure::None;
    int status = 0;             //!< 0 when no response head was received.
    bool isRequestSent = false; //!< Whether any byte of the request may have been sent.
    bool endsWithClose = false; //!< Only the close of the connection delimits the body.
};

//! Callbacks of a call; each may be empty. onEnd is called exactly once, unless the call is
//! cancelled.
struct HttpCallHandlers
{
    //! Called when a new connection is established, before the request is sent on it. Returns
    //! whether to send the request; if not, the call ends. Not called when the call reuses an idle
    //! connection.
    std::function<bool()> onReady;
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view data)> onBody;
    /*!
        Called when there was no progress for HttpCallRequest::progressTimeout. Returns whether to
        wait for the same time again. If it returns false or is empty, the call ends.
    */
    std::function<bool()> onProgressTimeout;
    std::function<void(const HttpCallEnd &end)> onEnd;
};

/*!
    A call in progress. Destroying it cancels the call: no handler is called any more, and the
    connection is closed, by which the server can detect the cancellation.

    Thread safety: loop thread only.
*/
class HttpCall
{
public:
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    bool isEnded() const;
    //! Whether the call is the first one on its connection.
    bool isOnNewConnection() const;
    /*!
        Discards the current response, which belongs to another call: reads it to its end, calls
        onHead for the response that follows, and does not reuse the connection after this call.
        Returns false and does not discard the response when its end cannot be determined or when
        too many responses have been discarded. Precondition: called from onHead.
    */
    bool dropResponse();
    //! Reports progress of the response. From now on, \a limit replaces the progress timeout.
    void reportProgress(Duration limit);

private:
    friend class HttpClient;
    explicit HttpCall(std::shared_ptr<CallState> state);

    std::shared_ptr<CallState> state_;
};

/*!
    An HTTP/1.1 client on bufferevent, with Boost.Beast's parser and a pool of idle connections for
    each address. evhttp is not used, since it does not distinguish a reset from an orderly close.

    A request is sent at most once: when a pooled connection turns out to be closed, the call ends
    with ClosedBeforeResponse, and the client does not retry it.

    A response whose body is delimited only by the close of the connection is complete only for
    calls with acceptsCloseDelimited. Other calls end with ClosedMidResponse after their handlers
    have received the head and the whole body. A connection that delivers bytes after the end of a
    response is closed.

    Thread safety: loop thread only. The loop must outlive the client. Destroying the client cancels
    its calls, and must not be done in one of its handlers.
*/
class HttpClient
{
public:
    struct Options
    {
        //! Connections that have been idle for longer than this are closed.
        Duration maxIdle = std::chrono::seconds(30);
        //! A burst of calls uses one connection for each call in progress. Connections over this
        //! limit are closed after use, and the next burst has to open them again.
        std::size_t maxIdlePerAddress = 1024;
        //! The kernel closes a connection when sent data is not acknowledged for this long.
        Duration unacknowledgedTimeout = std::chrono::seconds(10);
        //! Idle time after which the kernel sends a TCP keep-alive probe, and time between probes.
        std::chrono::seconds probeInterval = std::chrono::seconds(10);
    };

    HttpClient(EventLoop &loop, const Options &options);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /*!
        Starts a call. Handlers run from the loop, never before start() returns. onHead, onBody
        and onEnd may destroy the returned call; onReady and onProgressTimeout must not,
        since this would also destroy the handler that is running.
    */
    std::unique_ptr<HttpCall> start(HttpCallRequest request, HttpCallHandlers handlers);
    //! Closes the idle connections to \a address.
    void closeIdle(const SocketAddress &address);
    std::size_t idleConnections() const;
    //! Number of connections opened since the client was created.
    std::uint64_t openedConnections() const;
    //! Number of connections closed because they delivered bytes that belong to no call: after the
    //! end of a response, or while the connection was idle.
    std::uint64_t strayConnections() const;

private:
    std::unique_ptr<ConnectionPool> pool_;
};

} // namespace crocusport

#endif // CROCUSPORT_HTTPCLIENT_H
