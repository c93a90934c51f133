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

//! What counts as progress of a response.
enum class ResponseProgress {
    Bytes,   //!< Any byte.
    Noticed, //!< Its head, and what HttpCall::noteProgress() says.
};

//! Which connection a call uses.
enum class ConnectionUse { Pooled, Fresh };

/*!
    One call to an HTTP server. Host and Content-Length are added to the headers; headers that
    contain line breaks or NUL are dropped.
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
    std::size_t maxResponseBytes = 64UL * 1024 * 1024; //!< Of the whole response body.
    /*!
        Whether a body without length is complete when its connection is closed without a reset.
        A server that crashes ends it in the same way (RFC 9112 section 8).
    */
    bool acceptsCloseDelimited = false;
};

//! How a call failed; None when the response is complete.
enum class HttpFailure {
    None,
    ConnectFailed,        //!< Nothing sent: no connection, or a request that cannot be sent.
    ClosedBeforeResponse, //!< Bytes may have been received; no response began.
    ClosedMidResponse,
    ProgressTimeout,
    Malformed, //!< Also a response head over 64 KiB.
    TooLarge,
    Withdrawn, //!< Nothing sent: onReady did not want the request sent any more.
};

//! Returns a stable name for logs. Safe from any thread.
std::string_view httpFailureName(HttpFailure failure);

//! End of a call.
struct HttpCallEnd
{
    HttpFailure failure = HttpFailure::None;
    int status = 0;             //!< 0 when no response head arrived.
    bool isRequestSent = false; //!< Whether any byte of the request may have left.
    bool endsWithClose = false; //!< Only the close of the connection has ended the body.
};

//! Functions called as a response arrives. onEnd is called exactly once unless cancelled.
struct HttpCallHandlers
{
    //! Called before the first byte is sent on a new connection; returns whether to send.
    std::function<bool()> onReady;
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view data)> onBody;
    /*!
        Called when there was no progress for the call's progressTimeout. Returns whether to wait as
        long again; without the function, the call ends.
    */
    std::function<bool()> onSilence;
    std::function<void(const HttpCallEnd &end)> onEnd;
};

/*!
    A call in progress. Destroying it cancels the call: closes its connection, which tells the
    server, and calls no handler any more.

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
        To be called in onHead only: the response is that of another call. It is read to its end and
        dropped, onHead is called for the one that follows, and the connection is not used again.
        Returns false, and does nothing, when the end of the response could not be recognised or
        too many were dropped.
    */
    bool dropResponse();
    //! The response has made progress; from now on silence of \a limit is too long.
    void noteProgress(Duration limit);

private:
    friend class HttpClient;
    explicit HttpCall(std::shared_ptr<CallState> state);

    std::shared_ptr<CallState> state_;
};

/*!
    An HTTP/1.1 client on bufferevent, with Boost.Beast's parser and a pool of idle connections for
    each address. evhttp is not used, since it does not tell a reset from an orderly close.

    A call is sent at most once: a pooled connection that turns out closed is reported as
    ClosedBeforeResponse and never retried here.

    A response that only the close of its connection ends is complete only for calls with
    acceptsCloseDelimited; for others it ends with ClosedMidResponse after the head and all of the
    body have been handed over. A connection that delivers more than its response is closed.

    Thread safety: loop thread only. The loop must outlive the client. Destroying the client cancels
    its calls, and must not be done in one of its handlers.
*/
class HttpClient
{
public:
    struct Options
    {
        Duration maxIdle =
            std::chrono::seconds(30); //!< Idle connections older than this are closed.
        //! Bursts need as many as their calls run at once: each further one costs a connect.
        std::size_t maxIdlePerAddress = 1024;
        //! Connections without an acknowledgement for this long are closed by the kernel.
        Duration unacknowledgedTimeout = std::chrono::seconds(10);
        //! Idle time after which the kernel probes a connection, and the time between probes.
        std::chrono::seconds probeInterval = std::chrono::seconds(10);
    };

    HttpClient(EventLoop &loop, const Options &options);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /*!
        Starts a call. Handlers run from the loop, never before this returns. A handler may destroy
        the returned call.
    */
    std::unique_ptr<HttpCall> start(HttpCallRequest request, HttpCallHandlers handlers);
    //! Closes the idle connections to \a address.
    void closeIdle(const SocketAddress &address);
    std::size_t idleConnections() const;
    //! Connections opened since the start.
    std::uint64_t openedConnections() const;
    //! Connections closed since the start because bytes came that belong to no call: after a whole
    //! response, or while the connection was idle.
    std::uint64_t strayConnections() const;

private:
    std::unique_ptr<ConnectionPool> pool_;
};

} // namespace crocusport

#endif // CROCUSPORT_HTTPCLIENT_H
