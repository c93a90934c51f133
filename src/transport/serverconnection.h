#ifndef CROCUSPORT_SERVERCONNECTION_H
#define CROCUSPORT_SERVERCONNECTION_H

#include "crocusport/transport/clientmemory.h"
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
    A connection that a server has accepted. It has at most one open exchange at a time.

    Thread safety: loop thread only.
*/
class ServerConnection : private ClientMemory::Holder
{
public:
    //! \a server must outlive the connection, which owns \a socket.
    ServerConnection(HttpServer::Private &server, evutil_socket_t socket);
    ~ServerConnection();

    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    //! Whether the response must have "Connection: close".
    bool mustCloseAfterResponse() const;
    //! Removes the reference to the exchange, which is being destroyed or aborted.
    void detachExchange() { exchange_ = nullptr; }
    //! The buffer of bytes to send.
    evbuffer *output() const;
    //! Whether no request is being received, handled or waiting in the socket, and no bytes of a
    //! response are left to send.
    bool isIdle() const;
    /*!
        Closes the connection if it is idle. A connection that has not sent a request yet stays open
        until 1 second after it was accepted, so that its first request can arrive.
    */
    void closeWhenIdle();
    //! Whether the exchange has ended but bytes of its response have not been sent yet.
    bool hasUnsentResponse() const;
    //! Called when the response is complete; \a keepAlive says whether another request may follow.
    void finishExchange(bool keepAlive);
    //! Resets the connection, so that the caller can detect a truncated response without length.
    void reset();
    //! Closes the connection and notifies an open exchange that its caller has disconnected.
    void close();
    //! Since when the connection has been idle or without progress; nothing if it may not be closed
    //! for a new connection at \a now.
    std::optional<Instant> replaceableSince(Instant now) const;
    //! Charges what the caller has not read of the last response; having read counts as progress.
    void updateUnread(Instant now);

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    static void onRead(bufferevent *bufferevent, void *self);
    static void onWritten(bufferevent *bufferevent, void *self);
    static void onEvent(bufferevent *bufferevent, short what, void *self);

    void onGranted() override;
    void onEvicted() override;
    void onRefused() override;

    //! Reserves memory. Without it, pauses reading until onGranted() and returns false.
    bool reserve(ClientCharge kind, std::size_t bytes);
    bool reserveParsedHead();
    bool reserveBody();
    //! Whether the body arrives more slowly than the least rate.
    bool isBodyTooSlow(Instant now) const;
    void noteBodyProgress();
    void setReadLimit(std::size_t bytes);
    void releaseRequest();
    void resetOnClose();
    bool hasUnreadBytes() const;
    void readRequest();
    //! Prepares to read the next request. Returns whether any byte of it has been received.
    bool beginRequest();
    //! Parses received bytes. Returns whether a request is complete.
    bool parse();
    bool checkHead();
    void startExchange();
    void reject(int status, std::string_view extraHeaders = {});
    //! Closes the connection after an exception in a callback, which leaves a request half
    //! processed.
    void closeAfterFailure();
    void onTimer();
    void startIdleTime();
    void startLingering();
    void waitForRequest();

    HttpServer::Private &server_;
    bufferevent *bufferevent_;
    std::optional<Parser> parser_;     //!< Parser of the request that is being read.
    HttpExchange *exchange_ = nullptr; //!< Null without an open exchange.
    Timer timer_;                      //!< Timeout while idle, reading a request or lingering.
    Instant acceptedAt_;
    Instant arrival_ {};           //!< When the first byte of the latest request arrived.
    std::size_t scannedBytes_ = 0; //!< Bytes of an incomplete head that were searched for its end.
    std::size_t headBytes_ = 0;    //!< Size of the current request's head; 0 until complete.
    bool isBusy_ = false;          //!< From the end of a request to the end of its response.
    bool isReading_ = false;       //!< Part of a request has been received.
    bool isClosingAfterWrite_ = false; //!< The response that is being sent is the last one.
    bool isLingering_ = false; //!< Discards input until the caller closes or the time is over.
    bool isContinueSent_ = false;
    bool isPaused_ = false;                        //!< Reading waits for memory.
    std::optional<ClientMemory::Account> account_; //!< Nothing without a budget.
    std::size_t bodyReserved_ = 0;
    std::size_t progressBytes_ = 0; //!< Size of the body at the last progress.
    Instant progressAt_;            //!< Last time that counts as progress.
    Instant pausedAt_;
    Duration pausedTime_ {}; //!< Time in which the current request waited for memory.
};

} // namespace crocusport

#endif // CROCUSPORT_SERVERCONNECTION_H
