#ifndef CROCUSPORT_RESULTCODE_H
#define CROCUSPORT_RESULTCODE_H

#include <string_view>

namespace crocusport {

//! Numbered result codes; docs/result-codes.md explains each one.
enum class ResultCode {
    Ok = 0,

    // 100-199: bad input from callers.
    BadRequest = 100,
    BadJson = 101,
    BodyTooLarge = 102,
    UnknownClass = 103,
    UnknownTeam = 104,
    TeamNotAllowed = 105,
    BadCredential = 106,
    KeyReusedWithOtherBody = 107,
    NoSuchRoute = 108,
    BadHeader = 109,
    MissingIdempotencyKey = 110,

    // 200-299: the request did not run.
    QueueFull = 200,
    DeadlineUnreachable = 201,
    DeadlinePassed = 202,
    NoBackendServer = 203,
    TeamOverLimit = 204,
    StoreUnavailable = 205,
    RouterStopping = 206,
    NotConfigured = 207,
    CallerLeft = 208,
    BackendServerRefused = 209,
    ConnectFailed = 210,

    // 300-399: the request may have run.
    OutcomeUnknown = 300,
    DuplicateInProgress = 301,
    DuplicateCompleted = 302,
    StreamInterrupted = 303,
    BackendServerCrashed = 304,
    BadBackendResponse = 305,
    ResponseTooLarge = 306,
    RetriesExhausted = 307,
    ProgressTimeout = 308,
    BackendServerError = 309,
    AnswerTimeout = 310,
    SuspectedCrashCause = 311,

    // 400-499: configuration and settings.
    BadSettings = 400,
    BadClassFile = 401,
    ConflictingClassFiles = 402,
    PublishConflict = 403,
    ConfigurationTooLarge = 404,
    OldConfigurationVersion = 405,
    FileUnreadable = 406,

    // 500-599: communication between the system's processes and with the platform.
    ConnectionClosed = 500,
    Timeout = 501,
    MalformedMessage = 502,
    ProtocolVersionMismatch = 503,
    AuthenticationFailed = 504,
    CompareFailed = 505,
    StoreError = 506,
    MessageTooLarge = 507,
    ListenFailed = 508,
    StaleFencingToken = 509,
    NotFound = 510,
    InternalError = 599,
};

//! Returns the stable name of \a code, such as "QueueFull". Safe from any thread.
std::string_view resultCodeName(ResultCode code);

} // namespace crocusport

#endif // CROCUSPORT_RESULTCODE_H
