#ifndef CROCUSPORT_OPERATORCONNECTION_H
#define CROCUSPORT_OPERATORCONNECTION_H

#include "crocusport/state/configuration.h"
#include "crocusport/state/error.h"
#include "crocusport/transport/eventloop.h"
#include "crocusport/transport/httpclient.h"

#include <memory>
#include <string>
#include <vector>

namespace crocusport {

/*!
    Blocking calls to routers and the store, for the operators' tool.

    Thread safety: none; each call runs the event loop.
*/
class OperatorConnection
{
public:
    static Result<std::unique_ptr<OperatorConnection>> create();

    /*!
        Returns the body of a router's answer to `GET target`. Fails with NotFound (status 404),
        BadRequest (any other status but 200), ConnectFailed, ConnectionClosed or Timeout.
    */
    Result<std::string> get(const SocketAddress &router, const std::string &target);

    //! Returns the published document. Fails with NotFound when there is none.
    Result<std::string> readConfiguration(const std::vector<SocketAddress> &store);

    /*!
        Publishes \a configuration as the next version and returns that. Fails with the codes of
        Publisher, or with ConfigurationTooLarge.
    */
    Result<ConfigurationVersion> publish(const std::vector<SocketAddress> &store,
                                         const Configuration &configuration);

private:
    OperatorConnection() = default;

    std::unique_ptr<EventLoop> loop_;
    std::unique_ptr<HttpClient> client_;
};

} // namespace crocusport

#endif // CROCUSPORT_OPERATORCONNECTION_H
