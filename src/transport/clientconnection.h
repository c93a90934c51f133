#ifndef CROCUSPORT_CLIENTCONNECTION_H
#define CROCUSPORT_CLIENTCONNECTION_H

#include "crocusport/transport/httpclient.h"

#include <event2/http.h>

#include <memory>
#include <optional>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace crocusport {

class CallState;
class ConnectionPool;

/*!
    One connection of a client, which carries one call at a time.

    Thread safety: loop thread only.
*/
class ClientConnection
{
public:
    //! Fails with BadSettings when \a address is not an IP address and port. \a pool must outlive
    //! the connection.
    static Result<std::unique_ptr<ClientConnection>> create(EventLoop &loop, ConnectionPool &pool,
                                                            const SocketAddress &address);
    //! Precondition: not called from evhttp, whose functions still use the connection then.
    ~ClientConnection();

    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    //! Sends the request of \a call. Precondition: no other call is in progress.
    void send(std::shared_ptr<CallState> call);
    //! The call has ended: returns the connection to the pool, or shuts it down.
    void release();
    //! Shuts the TCP connection down, which tells the server.
    void shutDown();

    const SocketAddress &address() const { return address_; }
    Instant lastUse() const { return lastUse_; }

private:
    ClientConnection(ConnectionPool &pool, SocketAddress address, evhttp_connection *connection);

    static void onDone(evhttp_request *request, void *self);
    static int onHead(evhttp_request *request, void *self);
    static void onBody(evhttp_request *request, void *self);
    static void onError(evhttp_request_error error, void *self);
    static void onClosed(evhttp_connection *connection, void *self);
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *self);
    static void onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *self);

    evhttp_request *makeRequest(HttpCallRequest &request);
    void markConnected();
    HttpFailure failureOf(evhttp_request *request) const;
    bool isReusable(evhttp_request *request) const;

    ConnectionPool &pool_;
    SocketAddress address_;
    evhttp_connection *connection_;
    bufferevent *bufferevent_;
    std::shared_ptr<CallState> call_;
    std::optional<HttpFailure> failure_; //!< Seen in the current response.
    Instant lastUse_ {};
    bool isPooled_ = false; //!< The current call allows reuse.
    bool isConnected_ = false;
    bool isStarting_ = false;
    bool mayBeReused_ = false; //!< The current response is complete and allows another request.
};

} // namespace crocusport

#endif // CROCUSPORT_CLIENTCONNECTION_H
