#include "servers.h"

#include <stdexcept>
#include <utility>

namespace crocusport {

std::unique_ptr<HttpServer> makeServer(EventLoop &loop, HttpServer::Handler handler,
                                       const HttpServerLimits &limits)
{
    return handleErrors(
        [&] {
            return HttpServer::create(loop, SocketAddress("127.0.0.1:0"), limits,
                                      std::move(handler));
        },
        [](const Error &error) -> std::unique_ptr<HttpServer> {
            throw std::runtime_error(error.message);
        });
}

} // namespace crocusport
