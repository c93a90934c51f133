#ifndef CROCUSPORT_BACKENDCALLRESULT_H
#define CROCUSPORT_BACKENDCALLRESULT_H

#include "crocusport/state/instant.h"
#include "crocusport/transport/httpclient.h"

#include <cstdint>
#include <string>

namespace crocusport {

//! How one attempt on a backend server ended.
enum class BackendCallEnd {
    Completed,
    NotRun,      //!< Certain: not connected, or refused with X-Not-Run.
    Overloaded,  //!< 429 or 503 without the certainty of NotRun.
    Rejected,    //!< Another 4xx: the request itself is at fault.
    ServerError, //!< Another 5xx.
    Lost,        //!< Bytes were sent and no whole answer came.
    Malformed,
    TooLarge,
};

//! Whether the backend server itself was found to be in trouble.
enum class BackendCondition { Good, Leaving, Unreachable, Crashed };

struct BackendCallResult
{
    BackendCallEnd end = BackendCallEnd::Lost;
    BackendCondition condition = BackendCondition::Good;
    int status = 0;
    std::string contentType;
    std::string body; //!< Whole body of a plain service, or of an error answer.
    HttpFailure failure = HttpFailure::None;
    Duration firstToken {}; //!< From the start of the attempt; 0 when none came.
    Duration tokenGap {};   //!< Mean gap between tokens; 0 when unknown.
    std::uint32_t outputTokens = 0;
    std::uint32_t resumes = 0;
};

//! Returns a stable name for logs. Safe from any thread.
std::string_view backendCallEndName(BackendCallEnd end);

} // namespace crocusport

#endif // CROCUSPORT_BACKENDCALLRESULT_H
