#ifndef CROCUSPORT_SERVERS_H
#define CROCUSPORT_SERVERS_H

#include "crocusport/transport/httpserver.h"

namespace crocusport {

//! Returns a server on a free loopback port; throws when it cannot listen.
std::unique_ptr<HttpServer> makeServer(EventLoop &loop, HttpServer::Handler handler,
                                       const HttpServerLimits &limits = {});

} // namespace crocusport

#endif // CROCUSPORT_SERVERS_H
