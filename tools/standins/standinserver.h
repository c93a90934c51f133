#ifndef CROCUSPORT_STANDINSERVER_H
#define CROCUSPORT_STANDINSERVER_H

#include "../common/taskqueue.h"
#include "crocusport/state/error.h"
#include "crocusport/transport/httpserver.h"
#include "faultcontrol.h"
#include "guardedexchange.h"

#include <functional>
#include <memory>
#include <vector>

namespace crocusport {

class EventLoop;

/*!
    The HTTP server of one stand-in. Answers POST /control/fault itself and shows the faults that
    concern connections: freeze, silent and outage.

    Thread safety: loop thread only. The loop must outlive the server.
*/
class StandinServer
{
public:
    using Handler = std::function<void(std::shared_ptr<GuardedExchange>)>;

    //! Fails with ListenFailed.
    static Result<std::unique_ptr<StandinServer>> create(EventLoop &loop,
                                                         const SocketAddress &address);

    StandinServer(const StandinServer &) = delete;
    StandinServer &operator=(const StandinServer &) = delete;

    //! Must be set before the loop runs.
    void setHandler(Handler handler) { handler_ = std::move(handler); }
    const SocketAddress &address() const { return address_; }
    FaultControl &faults() { return faults_; }
    TaskQueue &tasks() { return tasks_; }
    //! Exits the process at once, without any cleanup, if a fault asks for it on \a text.
    void crashIfOrdered(std::string_view text) const;

private:
    StandinServer(EventLoop &loop, SocketAddress address);

    Result<void> listen();
    void onRequest(const std::shared_ptr<HttpExchange> &exchange,
                   const std::shared_ptr<ConnectionGroup> &group);
    void onFault(HttpExchange &exchange);
    void startOutage(Duration length);
    void setAside();

    EventLoop &loop_;
    SocketAddress address_;
    Handler handler_;
    FaultControl faults_;
    TaskQueue tasks_;
    std::shared_ptr<ConnectionGroup> group_;
    std::unique_ptr<HttpServer> server_;
    std::vector<std::unique_ptr<HttpServer>> formerServers_; //!< Their connections are still open.
    std::vector<std::weak_ptr<HttpExchange>> open_;
};

} // namespace crocusport

#endif // CROCUSPORT_STANDINSERVER_H
