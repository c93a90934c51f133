#ifndef CROCUSPORT_SERVERCONNECTION_H
#define CROCUSPORT_SERVERCONNECTION_H

#include "crocusport/transport/httpserver.h"
#include "crocusport/transport/timer.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <event2/util.h>

#include <cstddef>
#include <optional>

struct bufferevent;
struct evbuffer;

namespace crocusport {

/*!
    One connection that a server has accepted, with at most one exchange at a time.

    Thread safety: loop thread only.
*/
class ServerConnection
{
public:
    //! \a server must outlive the connection, which owns \a socket.
    ServerConnection(HttpServer::Private &server, evutil_socket_t socket);
    ~ServerConnection();

    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    //! Whether the answer must say that the connection closes after it.
    bool isLastExchange() const;
    //! The exchange, which is being destroyed, is forgotten.
    void forgetExchange() { exchange_ = nullptr; }
    evbuffer *output() const;
    //! Whether no request is being received or answered, and none waits in the socket.
    bool isIdle() const;
    /*!
        Closes the connection if it is idle. One that was accepted a moment ago stays open for its
        first request, for a second at most.
    */
    void closeWhenIdle();
    //! Whether the exchange has ended and bytes of its answer have not been sent.
    bool hasUnsentAnswer() const;
    //! The answer of the exchange is complete; \a keepAlive allows another request.
    void finishExchange(bool keepAlive);
    //! Closes the connection with a reset, so that a cut answer without length is recognisable.
    void reset();
    //! Closes the connection; an open exchange is told that its caller has left.
    void close();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    static void onRead(bufferevent *bufferevent, void *self);
    static void onWritten(bufferevent *bufferevent, void *self);
    static void onEvent(bufferevent *bufferevent, short what, void *self);

    void resetOnClose();
    bool hasUnreadBytes() const;
    void readRequest();
    bool beginRequest();
    //! Returns whether a request is complete.
    bool parse();
    bool checkHead();
    void startExchange();
    void reject(int status);
    //! A callback has failed half way; the connection cannot be used any more.
    void closeAfterFailure();
    void onTimer();
    void startIdleTime();
    void startLingering();
    void waitForRequest();

    HttpServer::Private &server_;
    bufferevent *bufferevent_;
    std::optional<Parser> parser_;     //!< Of the request that is being read.
    HttpExchange *exchange_ = nullptr; //!< Null without an exchange or after it was destroyed.
    Timer timer_;                      //!< Idle time, time of a request, or lingering.
    Instant acceptedAt_;
    Instant arrival_ {};           //!< Of the first byte of the last request.
    std::size_t scannedBytes_ = 0; //!< Of a head that is not complete.
    std::size_t headBytes_ = 0;    //!< Of the request that is being read.
    bool isBusy_ = false;          //!< Between a request and the end of its answer.
    bool isReading_ = false;       //!< Part of a request has been received.
    bool isClosingAfterWrite_ = false;
    bool isLingering_ = false; //!< Waits for the caller to close, discarding what it sends.
    bool isContinueSent_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_SERVERCONNECTION_H
