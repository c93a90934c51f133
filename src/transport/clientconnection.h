#ifndef CROCUSPORT_CLIENTCONNECTION_H
#define CROCUSPORT_CLIENTCONNECTION_H

#include "crocusport/transport/httpclient.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

struct bufferevent;

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
    ~ClientConnection();

    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    //! Sends the request of \a call. Precondition: no other call is in progress.
    void send(std::shared_ptr<CallState> call);
    //! Discards the response whose head is being delivered; see HttpCall::dropResponse().
    bool dropResponse();
    //! Called when the call has ended: returns the connection to the pool, or closes it.
    void release();
    //! Shuts the TCP connection down in both directions.
    void shutDown();

    const SocketAddress &address() const { return address_; }
    //! The time from which on the idle connection must not be used.
    Instant expiry() const { return expiry_; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    ClientConnection(ConnectionPool &pool, SocketAddress address, bufferevent *bufferevent);

    static void onRead(bufferevent *bufferevent, void *self);
    static void onWritten(bufferevent *bufferevent, void *self);
    static void onEvent(bufferevent *bufferevent, short what, void *self);

    //! Sets TCP_NODELAY, and the timeouts that close a connection whose peer has vanished.
    void setSocketOptions();
    //! Whether the peer has closed or reset the connection, also if the event loop has not reported
    //! it yet.
    bool isClosedByPeer() const;
    void writeRequest();
    //! Whether the socket has taken no byte of the current request.
    bool isRequestUnwritten() const;
    void startParser();
    void readResponse();
    //! Parses received bytes. Returns whether the response is complete.
    bool parse(CallState &call);
    //! Checks the head of a final response and delivers it. Returns false when the call has ended.
    bool acceptHead(CallState &call);
    void onConnected();
    void onClosed(bool isOrderly);
    //! Ends the call after an exception in a callback, which leaves the response half processed.
    void endAfterFailure();
    void finish(CallState &call);

    ConnectionPool &pool_;
    SocketAddress address_;
    bufferevent *bufferevent_;
    std::shared_ptr<CallState> call_;
    std::optional<Parser> parser_; //!< Parser of the current response.
    Instant expiry_ {};
    std::size_t requestBytes_ = 0; //!< Size of the current request with its head; 0: not written.
    Duration maxIdle_;             //!< From the Keep-Alive header, else from the options.
    int interimResponses_ = 0;     //!< Interim responses received in the current call.
    int droppedResponses_ = 0;     //!< Responses discarded in the current call.
    bool isPooled_ = false;        //!< The current call allows reuse.
    bool isKeptAlive_ = false;     //!< The current response allows another request.
    bool isDropping_ = false;      //!< The current response is to be discarded.
    bool hasCarriedHead_ = false;  //!< A call on this connection had the method HEAD.
    bool isConnected_ = false;
    bool isClosed_ = false;
    bool mayBeReused_ = false; //!< The current response is complete and allows another request.
};

} // namespace crocusport

#endif // CROCUSPORT_CLIENTCONNECTION_H
