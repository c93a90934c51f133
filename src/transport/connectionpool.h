#ifndef CROCUSPORT_CONNECTIONPOOL_H
#define CROCUSPORT_CONNECTIONPOOL_H

#include "crocusport/transport/httpclient.h"
#include "crocusport/transport/timer.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace crocusport {

class ClientConnection;

/*!
    The connections of one client: those in use, the idle ones by address, and discarded ones that
    wait to be destroyed.

    Thread safety: loop thread only.
*/
class ConnectionPool
{
public:
    ConnectionPool(EventLoop &loop, const HttpClient::Options &options);
    ~ConnectionPool();

    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    EventLoop &loop() { return loop_; }
    //! Returns an idle connection, or a new one for ConnectionUse::Fresh or when none is idle.
    Result<ClientConnection *> take(const SocketAddress &address, ConnectionUse use);
    //! Returns \a connection, which take() has returned, to the idle connections.
    void keep(ClientConnection &connection);
    //! Schedules \a connection to be destroyed from the loop, since its methods may be running.
    void discard(ClientConnection &connection);
    void closeIdle(const SocketAddress &address);
    std::size_t idleCount() const { return idleCount_; }
    std::uint64_t openedCount() const { return openedCount_; }
    //! Counts a connection that has delivered bytes that belong to no call.
    void countStrayConnection() { ++strayCount_; }
    std::uint64_t strayCount() const { return strayCount_; }
    const HttpClient::Options &options() const { return options_; }

private:
    using Connections = std::vector<std::unique_ptr<ClientConnection>>;

    void closeExpired();
    void discardAt(Connections &connections, std::size_t index);

    EventLoop &loop_;
    HttpClient::Options options_;
    std::unordered_map<ClientConnection *, std::unique_ptr<ClientConnection>> taken_;
    std::unordered_map<SocketAddress, Connections> idle_; //!< The most recently used is last.
    Connections discarded_;
    std::size_t idleCount_ = 0;
    std::uint64_t openedCount_ = 0;
    std::uint64_t strayCount_ = 0;
    Timer discardTimer_;
    Timer expiryTimer_;
};

} // namespace crocusport

#endif // CROCUSPORT_CONNECTIONPOOL_H
