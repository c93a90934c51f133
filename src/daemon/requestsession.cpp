#include "requestsession.h"

#include "streamingbody.h"

#include "crocusport/protocol/chatrequest.h"
#include "crocusport/protocol/claimdocument.h"
#include "crocusport/protocol/digest.h"
#include "crocusport/state/crashledger.h"

#include <glog/logging.h>

#include <utility>

namespace crocusport {

namespace {

constexpr std::uint32_t kMaxAttempts = 3;
// A caller that reads slower than the engine writes may be this far behind.
constexpr std::size_t kMaxBufferedBytes = 1024UL * 1024;
constexpr std::string_view kClaimPrefix = "/crocusport/claims/";

} // namespace

void RequestSession::start(RouterServices &services, std::shared_ptr<HttpExchange> exchange)
{
    const auto session = std::make_shared<RequestSession>(services, std::move(exchange));
    session->begin();
}

RequestSession::RequestSession(RouterServices &services, std::shared_ptr<HttpExchange> exchange)
    : services_(services), exchange_(std::move(exchange)), id_(services.requestIds.next()),
      configuration_(services.configuration.configuration()), arrived_(monotonicNow()),
      deadlineTimer_(services.loop, [this] { onDeadline(); })
{
    ++services_.openRequests;
}

RequestSession::~RequestSession()
{
    --services_.openRequests;
}

void RequestSession::begin()
{
    response_ = makeResponse(ResponseForm::Whole);
    // The exchange keeps the session alive until it has its answer or the caller has left.
    exchange_->onClosed([self = shared_from_this()] { self->onCallerLeft(); });
    const bool isAdmitted = handleErrors(
        [this]() -> Result<bool> {
            BOOST_LEAF_CHECK(admit());
            return true;
        },
        [this](const Error &error) {
            reject(error);
            return false;
        });
    if (!isAdmitted)
        return;
    services_.retryBudgets.countFirstAttempt(admitted_.requestClass.name);
    deadline_ = arrived_ + admitted_.requestClass.deadline;
    deadlineTimer_.startOnce(admitted_.requestClass.deadline);
    if (!isRepeatable() && admitted_.idempotencyKey)
        claimKey();
    else
        requestSlot();
}

std::unique_ptr<CallerResponse> RequestSession::makeResponse(ResponseForm form) const
{
    return std::make_unique<CallerResponse>(exchange_, id_, form,
                                            services_.settings.limits.maxResponseBytes,
                                            kMaxBufferedBytes, services_.answerMemory);
}

Result<void> RequestSession::admit()
{
    if (services_.isStopping)
        return makeError(ResultCode::RouterStopping, "this router is shutting down");
    if (!configuration_)
        return makeError(ResultCode::NotConfigured, "this router has no configuration yet");
    if (services_.openRequests > services_.settings.limits.maxStreams)
        return makeError(ResultCode::QueueFull, "this router has too many open requests");
    BOOST_LEAF_ASSIGN(admitted_, admitRequest(*configuration_, *exchange_));
    measurement_.requestClass = admitted_.requestClass.name;
    measurement_.team = admitted_.team;
    if (const auto wait = services_.teamLimits.request(admitted_.team, arrived_)) {
        limitWait_ = *wait;
        return makeError(ResultCode::TeamOverLimit, "the team is over its request rate");
    }
    fingerprint_ = fingerprintOf(admitted_.team, admitted_.requestClass.name, exchange_->target(),
                                 exchange_->body());
    if (admitted_.kind == PoolKind::Engine)
        return parseChat();
    forwardBody_ = exchange_->body();
    return {};
}

Result<void> RequestSession::parseChat()
{
    BOOST_LEAF_AUTO(chat, parseChatRequest(exchange_->body()));
    prefix_ = chat.prefix;
    if (chat.isStream)
        response_ = makeResponse(ResponseForm::Stream);
    const int priority = admitted_.requestClass.tier.value();
    forwardBody_ = withPriority(exchange_->body(), priority);
    if (!chat.isStream)
        forwardBody_ = withStream(forwardBody_);
    return {};
}

void RequestSession::reject(const Error &error)
{
    AnswerStatus status { Outcome::NotRun, error.code, error.message, std::nullopt };
    if (error.code == ResultCode::TeamOverLimit)
        status.retryAfter = limitWait_;
    else if (httpStatusFor(status) == 503)
        status.retryAfter = kDefaultRetryAfter;
    finish(status);
}

void RequestSession::onCallerLeft()
{
    if (phase_ == Phase::Ended)
        return;
    const bool wasRunning = phase_ == Phase::Running;
    if (wasRunning) {
        engineCall_.reset();
        // A booking in progress is not cut off: its outcome is recorded for the caller's retry.
        if (serviceCall_ && !isRepeatable())
            return;
        serviceCall_.reset();
        releaseSlot(ReleaseReason::Cancelled, {});
    }
    const auto outcome = wasRunning ? Outcome::Failed : Outcome::NotRun;
    end({ outcome, ResultCode::CallerLeft, "the caller closed its connection", std::nullopt });
}

void RequestSession::onDeadline()
{
    if (phase_ == Phase::Ended)
        return;
    const auto self = shared_from_this();
    if (phase_ != Phase::Running) {
        finish({ Outcome::NotRun, ResultCode::DeadlinePassed,
                 "the request's deadline passed before it could run", kDefaultRetryAfter });
        return;
    }
    engineCall_.reset();
    serviceCall_.reset();
    releaseSlot(ReleaseReason::TimedOut, {});
    finish({ isRepeatable() ? Outcome::Failed : Outcome::Unknown, ResultCode::AnswerTimeout,
             "the request's deadline passed while it was running", std::nullopt });
}

void RequestSession::claimKey()
{
    phase_ = Phase::Claiming;
    ClaimRequest claim;
    claim.key = std::string(kClaimPrefix) + admitted_.team.value() + '/'
        + sha256Hex(*admitted_.idempotencyKey);
    claim.request = id_;
    claim.bodyHash = sha256Hex(exchange_->body());
    claim.deadline = deadline_;
    services_.claims.claim(
        claim, monotonicNow(),
        [self = shared_from_this()](const ClaimAnswer &answer) { self->onClaimAnswer(answer); });
}

void RequestSession::onClaimAnswer(const ClaimAnswer &answer)
{
    if (phase_ == Phase::Ended) {
        if (answer.result == ClaimResult::Granted)
            services_.claims.finish(answer.attempt, ClaimState::NotRun, std::nullopt,
                                    monotonicNow());
        return;
    }
    note(LogLine("claim_answered").add("result", static_cast<int>(answer.result)));
    if (answer.result != ClaimResult::Granted) {
        replyFromClaim(answer);
        return;
    }
    claimAttempt_ = answer.attempt;
    requestSlot();
}

void RequestSession::replyFromClaim(const ClaimAnswer &answer)
{
    if (answer.result != ClaimResult::Completed || !answer.response) {
        finish(statusForClaim(answer.result));
        return;
    }
    handleErrors(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(stored, parseStoredResponse(*answer.response));
            const AnswerStatus completed { Outcome::Completed, ResultCode::Ok, "", std::nullopt };
            response_->finishWithBody(completed, stored.status, stored.contentType, stored.body);
            end(completed);
            return {};
        },
        [&](const Error &) { finish(statusForClaim(answer.result)); });
}

void RequestSession::requestSlot()
{
    phase_ = Phase::Waiting;
    ++attempts_;
    attemptId_ = RequestId(id_.value() + ".a" + std::to_string(attempts_));
    SlotRequest request;
    request.request = attemptId_;
    request.router = services_.settings.router;
    request.pool = admitted_.requestClass.pool;
    request.requestClass = admitted_.requestClass.name;
    request.team = admitted_.team;
    request.tier = admitted_.requestClass.tier;
    request.arrived = arrived_;
    request.deadline = deadline_;
    request.prefix = prefix_;
    request.fingerprint = fingerprint_;
    request.zone = services_.settings.zone;
    request.excluded = excluded_;
    services_.slots.request(request, shared_from_this());
}

void RequestSession::onSlotGranted(const SlotGrant &grant)
{
    server_ = services_.backends.find(grant.server);
    phase_ = Phase::Running;
    attemptStarted_ = monotonicNow();
    if (!server_ || attemptStarted_ >= deadline_) {
        server_.emplace().name = grant.server;
        returnGrant(ResultCode::NoBackendServer,
                    "the backend server left before the request was sent");
        return;
    }
    if (!claimAttempt_.empty() && attempts_ == 1
        && !services_.claims.beginSending(claimAttempt_, attemptStarted_)) {
        returnGrant(ResultCode::DeadlinePassed,
                    "the claim on the idempotency key was given up before the request was sent");
        return;
    }
    if (!measurement_.queueWait)
        measurement_.queueWait = attemptStarted_ - arrived_;
    note(LogLine("attempt_started")
             .add("server", server_->name.value())
             .add("attempt", attempts_)
             .add("waited_us", (attemptStarted_ - arrived_).count()));
    startAttempt(*server_);
}

void RequestSession::returnGrant(ResultCode code, const std::string &message)
{
    releaseSlot(ReleaseReason::Cancelled, {});
    phase_ = Phase::Waiting;
    finish({ Outcome::NotRun, code, message, kDefaultRetryAfter });
}

void RequestSession::onSlotRefused(const SlotRefusal &refusal)
{
    if (phase_ != Phase::Waiting)
        return;
    const auto code = static_cast<ResultCode>(refusal.code);
    const bool isSuspected = code == ResultCode::SuspectedCrashCause;
    const auto outcome = isSuspected ? Outcome::Failed : Outcome::NotRun;
    AnswerStatus status { outcome, code, std::string(resultCodeName(code)), std::nullopt };
    if (!isSuspected)
        status.retryAfter = refusal.retryAfter;
    finish(status);
}

void RequestSession::startAttempt(const BackendServer &server)
{
    auto request = makeCallRequest(server);
    if (admitted_.kind == PoolKind::Service) {
        serviceCall_ = std::make_unique<ServiceCall>(
            services_.httpClient, std::move(request),
            [self = shared_from_this()](const BackendCallResult &result) {
                self->onAttemptEnd(result);
            });
        return;
    }
    engineCall_ = std::make_unique<EngineCall>(
        services_.httpClient, std::move(request), [this](const SseEvent &event) { onEvent(event); },
        [self = shared_from_this()](const BackendCallResult &result) {
            self->onAttemptEnd(result);
        });
}

BackendCallRequest RequestSession::makeCallRequest(const BackendServer &server) const
{
    auto request =
        makeBackendCallRequest(services_.settings, services_.answerMemory, *exchange_, server);
    request.attempt = attemptId_;
    request.body = forwardBody_;
    if (isRepeatable())
        return request;
    request.connection = ConnectionUse::Fresh;
    // A call that may not be repeated is waited for until its deadline, since giving it up early
    // would leave its outcome unknown.
    request.progressTimeout = deadline_ - attemptStarted_;
    return request;
}

void RequestSession::onEvent(const SseEvent &event)
{
    if (!measurement_.firstToken)
        measurement_.firstToken = monotonicNow() - arrived_;
    ++measurement_.outputTokens;
    if (response_->addEvent(event) || isResponseFull_)
        return;
    // The call may not be destroyed inside its own event handler.
    isResponseFull_ = true;
    services_.loop.post([self = shared_from_this()] { self->onResponseFull(); });
}

void RequestSession::onResponseFull()
{
    if (phase_ != Phase::Running)
        return;
    engineCall_.reset();
    releaseSlot(ReleaseReason::Cancelled, {});
    finish({ Outcome::Failed, ResultCode::ResponseTooLarge,
             "the answer is larger than allowed, or the caller reads too slowly", std::nullopt });
}

void RequestSession::onAttemptEnd(const BackendCallResult &result)
{
    if (phase_ != Phase::Running)
        return;
    const auto self = shared_from_this();
    engineCall_.reset();
    serviceCall_.reset();
    note(LogLine("attempt_ended")
             .add("server", server_->name.value())
             .add("end", backendCallEndName(result.end))
             .add("failure", httpFailureName(result.failure))
             .add("status", result.status)
             .add("tokens", result.outputTokens)
             .add("resumes", result.resumes));
    reportCondition(result);
    releaseSlot(releaseReasonFor(result), result);
    if (result.end != BackendCallEnd::NotRun && result.end != BackendCallEnd::Completed)
        isNotRunSoFar_ = false;
    if (!mayRetry(result)) {
        finishAttempt(result);
        return;
    }
    if (!response_->isBegun())
        response_->discardEvents();
    excluded_.push_back(server_->name);
    requestSlot();
}

void RequestSession::reportCondition(const BackendCallResult &result)
{
    if (result.condition == BackendCondition::Good)
        return;
    Observation observation;
    observation.server = server_->name;
    observation.start = server_->start;
    if (result.condition == BackendCondition::Leaving) {
        observation.kind = ObservationKind::Leaving;
    } else if (result.condition == BackendCondition::Crashed) {
        observation.kind = ObservationKind::Crashed;
        observation.crash = crashId(server_->name, server_->start);
        observation.fingerprint = fingerprint_;
    } else {
        observation.kind = ObservationKind::Suspected;
    }
    services_.observe(observation);
}

void RequestSession::releaseSlot(ReleaseReason reason, const BackendCallResult &result)
{
    SlotRelease release;
    release.request = attemptId_;
    release.pool = admitted_.requestClass.pool;
    release.server = server_->name;
    release.reason = reason;
    release.firstToken = result.firstToken;
    release.tokenGap = result.tokenGap;
    release.serviceTime = monotonicNow() - attemptStarted_;
    release.outputTokens = result.outputTokens;
    services_.slots.release(release);
}

bool RequestSession::mayRetry(const BackendCallResult &result)
{
    if (attempts_ >= kMaxAttempts || exchange_->isClosed())
        return false;
    switch (retryDecisionFor(result.end, attemptContext())) {
    case RetryDecision::Forbidden:
        return false;
    case RetryDecision::Allowed:
        return true;
    case RetryDecision::WithinBudget:
        break;
    }
    const auto &name = admitted_.requestClass.name;
    const bool isAllowed = services_.retryBudgets.tryRetry(name);
    services_.metrics.countRetry(name, isAllowed);
    return isAllowed;
}

AttemptContext RequestSession::attemptContext() const
{
    return { admitted_.requestClass.repeat, isNotRunSoFar_, response_->isBegun() };
}

void RequestSession::finishAttempt(const BackendCallResult &result)
{
    const auto status = statusForAttempt(result.end, attemptContext());
    const bool hasBody = !result.body.empty() || admitted_.kind == PoolKind::Service;
    const bool isAnswer =
        result.end == BackendCallEnd::Completed || result.end == BackendCallEnd::Rejected;
    if (isAnswer && hasBody && !response_->isBegun())
        finishWithBody(status, result);
    else
        finish(status);
}

void RequestSession::finish(const AnswerStatus &status)
{
    const auto certain = withCertainty(status, attemptContext());
    response_->finish(certain);
    end(certain);
}

void RequestSession::finishWithBody(const AnswerStatus &status, const BackendCallResult &result)
{
    if (admitted_.kind == PoolKind::Service)
        storedResponse_ = writeStoredResponse({ result.status, result.contentType, result.body });
    response_->finishWithBody(status, result.status, result.contentType, result.body);
    end(status);
}

void RequestSession::end(const AnswerStatus &status)
{
    const auto self = shared_from_this();
    if (phase_ == Phase::Waiting)
        services_.slots.cancel(attemptId_);
    phase_ = Phase::Ended;
    deadlineTimer_.stop();
    exchange_->onClosed({});
    settleClaim(status);
    measurement_.outcome = status.outcome;
    measurement_.code = status.code;
    measurement_.answer = monotonicNow() - arrived_;
    measurement_.isTargetMet = isTargetMet(status);
    services_.metrics.observe(measurement_);
    note(LogLine("request_ended")
             .add("class", admitted_.requestClass.name.value())
             .add("team", admitted_.team.value())
             .add("outcome", outcomeName(status.outcome))
             .add("code", static_cast<int>(status.code))
             .add("attempts", attempts_)
             .add("tokens", measurement_.outputTokens)
             .add("duration_us", measurement_.answer.count()));
}

void RequestSession::settleClaim(const AnswerStatus &status)
{
    if (claimAttempt_.empty())
        return;
    services_.claims.finish(claimAttempt_, claimStateFor(status.outcome), storedResponse_,
                            monotonicNow());
    claimAttempt_.clear();
}

bool RequestSession::isTargetMet(const AnswerStatus &status) const
{
    if (status.outcome != Outcome::Completed)
        return false;
    const auto &requestClass = admitted_.requestClass;
    const auto firstToken = measurement_.firstToken.value_or(measurement_.answer);
    if (requestClass.firstTokenTarget && firstToken > *requestClass.firstTokenTarget)
        return false;
    return !requestClass.answerTarget || measurement_.answer <= *requestClass.answerTarget;
}

void RequestSession::note(LogLine line)
{
    line.add("request", id_.value());
    LOG(INFO) << line.text();
    services_.journal.record(id_, line.text());
}

bool RequestSession::isRepeatable() const
{
    return admitted_.requestClass.repeat == RepeatRule::Repeatable;
}

} // namespace crocusport
