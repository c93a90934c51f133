#include "answer.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocusport {

namespace {

constexpr int kFirstInputCode = 100;
constexpr int kFirstNotRunCode = 200;

nlohmann::json errorObject(const RequestId &request, const AnswerStatus &status)
{
    nlohmann::json error { { "message", status.message },
                           { "type", resultCodeName(status.code) },
                           { "code", static_cast<int>(status.code) },
                           { "outcome", outcomeName(status.outcome) },
                           { "request_id", request.value() } };
    if (status.retryAfter)
        error["retry_after_ms"] =
            std::chrono::duration_cast<Milliseconds>(*status.retryAfter).count();
    return error;
}

std::string toText(const nlohmann::json &json)
{
    // Messages may quote bytes from outside; invalid UTF-8 must not make the dump throw.
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

int statusForInput(ResultCode code)
{
    switch (code) {
    case ResultCode::BodyTooLarge:
        return 413;
    case ResultCode::BadCredential:
        return 401;
    case ResultCode::TeamNotAllowed:
        return 403;
    case ResultCode::NoSuchRoute:
        return 404;
    case ResultCode::KeyReusedWithOtherBody:
        return 422;
    default:
        return 400;
    }
}

} // namespace

int httpStatusFor(const AnswerStatus &status)
{
    const int code = static_cast<int>(status.code);
    if (status.outcome == Outcome::Completed)
        return 200;
    if (code >= kFirstInputCode && code < kFirstNotRunCode)
        return statusForInput(status.code);
    if (status.code == ResultCode::DuplicateInProgress
        || status.code == ResultCode::DuplicateCompleted)
        return 409;
    if (status.code == ResultCode::TeamOverLimit)
        return 429;
    if (status.outcome == Outcome::NotRun)
        return 503;
    return status.outcome == Outcome::Unknown ? 504 : 502;
}

HttpHeaders outcomeHeaders(const RequestId &request, const AnswerStatus &status)
{
    HttpHeaders headers { { "X-Request-Id", request.value() },
                          { "X-Crocusport-Outcome", std::string(outcomeName(status.outcome)) },
                          { "X-Crocusport-Code", std::to_string(static_cast<int>(status.code)) } };
    if (status.retryAfter) {
        // Retry-After has whole seconds (RFC 9110 section 10.2.3); rounding up never invites a
        // caller too early.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*status.retryAfter).count();
        headers.emplace_back("Retry-After", std::to_string(std::max<std::int64_t>(seconds, 1)));
    }
    return headers;
}

std::string errorBody(const RequestId &request, const AnswerStatus &status)
{
    return toText({ { "error", errorObject(request, status) } });
}

std::string outcomeEvent(const RequestId &request, const AnswerStatus &status)
{
    const nlohmann::json data = status.outcome == Outcome::Completed
        ? nlohmann::json { { "outcome", outcomeName(status.outcome) },
                           { "code", static_cast<int>(status.code) },
                           { "request_id", request.value() } }
        : errorObject(request, status);
    return "event: crocusport.outcome\ndata: " + toText(data) + "\n\n";
}

} // namespace crocusport
