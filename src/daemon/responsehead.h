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
    std::string contentType;
};

//! Reads the headers that crocusport acts on. Safe from any thread.
ResponseHead readResponseHead(const HttpHeaders &headers);
//! How an attempt ended whose whole response arrived. Safe from any thread.
BackendCallEnd endForStatus(int status, const ResponseHead &head);
//! How an attempt ended whose response did not arrive whole. Safe from any thread.
BackendCallEnd endForFailure(const HttpCallEnd &end);

} // namespace crocusport

#endif // CROCUSPORT_RESPONSEHEAD_H
