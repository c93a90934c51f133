#ifndef CROCUSPORT_SCRIPTEDSERVER_H
#define CROCUSPORT_SCRIPTEDSERVER_H

#include "crocusport/state/identifiers.h"
#include "crocusport/transport/eventloop.h"
#include "crocusport/transport/timer.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace crocusport {

/*!
    A backend server that sends bytes, pauses and ends connections as the script of a test says.
    What it sends need not be valid HTTP.
    Thread safety: loop thread only. The loop must outlive the server.
*/
class ScriptedServer
{
public:
    struct Request
    {
        std::string id;
        std::string target;
        std::string body;
        std::optional<std::uint64_t> lastEventId;
        std::string previousId; //!< Id of the previous request on the connection, or empty.
    };

    //! One action on the connection of a request. The steps of a connection are executed in order.
    struct Step
    {
        enum class Act { Send, Close, Reset };

        Act act = Act::Send;
        std::string bytes;
        Milliseconds pause {}; //!< Time to wait before the act.
    };

    using Script = std::function<std::vector<Step>(const Request &request)>;

    ScriptedServer(EventLoop &loop, Script script);
    ~ScriptedServer();

    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    const SocketAddress &address() const { return address_; }
    //! Number of connections accepted since the start.
    std::size_t connectionCount() const { return received_.size(); }

    //! Whether connection \a number, counted from 0, is open.
    bool isOpen(std::size_t number) const;
    //! Stops or starts reading, on open and later connections.
    void setReading(bool isReading);
    //! Sends \a bytes on every open connection.
    void sendToAll(const std::string &bytes);
    //! All bytes received: one text for each connection since the start, in the order of
    //! acceptance.
    const std::vector<std::string> &received() const { return received_; }

private:
    struct Connection
    {
        Connection(ScriptedServer &owner, std::size_t number);

        ScriptedServer &server;
        std::size_t index;
        bufferevent *buffers = nullptr; //!< Null: closed.
        std::size_t parsed = 0;
        std::string previousId;
        std::deque<Step> steps;
        Timer timer;
    };

    static void onAccepted(evconnlistener *listener, int socket, sockaddr *address, int size,
                           void *self);
    static void onRead(bufferevent *buffers, void *connection);
    static void onEvent(bufferevent *buffers, short what, void *connection);
    void readRequests(Connection &connection);
    void act(Connection &connection);
    void close(Connection &connection);

    EventLoop &loop_;
    Script script_;
    evconnlistener *listener_ = nullptr;
    SocketAddress address_;
    std::list<Connection> connections_;
    std::vector<std::string> received_;
    bool isReading_ = true;
};

} // namespace crocusport

#endif // CROCUSPORT_SCRIPTEDSERVER_H
