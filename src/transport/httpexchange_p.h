#ifndef CROCUSPORT_HTTPEXCHANGE_P_H
#define CROCUSPORT_HTTPEXCHANGE_P_H

#include "crocusport/transport/httpexchange.h"

struct evhttp_request;

namespace crocusport {

struct HttpExchange::Private
{
    //! What has been sent. The order is the order of the steps.
    enum class Progress { Waiting, Streaming, Answered };

    ServerConnection *connection = nullptr; //!< Null after the caller has left or got all.
    evhttp_request *request = nullptr;      //!< Null from Answered on: evhttp frees it then.
    Progress progress = Progress::Waiting;
    bool isClosed = false;
    bool isChunked = false;
    bool hasBody = true; //!< False when the answer may have none, as to HEAD.

    std::string method;
    std::string path;
    std::string query;
    HttpHeaders headers;
    std::string body;
    std::function<void()> closedHandler;
};

} // namespace crocusport

#endif // CROCUSPORT_HTTPEXCHANGE_P_H
