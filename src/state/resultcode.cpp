#include "crocusport/state/resultcode.h"

#include <algorithm>
#include <array>
#include <utility>

namespace crocusport {

namespace {

constexpr std::array kResultCodeNames = {
    std::pair { ResultCode::Ok, std::string_view { "Ok" } },
    std::pair { ResultCode::BadRequest, std::string_view { "BadRequest" } },
    std::pair { ResultCode::BadJson, std::string_view { "BadJson" } },
    std::pair { ResultCode::BodyTooLarge, std::string_view { "BodyTooLarge" } },
    std::pair { ResultCode::UnknownClass, std::string_view { "UnknownClass" } },
    std::pair { ResultCode::UnknownTeam, std::string_view { "UnknownTeam" } },
    std::pair { ResultCode::TeamNotAllowed, std::string_view { "TeamNotAllowed" } },
    std::pair { ResultCode::BadCredential, std::string_view { "BadCredential" } },
    std::pair { ResultCode::KeyReusedWithOtherBody, std::string_view { "KeyReusedWithOtherBody" } },
    std::pair { ResultCode::NoSuchRoute, std::string_view { "NoSuchRoute" } },
    std::pair { ResultCode::BadHeader, std::string_view { "BadHeader" } },
    std::pair { ResultCode::MissingIdempotencyKey, std::string_view { "MissingIdempotencyKey" } },
    std::pair { ResultCode::QueueFull, std::string_view { "QueueFull" } },
    std::pair { ResultCode::DeadlineUnreachable, std::string_view { "DeadlineUnreachable" } },
    std::pair { ResultCode::DeadlinePassed, std::string_view { "DeadlinePassed" } },
    std::pair { ResultCode::NoBackendServer, std::string_view { "NoBackendServer" } },
    std::pair { ResultCode::TeamOverLimit, std::string_view { "TeamOverLimit" } },
    std::pair { ResultCode::StoreUnavailable, std::string_view { "StoreUnavailable" } },
    std::pair { ResultCode::RouterStopping, std::string_view { "RouterStopping" } },
    std::pair { ResultCode::NotConfigured, std::string_view { "NotConfigured" } },
    std::pair { ResultCode::CallerLeft, std::string_view { "CallerLeft" } },
    std::pair { ResultCode::BackendServerRefused, std::string_view { "BackendServerRefused" } },
    std::pair { ResultCode::ConnectFailed, std::string_view { "ConnectFailed" } },
    std::pair { ResultCode::OutcomeUnknown, std::string_view { "OutcomeUnknown" } },
    std::pair { ResultCode::DuplicateInProgress, std::string_view { "DuplicateInProgress" } },
    std::pair { ResultCode::DuplicateCompleted, std::string_view { "DuplicateCompleted" } },
    std::pair { ResultCode::StreamInterrupted, std::string_view { "StreamInterrupted" } },
    std::pair { ResultCode::BackendServerCrashed, std::string_view { "BackendServerCrashed" } },
    std::pair { ResultCode::BadBackendResponse, std::string_view { "BadBackendResponse" } },
    std::pair { ResultCode::ResponseTooLarge, std::string_view { "ResponseTooLarge" } },
    std::pair { ResultCode::RetriesExhausted, std::string_view { "RetriesExhausted" } },
    std::pair { ResultCode::ProgressTimeout, std::string_view { "ProgressTimeout" } },
    std::pair { ResultCode::BackendServerError, std::string_view { "BackendServerError" } },
    std::pair { ResultCode::AnswerTimeout, std::string_view { "AnswerTimeout" } },
    std::pair { ResultCode::SuspectedCrashCause, std::string_view { "SuspectedCrashCause" } },
    std::pair { ResultCode::BadSettings, std::string_view { "BadSettings" } },
    std::pair { ResultCode::BadClassFile, std::string_view { "BadClassFile" } },
    std::pair { ResultCode::ConflictingClassFiles, std::string_view { "ConflictingClassFiles" } },
    std::pair { ResultCode::PublishConflict, std::string_view { "PublishConflict" } },
    std::pair { ResultCode::ConfigurationTooLarge, std::string_view { "ConfigurationTooLarge" } },
    std::pair { ResultCode::OldConfigurationVersion,
                std::string_view { "OldConfigurationVersion" } },
    std::pair { ResultCode::FileUnreadable, std::string_view { "FileUnreadable" } },
    std::pair { ResultCode::ConnectionClosed, std::string_view { "ConnectionClosed" } },
    std::pair { ResultCode::Timeout, std::string_view { "Timeout" } },
    std::pair { ResultCode::MalformedMessage, std::string_view { "MalformedMessage" } },
    std::pair { ResultCode::ProtocolVersionMismatch,
                std::string_view { "ProtocolVersionMismatch" } },
    std::pair { ResultCode::AuthenticationFailed, std::string_view { "AuthenticationFailed" } },
    std::pair { ResultCode::CompareFailed, std::string_view { "CompareFailed" } },
    std::pair { ResultCode::StoreError, std::string_view { "StoreError" } },
    std::pair { ResultCode::MessageTooLarge, std::string_view { "MessageTooLarge" } },
    std::pair { ResultCode::ListenFailed, std::string_view { "ListenFailed" } },
    std::pair { ResultCode::StaleFencingToken, std::string_view { "StaleFencingToken" } },
    std::pair { ResultCode::NotFound, std::string_view { "NotFound" } },
    std::pair { ResultCode::InternalError, std::string_view { "InternalError" } },
};

} // namespace

std::string_view resultCodeName(ResultCode code)
{
    const auto *const entry = std::find_if(kResultCodeNames.begin(), kResultCodeNames.end(),
                                           [code](const auto &pair) { return pair.first == code; });
    return entry == kResultCodeNames.end() ? std::string_view { "Unlisted" } : entry->second;
}

} // namespace crocusport
