#ifndef CROCUSPORT_BACKENDCALLREQUEST_H
#define CROCUSPORT_BACKENDCALLREQUEST_H

#include "answermemory.h"

#include "crocusport/state/backendserver.h"
#include "crocusport/state/instant.h"
#include "crocusport/transport/httpclient.h"

#include <string>

namespace crocusport {

struct Settings;

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
    AnswerMemory *answerMemory = nullptr; //!< Must be set, and outlive the call.
};

/*!
    Returns a call of a repeatable request to \a server with the caller's method, target and the
    headers that are passed on, and without attempt and body. Loop thread only.
*/
BackendCallRequest makeBackendCallRequest(const Settings &settings, AnswerMemory &answerMemory,
                                          const HttpExchange &exchange,
                                          const BackendServer &server);

} // namespace crocusport

#endif // CROCUSPORT_BACKENDCALLREQUEST_H
