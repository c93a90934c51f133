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
    Duration idleTimeout = std::chrono::seconds(60); //!< No byte in or out.
};

/*!
    An HTTP/1.1 server on evhttp (RFC 9112).

    Thread safety: loop thread only. The loop must outlive the server.
*/
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /*!
        Listens on \a address ("ip:port"; port 0 takes a free one). Calls \a handler for each
        complete request. Answers 413 or 400 itself when a limit is passed or the input is
        malformed. Fails with ListenFailed.
    */
    static Result<std::unique_ptr<HttpServer>> create(EventLoop &loop, const SocketAddress &address,
                                                      const HttpServerLimits &limits,
                                                      Handler handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    //! The address in use, with the actual port.
    const SocketAddress &address() const;
    //! Closes the listening socket; open connections go on, without keep-alive.
    void stopAccepting();
    //! Number of exchanges without a complete answer.
    std::size_t openExchanges() const;

private:
    friend class ServerConnection;
    HttpServer();

    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace crocusport

#endif // CROCUSPORT_HTTPSERVER_H
