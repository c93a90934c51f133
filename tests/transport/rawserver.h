#ifndef CROCUSPORT_RAWSERVER_H
#define CROCUSPORT_RAWSERVER_H

#include "crocusport/state/identifiers.h"
#include "crocusport/transport/eventloop.h"

#include <list>
#include <string>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace crocusport {

//! A server that responds to each request head with the same bytes, which may be invalid.
class RawServer
{
public:
    //! What happens to a connection after a response.
    enum class Ending { KeepOpen, Close, Reset };

    RawServer(EventLoop &loop, std::string answer, Ending ending);
    ~RawServer();

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    const SocketAddress &address() const { return address_; }
    int connectionCount() const { return connectionCount_; }
    int requestCount() const { return requestCount_; }
    //! Sends \a bytes on every open connection.
    void sendToAll(const std::string &bytes);
    //! Ends the sending direction of every open connection, before this returns.
    void shutDownAll();
    //! Closes every open connection; the loop does so in its next iteration.
    void closeAll();

private:
    struct Connection
    {
        RawServer *server = nullptr;
        bufferevent *buffers = nullptr;
    };

    static void onAccepted(evconnlistener *listener, int socket, sockaddr *address, int size,
                           void *self);
    static void onRead(bufferevent *buffers, void *connection);
    static void onWritten(bufferevent *buffers, void *connection);
    static void onEvent(bufferevent *buffers, short what, void *connection);
    void close(Connection *connection);

    EventLoop &loop_;
    std::string answer_;
    Ending ending_;
    evconnlistener *listener_ = nullptr;
    SocketAddress address_;
    std::list<Connection> connections_;
    int connectionCount_ = 0;
    int requestCount_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_RAWSERVER_H
