#ifndef CROCUSPORT_ANSWER_H
#define CROCUSPORT_ANSWER_H

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"
#include "crocusport/state/outcome.h"
#include "crocusport/state/resultcode.h"
#include "crocusport/transport/httpexchange.h"

#include <optional>
#include <string>

namespace crocusport {

//! Told to callers when no estimate exists, such as before the first configuration.
inline constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

//! How a request ended, as the caller is told.
struct AnswerStatus
{
    Outcome outcome = Outcome::Failed;
    ResultCode code = ResultCode::InternalError;
    std::string message;
    std::optional<Duration> retryAfter; //!< For NotRun: when a new attempt should succeed.
};

//! HTTP status for \a status (docs/design.md section 4.4). Safe from any thread.
int httpStatusFor(const AnswerStatus &status);
//! Headers that tell the outcome. Safe from any thread.
HttpHeaders outcomeHeaders(const RequestId &request, const AnswerStatus &status);
//! JSON body of an error answer, in the form of the OpenAI API's errors. Safe from any thread.
std::string errorBody(const RequestId &request, const AnswerStatus &status);
//! Final server-sent event of a stream, which tells the outcome. Safe from any thread.
std::string outcomeEvent(const RequestId &request, const AnswerStatus &status);

} // namespace crocusport

#endif // CROCUSPORT_ANSWER_H
