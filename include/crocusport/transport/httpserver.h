#ifndef CROCUSPORT_HTTPSERVER_H
#define CROCUSPORT_HTTPSERVER_H

#include "crocusport/state/error.h"
#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"
#include "crocusport/transport/httpexchange.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace crocusport {

class ClientMemory;
class EventLoop;

//! Limits on the resources that callers may use.
struct HttpServerLimits
{
    std::size_t maxHeadBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    std::size_t maxConnections = 10'000;
    //! Longest time without a byte received while a request is expected or its body is read, and
    //! without a byte written while a response is sent. Also limits the whole request head when it
    //! is shorter than headTimeout. Does not limit the request's handler.
    Duration idleTimeout = std::chrono::seconds(60);
    Duration headTimeout = std::chrono::seconds(60); //!< From first to last byte of a request head.
    std::size_t maxFields = 0; //!< Fields of a request head; 0: only its size is limited.
    //! Whether the connection that has been idle or without progress for longest is closed for a
    //! new one at maxConnections, instead of leaving new ones to the kernel's queue.
    bool replacesIdle = false;
    //! Time without progress after which a connection with an incomplete request may be replaced.
    Duration stallTime = std::chrono::seconds(1);

    //! Limits for ports whose clients send only small requests without a body: readiness, metrics,
    //! queries of routers. At \a maxConnections the longest idle one gives way.
    static HttpServerLimits withoutBodies(std::size_t maxConnections);
};

/*!
    An HTTP/1.1 server (RFC 9112) on bufferevent, with Boost.Beast's parser.

    evhttp is not used: it accepts signed lengths, bare line feeds and folded lines, refuses chunk
    extensions, and does not distinguish a head that is too large from a malformed one.

    Thread safety: loop thread only. The loop must outlive the server.
*/
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /*!
        Listens on \a address ("ip:port"; port 0 picks a free port). Calls \a handler for each
        complete request. Responds with 400, 408, 413 or 431, without calling \a handler, when the
        input is malformed or a limit is exceeded. Fails with ListenFailed.

        With \a memory, which must outlive the server, connections reserve memory before they read:
        reading pauses while there is none, a request that waits too long for it gets 503, stalled
        connections are closed if others need their memory, and a body that arrives at less than
        1 KiB/s after the idle timeout gets 408.
    */
    static Result<std::unique_ptr<HttpServer>> create(EventLoop &loop, const SocketAddress &address,
                                                      const HttpServerLimits &limits,
                                                      Handler handler,
                                                      ClientMemory *memory = nullptr);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    //! The listening address, with the actual port.
    const SocketAddress &address() const;
    //! Replaces the limits. A request that is being received keeps its body size limit and head
    //! timeout, and its head size limit is not raised. Timers that are running keep their time, and
    //! an open connection keeps its write timeout until it waits for its next request.
    void setLimits(const HttpServerLimits &limits);
    //! Stops accepting until resumeAccepting(). The kernel queues new connections and their data.
    void pauseAccepting();
    void resumeAccepting();
    //! Accepts the connections that the kernel has queued, then closes the listening socket and
    //! idle connections. Open exchanges continue; their connections close after the response.
    void stopAccepting();
    //! Adds "Connection: close" to responses that start from now on. New connections are still
    //! accepted.
    void closeAfterResponses();
    //! Number of exchanges whose response has not been sent completely.
    std::size_t openExchanges() const;
    //! Number of connections, including idle ones.
    std::size_t connectionCount() const;

private:
    friend class ServerConnection;
    HttpServer();

    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace crocusport

#endif // CROCUSPORT_HTTPSERVER_H
