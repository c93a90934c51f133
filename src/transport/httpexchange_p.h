#ifndef CROCUSPORT_HTTPEXCHANGE_P_H
#define CROCUSPORT_HTTPEXCHANGE_P_H

#include "crocusport/transport/httpexchange.h"

namespace crocusport {

struct HttpExchange::Private
{
    //! What has been sent: nothing, the head of a stream, or the complete response.
    enum class Progress { NothingSent, Streaming, Complete };

    //! Splits \a target, which may be in absolute form, into path and query.
    void setTarget(std::string_view target);
    /*!
        Returns whether the method \a call may run: the response must be at the step \a expected. At
        any other step the method would send bytes that the caller cannot assign to a response, so
        the call is logged and counted, and the connection, if any, is reset. Once the caller has
        disconnected or the response has been aborted, only returns false.
    */
    bool requireProgress(Progress expected, std::string_view call);
    void abort();
    void writeHead(int status, const HttpHeaders &headers, std::string_view framing);

    ServerConnection *connection = nullptr; //!< Null once the response is complete or closed.
    Progress progress = Progress::NothingSent;
    bool isClosed = false;
    bool isHttp11 = true;
    bool isKeptAlive = true;
    bool isChunked = false;
    bool hasBody = true; //!< False when the response must not have a body, e.g. to a HEAD request.

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
