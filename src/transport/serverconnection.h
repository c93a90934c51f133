#ifndef CROCUSPORT_SERVERCONNECTION_H
#define CROCUSPORT_SERVERCONNECTION_H

#include "crocusport/transport/httpserver.h"

struct bufferevent;
struct evbuffer;
struct evhttp_connection;
struct evhttp_request;

namespace crocusport {

/*!
    One connection that a server has accepted, with at most one exchange at a time.

    Thread safety: loop thread only.
*/
class ServerConnection
{
public:
    //! \a server must outlive the connection. evhttp owns \a connection.
    ServerConnection(HttpServer::Private &server, evhttp_connection *connection);

    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    //! Handles a complete request, or one that must be rejected.
    void handleRequest(evhttp_request *request);
    //! Whether the answer must say that the connection closes after it.
    bool isLastExchange() const;
    //! Forgets the exchange, which is being destroyed.
    void forgetExchange();
    evbuffer *output() const;
    /*!
        Resets the TCP connection at once; evhttp notices this from the loop. Forgets the exchange
        and takes \a request, which may be null.
    */
    void reset(evhttp_request *request);

private:
    static void onClosed(evhttp_connection *connection, void *self);
    static void onComplete(evhttp_request *request, void *self);

    void watchForClose();
    void stopWatchingForClose();
    static void copyRequest(evhttp_request *request, HttpExchange::Private &exchange);
    static bool isAmbiguous(const HttpExchange::Private &exchange);

    HttpServer::Private &server_;
    evhttp_connection *connection_;
    bufferevent *bufferevent_;
    HttpExchange *exchange_ = nullptr;    //!< Null without an exchange or after it was destroyed.
    evhttp_request *abandoned_ = nullptr; //!< Of an exchange that was aborted.
    bool isBusy_ = false;                 //!< Between a request and the end of its answer.
};

} // namespace crocusport

#endif // CROCUSPORT_SERVERCONNECTION_H
