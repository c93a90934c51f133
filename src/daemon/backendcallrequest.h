#ifndef CROCUSPORT_BACKENDCALLREQUEST_H
#define CROCUSPORT_BACKENDCALLREQUEST_H

#include "crocusport/state/backendserver.h"
#include "crocusport/state/instant.h"
#include "crocusport/transport/httpclient.h"

#include <string>

namespace crocusport {

//! One attempt on a backend server.
struct BackendCallRequest
{
    BackendServer server;
    RequestId attempt; //!< Unique for each attempt, so that a resume finds its own stream.
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;
    ConnectionUse connection = ConnectionUse::Pooled;
    Duration connectTimeout {};
    Duration progressTimeout {};
    Duration probeTimeout {};
    std::size_t maxResponseBytes = 0;
    std::size_t maxEventBytes = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_BACKENDCALLREQUEST_H
