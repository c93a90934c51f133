#include "attemptpolicy.h"

namespace crocusport {

namespace {

// An outage of the store lasts longer than a queue; early repeats would only add load.
constexpr Duration kStoreRetryAfter = std::chrono::seconds(5);

AnswerStatus statusForLost(const AttemptContext &context)
{
    if (context.isResponseBegun)
        return { Outcome::Failed, ResultCode::StreamInterrupted,
                 "the stream broke and could not be resumed", std::nullopt };
    if (context.repeat == RepeatRule::Never)
        return { Outcome::Unknown, ResultCode::OutcomeUnknown,
                 "the request was sent and its answer was lost", std::nullopt };
    return { Outcome::Failed, ResultCode::RetriesExhausted,
             "the answer was lost and no further attempt is allowed", std::nullopt };
}

} // namespace

RetryDecision retryDecisionFor(BackendCallEnd end, const AttemptContext &context)
{
    if (context.isResponseBegun)
        return RetryDecision::Forbidden;
    switch (end) {
    case BackendCallEnd::NotRun:
        // An earlier attempt of a Never request cannot have run, or none would have followed it.
        return RetryDecision::Allowed;
    case BackendCallEnd::Overloaded:
    case BackendCallEnd::ServerError:
    case BackendCallEnd::Lost:
    case BackendCallEnd::Malformed:
        return context.repeat == RepeatRule::Repeatable ? RetryDecision::WithinBudget
                                                        : RetryDecision::Forbidden;
    case BackendCallEnd::Completed:
    case BackendCallEnd::Rejected:
    case BackendCallEnd::TooLarge:
        break;
    }
    return RetryDecision::Forbidden;
}

AnswerStatus statusForAttempt(BackendCallEnd end, const AttemptContext &context)
{
    const auto uncertain =
        context.repeat == RepeatRule::Repeatable ? Outcome::Failed : Outcome::Unknown;
    switch (end) {
    case BackendCallEnd::Completed:
        return { Outcome::Completed, ResultCode::Ok, "", std::nullopt };
    case BackendCallEnd::NotRun:
        if (!context.isNotRunSoFar)
            return { uncertain, ResultCode::RetriesExhausted,
                     "an earlier attempt failed and no other backend server took the request",
                     std::nullopt };
        return { Outcome::NotRun, ResultCode::ConnectFailed,
                 "no backend server accepted the request", kDefaultRetryAfter };
    case BackendCallEnd::Rejected:
        return { Outcome::Failed, ResultCode::BackendServerError,
                 "the backend server rejected the request", std::nullopt };
    case BackendCallEnd::TooLarge:
        return { uncertain, ResultCode::ResponseTooLarge,
                 "the backend server's answer is larger than allowed", std::nullopt };
    case BackendCallEnd::Malformed:
        return { uncertain, ResultCode::BadBackendResponse,
                 "the backend server's answer is malformed", std::nullopt };
    case BackendCallEnd::Overloaded:
    case BackendCallEnd::ServerError:
        return { uncertain, ResultCode::BackendServerError,
                 "the backend server answered with an error", std::nullopt };
    case BackendCallEnd::Lost:
        break;
    }
    return statusForLost(context);
}

AnswerStatus withCertainty(AnswerStatus status, const AttemptContext &context)
{
    if (status.outcome != Outcome::NotRun || context.isNotRunSoFar)
        return status;
    status.outcome = context.repeat == RepeatRule::Repeatable ? Outcome::Failed : Outcome::Unknown;
    status.retryAfter.reset();
    return status;
}

AnswerStatus statusForClaim(ClaimResult result)
{
    switch (result) {
    case ClaimResult::Completed:
        return { Outcome::Completed, ResultCode::DuplicateCompleted,
                 "a request with this idempotency key was completed earlier; its answer was too "
                 "large to keep",
                 std::nullopt };
    case ClaimResult::OtherBody:
        return { Outcome::NotRun, ResultCode::KeyReusedWithOtherBody,
                 "the idempotency key was used with another body", std::nullopt };
    case ClaimResult::StoreUnavailable:
        return { Outcome::NotRun, ResultCode::StoreUnavailable,
                 "the key-value store does not answer, so a repeat cannot be excluded",
                 kStoreRetryAfter };
    case ClaimResult::Granted:
    case ClaimResult::Duplicate:
        break;
    }
    return { Outcome::Unknown, ResultCode::DuplicateInProgress,
             "a request with this idempotency key is in progress or has an unknown outcome",
             kDefaultRetryAfter };
}

ClaimState claimStateFor(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return ClaimState::Completed;
    case Outcome::NotRun:
        return ClaimState::NotRun;
    case Outcome::Unknown:
    case Outcome::Failed:
        break;
    }
    return ClaimState::Unknown;
}

ReleaseReason releaseReasonFor(const BackendCallResult &result)
{
    if (result.condition == BackendCondition::Crashed)
        return ReleaseReason::Crashed;
    switch (result.end) {
    case BackendCallEnd::Completed:
    case BackendCallEnd::Rejected:
        return ReleaseReason::Completed;
    case BackendCallEnd::NotRun:
    case BackendCallEnd::Overloaded:
        return ReleaseReason::Refused;
    default:
        return ReleaseReason::Failed;
    }
}

} // namespace crocusport
