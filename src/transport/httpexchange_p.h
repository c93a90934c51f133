#ifndef CROCUSPORT_HTTPEXCHANGE_P_H
#define CROCUSPORT_HTTPEXCHANGE_P_H

#include "crocusport/transport/httpexchange.h"

namespace crocusport {

struct HttpExchange::Private
{
    //! What has been sent. The order is the order of the steps.
    enum class Progress { Waiting, Streaming, Answered };

    //! Splits \a target, which may be in absolute form, into path and query.
    void setTarget(std::string_view target);
    /*!
        Whether the answer stands at \a expected. The caller's bytes could not be told apart after a
        \a call at any other step, so that logs, counts and drops the connection.
    */
    bool require(Progress expected, std::string_view call);
    void abort();
    void writeHead(int status, const HttpHeaders &headers, std::string_view framing);

    ServerConnection *connection = nullptr; //!< Null after the caller has left or got all.
    Progress progress = Progress::Waiting;
    bool isClosed = false;
    bool isHttp11 = true;
    bool isKeptAlive = true;
    bool isChunked = false;
    bool hasBody = true; //!< False when the answer may have none, as to HEAD.

    std::string method;
    std::string path;
    std::string query;
    bool hasQuery = false;
    HttpHeaders headers;
    std::string body;
    Instant arrival;
    std::function<void()> closedHandler;
};

} // namespace crocusport

#endif // CROCUSPORT_HTTPEXCHANGE_P_H
