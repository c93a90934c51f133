#ifndef CROCUSPORT_OPERATORSERVICE_H
#define CROCUSPORT_OPERATORSERVICE_H

#include "crocusport/state/identifiers.h"
#include "crocusport/transport/httpserver.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace crocusport {

/*!
    The operators' HTTP port: /metrics, /healthz, /readyz, /status, /config and /explain.

    Thread safety: loop thread only.
*/
class OperatorService
{
public:
    //! Gives the events of one request; may answer later, since other routers may be asked.
    using ExplainReply = std::function<void(std::vector<std::string> events)>;

    struct Sources
    {
        std::function<std::string()> metrics;
        std::function<bool()> isReady;
        std::function<std::string()> status;        //!< JSON.
        std::function<std::string()> configuration; //!< JSON; empty when there is none.
        std::function<void(const RequestId &request, ExplainReply reply)> explain;
    };

    static Result<std::unique_ptr<OperatorService>>
    create(EventLoop &loop, const SocketAddress &address, Sources sources);

    const SocketAddress &address() const { return server_->address(); }

private:
    explicit OperatorService(Sources sources);

    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void handleExplain(const std::shared_ptr<HttpExchange> &exchange);

    Sources sources_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace crocusport

#endif // CROCUSPORT_OPERATORSERVICE_H
