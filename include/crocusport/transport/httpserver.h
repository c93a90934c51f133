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

class EventLoop;

//! Limits on what one caller may use.
struct HttpServerLimits
{
    std::size_t maxHeadBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    std::size_t maxConnections = 10'000;
    //! No byte in or out; also for an answer that the caller does not read.
    Duration idleTimeout = std::chrono::seconds(60);
    Duration headTimeout = std::chrono::seconds(60); //!< From the first to the last byte of a head.
};

/*!
    An HTTP/1.1 server (RFC 9112) on bufferevent, with Boost.Beast's parser.

    evhttp is not used: it accepts signed lengths, bare line feeds and folded lines, refuses chunk
    extensions, and does not tell a head that is too large from a malformed one.

    Thread safety: loop thread only. The loop must outlive the server.
*/
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /*!
        Listens on \a address ("ip:port"; port 0 takes a free one). Calls \a handler for each
        complete request. Answers 400, 408, 413 or 431 itself when the input is malformed or a
        limit is passed. Fails with ListenFailed.
    */
    static Result<std::unique_ptr<HttpServer>> create(EventLoop &loop, const SocketAddress &address,
                                                      const HttpServerLimits &limits,
                                                      Handler handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    //! The address in use, with the actual port.
    const SocketAddress &address() const;
    //! Replaces the limits, for requests that begin from now on.
    void setLimits(const HttpServerLimits &limits);
    //! Leaves new connections to the kernel, which keeps them and what they send, until resumed.
    void pauseAccepting();
    void resumeAccepting();
    //! Closes the listening socket and idle connections; open exchanges go on, without keep-alive.
    void stopAccepting();
    //! Answers from now on ask callers to close; new connections are still accepted.
    void closeAfterAnswers();
    //! Number of exchanges without an answer that has left completely.
    std::size_t openExchanges() const;
    //! Number of connections, idle ones included.
    std::size_t connectionCount() const;

private:
    friend class ServerConnection;
    HttpServer();

    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace crocusport

#endif // CROCUSPORT_HTTPSERVER_H
