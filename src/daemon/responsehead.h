#ifndef CROCUSPORT_RESPONSEHEAD_H
#define CROCUSPORT_RESPONSEHEAD_H

#include "backendcallresult.h"

#include <optional>
#include <string_view>

namespace crocusport {

//! What the head of a backend server's response says besides its status.
struct ResponseHead
{
    bool isNotRun = false;  //!< X-Not-Run: 1.
    bool isLeaving = false; //!< X-Leaving: 1.
    std::string requestId;  //!< X-Request-Id; empty if the server does not name the request.
    std::string contentType;
};

//! Whose response has arrived.
enum class ResponseOwner {
    Attempt, //!< It names the attempt, or arrived on a connection that carried no other request.
    Unknown, //!< It names no request; it may be a late copy of an earlier response.
    Other,   //!< It names another request.
};

//! Reads the headers that crocusport acts on. Safe from any thread.
ResponseHead readResponseHead(const HttpHeaders &headers);
//! Safe from any thread.
ResponseOwner responseOwner(const ResponseHead &head, const RequestId &attempt,
                            bool isOnNewConnection);
//! How an attempt ended whose whole response arrived. Safe from any thread.
BackendCallEnd endForStatus(int status, const ResponseHead &head, ResponseOwner owner);
//! How an attempt ended whose response did not arrive whole. Safe from any thread.
BackendCallEnd endForFailure(const HttpCallEnd &end);

} // namespace crocusport

#endif // CROCUSPORT_RESPONSEHEAD_H
