#include "forwardedrequest.h"

#include "crocusport/transport/callbackguard.h"
#include "crocusport/transport/eventloop.h"

#include <xxhash.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace crocusport {

namespace {

constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTimeout = 408;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// A configuration older than this may lack new routes and keys. A request with an unknown route or
// key is then answered 503, and not 404 or 401.
constexpr Duration kMaxAgeForDenial = std::chrono::milliseconds(1500);
// Keys are refused this long before the revocation bound, since an accepted request needs time to
// reach its server.
constexpr Duration kRevocationMargin = std::chrono::milliseconds(500);
// Connections in a region open within milliseconds; TCP resends a lost packet after 200 ms.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// Maximum number of attempts that ended before the request was sent. They cost time, but no work of
// a server.
constexpr int kMaxUnsentAttempts = 4;
// Additional attempts after servers refused the request without running it.
constexpr int kMaxRefusedAttempts = 2;
// Timeout of routes that configure none.
constexpr Duration kDefaultTimeout = std::chrono::seconds(60);
// Retry-After for callers when the router itself cannot serve the request.
constexpr Duration kRetryAfterUnready = std::chrono::milliseconds(500);
// Retry-After for callers of a request that was running in several crashes of servers.
constexpr Duration kRetryAfterCrashes = std::chrono::seconds(30);
// A response is aborted when its caller has left this many bytes unread.
constexpr std::size_t kMaxUnreadBytes = 2UL * 1024 * 1024;
// Prefill of shorter shared parts costs less than a report of them to other routers.
constexpr std::uint32_t kReportedPartTokens = 200;
constexpr double kMsPerSecond = 1000;
// Prompts have few shared parts; longer lists are truncated in log lines.
constexpr std::size_t kMaxLoggedParts = 8;
// Crashes are attributed to the first shared parts of a prompt only.
constexpr std::size_t kMaxSuspectedParts = 64;
// Highest urgency value that backend servers accept.
constexpr int kMaxUrgency = 9;

HttpHeaders retryAfterHeader(Duration delay)
{
    // Seconds with three decimal places; callers accept fractions.
    const auto ms = std::chrono::duration_cast<Milliseconds>(delay).count();
    auto fraction = std::to_string(1000 + ms % 1000).substr(1);
    return { { "Retry-After", std::to_string(ms / 1000) + '.' + fraction } };
}

//! Returns the ids of the shared parts of a prompt for log lines, in hexadecimal.
std::string sharedPartsText(const std::vector<PromptPart> &parts)
{
    std::ostringstream text;
    text << std::hex;
    for (std::size_t i = 0; i + 1 < parts.size() && i < kMaxLoggedParts; ++i)
        text << (i > 0 ? "," : "") << parts[i].id;
    return text.str();
}

//! Whether callers conclude from \a status that the request has not run.
bool meansNotRun(int status)
{
    return status == kTimeout || status == kTooManyRequests || status == kUnavailable;
}

} // namespace

void ForwardedRequest::start(GatewayServices &services, std::shared_ptr<HttpExchange> exchange)
{
    const auto request = std::make_shared<ForwardedRequest>(services, std::move(exchange));
    services.open.insert(request);
    request->guard([&] { request->begin(); });
}

ForwardedRequest::ForwardedRequest(GatewayServices &services,
                                   std::shared_ptr<HttpExchange> exchange)
    : services_(services), exchange_(std::move(exchange)), account_(exchange_->arrival()),
      admission_(services.admission),
      deadlineTimer_(services.loop, [this] { guard([this] { onDeadline(); }); }),
      waitTimer_(services.loop, [this] { guard([this] { onWaitedTooLong(); }); }),
      heldAnswer_(services.answerMemory), unreadAnswer_(services.answerMemory)
{ }

ForwardedRequest::~ForwardedRequest() = default;

template<typename Function>
void ForwardedRequest::guard(Function &&function)
{
    const auto self = shared_from_this();
    if (guardCallback("request", function))
        return;
    guardCallback("end of a failed request", [this] {
        if (call_)
            mayHaveRun_ = true;
        finishFault(ResultCode::InternalError);
    });
}

void ForwardedRequest::begin()
{
    request_ = services_.formats.decodeRequest(*exchange_);
    table_ = services_.table();
    if (services_.isStopping) {
        refuse(kUnavailable, ResultCode::RouterStopping, kRetryAfterUnready);
        return;
    }
    if (!table_) {
        refuse(kUnavailable, ResultCode::NotConfigured, kRetryAfterUnready);
        return;
    }
    if (request_.id.empty()) {
        refuse(kBadRequest, ResultCode::BadHeader);
        return;
    }
    if (!findRoute() || !findTeam())
        return;
    deadline_ = exchange_->arrival()
        + (route_.timeout > Duration::zero() ? route_.timeout : kDefaultTimeout);
    if (request_.timeLimit)
        deadline_ = std::min(deadline_, exchange_->arrival() + *request_.timeLimit);
    choosePool();
    describeWork();
    const auto self = shared_from_this();
    exchange_->onClosed([this] { guard([this] { onCallerLeft(); }); });
    deadlineTimer_.startOnce(std::max(deadline_ - monotonicNow(), Duration::zero()));
    services_.retryWindow(pool_).noteRequest(monotonicNow());
    lastEventId_ = request_.lastEventId;
    beginAdmission();
    place();
}

// A resumed stream is not held: its caller has a part of the response.
void ForwardedRequest::beginAdmission()
{
    const auto *const pool = table_->findPool(pool_);
    if (!services_.settings.holdsUnderPressure || !pool || !pool->engine || lastEventId_)
        return;
    AdmissionFacts facts;
    facts.pool = pool_;
    facts.urgency = urgency_;
    facts.arrival = exchange_->arrival();
    facts.deadline = deadline_;
    facts.target = route_.target;
    facts.promptTokens = work_.promptTokens;
    facts.outputTokens = work_.outputTokens;
    facts.team = team_;
    facts.fingerprint = fingerprint_;
    facts.draw = admissionDraw(request_.id);
    admission_.begin(std::move(facts), monotonicNow());
}

bool ForwardedRequest::findRoute()
{
    const auto *const route = table_->findRoute(request_.host, exchange_->path());
    if (route && !route->pools.empty()) {
        route_ = *route;
        return true;
    }
    if (services_.configurationAge() > kMaxAgeForDenial)
        refuse(kUnavailable, ResultCode::NotConfigured, kRetryAfterUnready);
    else
        refuse(kNotFound, ResultCode::NoSuchRoute);
    return false;
}

bool ForwardedRequest::findTeam()
{
    const auto [isAllowed, team] = table_->access(route_, request_.key);
    urgency_ = table_->urgency(route_, team);
    const auto age = services_.configurationAge();
    if (!isAllowed) {
        if (age > kMaxAgeForDenial)
            refuse(kUnavailable, ResultCode::NotConfigured, kRetryAfterUnready);
        else
            refuse(kUnauthorized, ResultCode::BadCredential);
        return false;
    }
    if (!team)
        return true;
    if (services_.settings.isRevocationStrict
        && age > services_.settings.revocationBound - kRevocationMargin) {
        refuse(kUnavailable, ResultCode::StoreUnavailable, kRetryAfterUnready);
        return false;
    }
    team_ = team->name;
    return true;
}

void ForwardedRequest::choosePool()
{
    double sum = 0;
    for (const auto &pool : route_.pools)
        sum += pool.weight;
    std::uniform_real_distribution<double> distribution(0, sum);
    double drawn = distribution(services_.random);
    pool_ = route_.pools.back().pool;
    for (const auto &pool : route_.pools) {
        if (drawn < pool.weight) {
            pool_ = pool.pool;
            break;
        }
        drawn -= pool.weight;
    }
}

void ForwardedRequest::describeWork()
{
    work_.parts = request_.parts;
    work_.prefixHashes = promptPrefixHashes(request_.parts);
    work_.promptTokens = request_.promptTokens;
    work_.outputTokens = request_.expectedOutputTokens.value_or(request_.maxOutputTokens);
    work_.bodyBytes = exchange_->body().size();
    if (route_.kind == RequestKind::Stream)
        work_.sensitivity = pauseSensitivity(route_.maxPause, work_.outputTokens);
    const auto target = exchange_->target();
    auto hash = XXH64(target.data(), target.size(), 0);
    // The team rather than its key: a team may use several keys and replace them.
    const auto &caller = team_.value();
    hash = XXH64(caller.data(), caller.size(), hash);
    fingerprint_ = Fingerprint(XXH64(exchange_->body().data(), exchange_->body().size(), hash));
    for (std::size_t i = 0; i + 1 < work_.parts.size() && i < kMaxSuspectedParts; ++i)
        sharedParts_.push_back(partFingerprint(work_.parts[i].id));
}

// The current configuration may no longer contain the route of a waiting request, or may no longer
// give it to the same team.
bool ForwardedRequest::isStillAllowed() const
{
    const auto current = services_.table();
    if (current == table_)
        return true;
    const auto *const route = current->findRoute(request_.host, exchange_->path());
    if (!route)
        return false;
    const auto [isAllowed, team] = current->access(*route, request_.key);
    return isAllowed && (team ? team->name : TeamName()) == team_;
}

// This may become true while the request waits: other routers report crashes, or more servers crash
// while running the same request.
bool ForwardedRequest::isCrashCause() const
{
    return services_.crashes.refusedUntil(fingerprint_, monotonicNow()).has_value()
        || (!isTrial_ && hasRefusedPart());
}

bool ForwardedRequest::hasRefusedPart() const
{
    return services_.parts.refusedUntil(sharedParts_, monotonicNow()).has_value();
}

Duration ForwardedRequest::retryAfterCrashes() const
{
    const auto now = monotonicNow();
    const auto trial = services_.parts.refusedUntil(sharedParts_, now);
    if (!trial || services_.crashes.refusedUntil(fingerprint_, now))
        return kRetryAfterCrashes;
    return std::clamp<Duration>(*trial - now, kRetryAfterUnready, kRetryAfterCrashes);
}

void ForwardedRequest::place()
{
    if (!tryPlace())
        wait();
}

bool ForwardedRequest::tryPlace()
{
    if (!isStillAllowed()) {
        finishFault(ResultCode::NotConfigured);
        return true;
    }
    isTrial_ = hasRefusedPart() && !services_.pendingTrial && services_.isTrialDue(sharedParts_);
    if (isCrashCause()) {
        finishFault(ResultCode::SuspectedCrashCause);
        return true;
    }
    if (!services_.mayUseStoreCopy() || admission_.isHeld(monotonicNow()))
        return false;
    const auto choice = services_.selector.choose(pool_, services_.table()->findPool(pool_), work_,
                                                  excluded_, monotonicNow());
    if (!choice.server)
        return false;
    if (!admission_.accepts(*choice.server, choice.added.prefillTokens, monotonicNow()))
        return false;
    startAttempt(choice);
    return true;
}

void ForwardedRequest::wait()
{
    // If all servers have asked for longer pauses, waiting would only delay the rejection.
    const auto now = monotonicNow();
    const auto pause = services_.selector.pause(pool_, now);
    const auto latestWait = admission_.latestWait(exchange_->arrival(), route_.target, now);
    if (!latestWait || now + pause > *latestWait) {
        finishFault(latestWait ? ResultCode::QueueFull : ResultCode::DeadlineUnreachable);
        return;
    }
    const auto latestStart = admission_.latestStart(exchange_->arrival(), route_.target);
    const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    const auto tryStart = [weak] {
        const auto self = weak.lock();
        if (!self || self->isEnded_ || !self->ticket_)
            return true;
        bool isPlaced = true; // Stays true if the request fails: it must leave the list.
        self->guard([&] {
            const auto ticket = std::exchange(self->ticket_, std::nullopt);
            isPlaced = self->tryPlace();
            if (isPlaced)
                self->waitTimer_.stop();
            else
                self->ticket_ = ticket;
        });
        return isPlaced;
    };
    const auto isHeld = [weak] {
        const auto self = weak.lock();
        return self && !self->isEnded_ && self->admission_.isHeld(monotonicNow());
    };
    ticket_ =
        services_.waiting.add(pool_, urgency_, latestStart, tryStart, isHeld, admission_.share());
    if (!waitTimer_.isActive())
        waitTimer_.startOnce(std::max(*latestWait - now, Duration::zero()));
}

void ForwardedRequest::onWaitedTooLong()
{
    const auto self = shared_from_this();
    if (ticket_)
        services_.waiting.remove(pool_, *std::exchange(ticket_, std::nullopt));
    finishFault(ResultCode::QueueFull);
}

void ForwardedRequest::startAttempt(const ServerSelector::Choice &choice)
{
    const auto now = monotonicNow();
    table_ = services_.table();
    server_ = choice.server;
    load_ = choice.added;
    // Counted as a trial when it is sent: servers that cannot be reached prove nothing.
    if (isTrial_)
        services_.pendingTrial = this;
    account_.noteAttempt(choice.cachedTokens, choice.mostCachedTokens, now);
    server_->own += load_;
    services_.workSent(pool_, load_);
    services_.loadChanged();
    const auto hash = server_->hash;
    for (std::size_t i = 0; i < work_.prefixHashes.size(); ++i) {
        services_.prefixes.note(hash, work_.prefixHashes[i], now);
        // The last part is specific to the request or its session; other requests do not share it.
        const bool isShared = i + 1 < work_.prefixHashes.size();
        if (isShared && work_.parts[i].tokens >= kReportedPartTokens)
            services_.promptPrefixSent(hash, work_.prefixHashes[i]);
    }
    lastFailure_ = HttpFailure::None;
    isSendConfirmed_ = false;
    hasDroppedCopy_ = false;
    answer_.reset();
    // Releases the memory, which the budget of answers no longer counts.
    std::string().swap(body_);
    splitter_.clear();
    heldAnswer_.release();
    isStream_ = false;
    HttpCallHandlers handlers;
    handlers.onHead = [this](int status, const HttpHeaders &headers) {
        guard([&] { onHead(status, headers); });
    };
    handlers.onBody = [this](std::string_view data) { guard([&] { onBody(data); }); };
    handlers.onReady = [this] {
        isSendConfirmed_ = mayStillSend();
        if (isSendConfirmed_)
            noteSent();
        return isSendConfirmed_;
    };
    handlers.onProgressTimeout = [this] { return isWorthWaiting(); };
    handlers.onEnd = [this](const HttpCallEnd &callEnd) { guard([&] { onEnd(callEnd); }); };
    call_ = services_.backends.start(makeCall(*server_), std::move(handlers));
    ++sentAttempts_;
    admission_.noteSent(now);
    // On a new connection, onReady reports it.
    if (!call_->isOnNewConnection())
        noteSent();
}

void ForwardedRequest::noteSent()
{
    services_.requestSent(*server_);
    if (services_.pendingTrial != this)
        return;
    services_.pendingTrial = nullptr;
    services_.trialStarted(sharedParts_);
}

HttpCallRequest ForwardedRequest::makeCall(const KnownServer &server) const
{
    const auto remaining =
        std::max(deadline_ - monotonicNow(), Duration(std::chrono::milliseconds(1)));
    AttemptHead head;
    head.server = server.entry.name;
    head.team = team_;
    head.remaining = remaining;
    head.urgency = std::clamp(urgency_, 0, kMaxUrgency);
    head.lastEventId = lastEventId_;
    HttpCallRequest call;
    call.address = server.entry.address;
    call.method = std::string(exchange_->method());
    call.target = exchange_->target();
    call.headers = services_.formats.attemptHeaders(request_, head);
    call.body = exchange_->body();
    call.connectTimeout = std::min(kConnectTimeout, remaining);
    call.progressTimeout = std::min(services_.silence.limit(route_), remaining);
    call.acceptsCloseDelimited = true;
    if (route_.kind == RequestKind::Stream)
        call.progress = ResponseProgress::Reported;
    // All attempts have the same request id. On a used connection, a late second copy of the
    // response to an earlier attempt would match it.
    if (std::find(triedAddresses_.begin(), triedAddresses_.end(), call.address)
        != triedAddresses_.end())
        call.connection = ConnectionUse::Fresh;
    return call;
}

// The server may have started to leave while the connection was being made.
bool ForwardedRequest::mayStillSend() const
{
    return server_->takesRequests(monotonicNow()) && services_.mayUseStoreCopy() && !isCrashCause();
}

// An attempt without progress is abandoned only if the request may be retried.
bool ForwardedRequest::isWorthWaiting()
{
    const auto now = monotonicNow();
    // During a planned stop, an answer that has begun gets the rest of the grace time.
    const bool isKept = services_.isShuttingDown && exchange_->isStarted();
    return now < deadline_ && (isKept || !isRetryAllowed(AttemptFault::Broken));
}

void ForwardedRequest::onHead(int status, const HttpHeaders &headers)
{
    const auto self = shared_from_this();
    answer_ = services_.formats.decodeAnswer(status, headers);
    // On a connection that carried another request, a second copy of the earlier response may
    // arrive in place of this request's response. A response without an id may be such a copy.
    const bool isForeign = answer_->requestId.empty() ? !call_->isOnNewConnection()
                                                      : answer_->requestId != request_.id;
    const bool isSuccess = status >= kOk && status < kMultipleChoices;
    const bool isWrong =
        isSuccess && (!answer_->isSealed || answer_->isEncoded || answer_->requestId.empty());
    if (isForeign || isWrong || answer_->isAmbiguous) {
        logRejectedAnswer(isForeign);
        // The request's own response follows the copy of the earlier one.
        const bool isCopy = isForeign && !answer_->isAmbiguous && !answer_->requestId.empty()
            && !call_->isOnNewConnection();
        if (isCopy && call_->dropResponse()) {
            hasDroppedCopy_ = true;
            answer_.reset();
            return;
        }
        rejectAnswer(HttpFailure::Malformed);
        return;
    }
    isStream_ = route_.kind == RequestKind::Stream && isSuccess;
    if (!isStream_ && !answer_->isNotExecuted && status < kServerError)
        services_.requestBegan(team_, std::exchange(hasBegun_, true));
    applyServerHints();
}

void ForwardedRequest::logRejectedAnswer(bool isForeign) const
{
    LogLine line("answer_rejected");
    line.add("id", request_.id)
        .add("reason",
             answer_->isAmbiguous ? "ambiguous"
                 : isForeign      ? "other_request"
                                  : "not_proved")
        .add("answer_id", answer_->requestId)
        .add("server", server_->entry.name.value())
        .add("status", answer_->status)
        .add("sealed", answer_->isSealed)
        .add("encoded", answer_->isEncoded)
        .add("new_connection", call_->isOnNewConnection());
    services_.log.write(line.text());
}

// Ends the attempt and discards the response.
void ForwardedRequest::rejectAnswer(HttpFailure failure)
{
    call_.reset();
    HttpCallEnd wrong;
    wrong.failure = failure;
    wrong.status = answer_ ? answer_->status : 0;
    wrong.isRequestSent = true;
    answer_.reset();
    onEnd(wrong);
}

void ForwardedRequest::applyServerHints()
{
    if (answer_->retryAfter)
        server_->health.notePause(*answer_->retryAfter, monotonicNow());
    if (answer_->isLeaving)
        services_.serverLeaves(*server_);
}

void ForwardedRequest::onBody(std::string_view data)
{
    const auto self = shared_from_this();
    if (!isStream_) {
        if (heldAnswer_.resize(body_.size() + data.size()))
            body_ += data;
        else
            rejectAnswer(HttpFailure::TooLarge);
        return;
    }
    const auto batch = splitter_.add(data, lastEventId_);
    if (batch.count > 0)
        onEvents(batch);
    if (!isEnded_ && batch.isBroken)
        rejectAnswer(HttpFailure::Malformed);
    else if (!isEnded_ && !heldAnswer_.resize(splitter_.pendingBytes()))
        rejectAnswer(HttpFailure::TooLarge);
}

void ForwardedRequest::onEvents(const EventBatch &batch)
{
    const auto self = shared_from_this();
    const auto now = monotonicNow();
    const bool isFirst = account_.noteEvents(batch.count, now);
    call_->reportProgress(std::min(services_.silence.limit(route_, account_.longestPause()),
                                   std::max(deadline_ - now, Duration(Milliseconds(1)))));
    services_.eventsReceived(pool_, batch.count);
    if (isFirst) {
        services_.requestBegan(team_, std::exchange(hasBegun_, true));
        services_.silence.noteBegin(route_.name, account_.attemptTime(now));
        services_.answerBegan(*server_, route_.name, account_.attemptTime(now));
        services_.partsAnswered(sharedParts_);
    }
    if (load_.prefillTokens > 0) {
        // The first event shows that the server has finished the prefill of the prompt.
        ServerLoad read;
        read.prefillTokens = load_.prefillTokens;
        server_->own -= read;
        load_.prefillTokens = 0;
        services_.loadChanged();
    }
    if (!exchange_->isStarted())
        exchange_->startStream(answer_->status, answer_->passedHeaders);
    exchange_->sendChunk(batch.text);
    if (batch.lastId)
        lastEventId_ = batch.lastId;
    hasUnnumberedEvents_ = hasUnnumberedEvents_ || !batch.isNumbered;
    const auto unread = exchange_->bufferedBytes();
    if (unread > kMaxUnreadBytes || !unreadAnswer_.resize(unread))
        finishFault(ResultCode::CallerLeft);
}

void ForwardedRequest::onEnd(const HttpCallEnd &callEnd)
{
    const auto self = shared_from_this();
    isEndedByClose_ = callEnd.endsWithClose;
    heldAnswer_.release();
    const bool isWhole = callEnd.failure == HttpFailure::None && answer_
        && !(isStream_ && splitter_.hasPartialEvent()) && !hasCopyInBody();
    if (isWhole) {
        onWholeAnswer();
        return;
    }
    if (!callEnd.isRequestSent) {
        noteFault(AttemptFault::NotSent, callEnd);
        onFault(AttemptFault::NotSent, ResultCode::ConnectFailed);
        return;
    }
    noteFault(AttemptFault::Broken, callEnd);
    const bool isSilent = callEnd.failure == HttpFailure::ProgressTimeout;
    onFault(AttemptFault::Broken,
            isSilent ? ResultCode::ProgressTimeout : ResultCode::BadBackendResponse);
}

// A second copy of a response that only the close ends would become part of its body.
bool ForwardedRequest::hasCopyInBody() const
{
    static constexpr std::string_view kStatusLine = "HTTP/1.";
    const auto line = isEndedByClose_ ? body_.find(kStatusLine) : std::string::npos;
    return line != std::string::npos && body_.find(request_.id, line) != std::string::npos;
}

void ForwardedRequest::onWholeAnswer()
{
    const auto now = monotonicNow();
    if (answer_->isNotExecuted) {
        if (answer_->isMisdirected)
            server_->health.noteMisdirected(now);
        else
            server_->health.noteRefusal(now);
        services_.serverRefused(*server_);
        releaseServer();
        onFault(AttemptFault::NotRun, ResultCode::BackendServerRefused);
        return;
    }
    mayHaveRun_ = true;
    const bool isFailure = answer_->status >= kServerError;
    server_->health.noteAnswer(isFailure, now);
    if (isFailure)
        services_.serverRefused(*server_);
    // A faulty server may respond with an error without having run the request.
    if (answer_->status >= kOk && answer_->status < kMultipleChoices)
        services_.crashes.noteCompleted(fingerprint_, now);
    if (!isStream_ && answer_->status >= kOk && answer_->status < kMultipleChoices)
        services_.partsAnswered(sharedParts_);
    const auto time = account_.attemptTime(now);
    server_->noteRun(time);
    if (!isStream_) {
        services_.paceSeen(*server_, toSeconds(time) * kMsPerSecond);
        services_.silence.noteBegin(route_.name, time);
        if (!isFailure)
            services_.answerBegan(*server_, route_.name, time);
    } else if (const auto pace = account_.eventPaceMs(now)) {
        services_.paceSeen(*server_, *pace);
    }
    releaseServer();
    const bool isUnusable = isFailure || (exchange_->isStarted() && !isStream_);
    if (isUnusable && route_.isIdempotent() && tryTakeRetry(AttemptFault::Failed)) {
        logAttempt("attempt_failed", ResultCode::BackendServerError);
        place();
        return;
    }
    deliver();
}

void ForwardedRequest::noteFault(AttemptFault fault, const HttpCallEnd &callEnd)
{
    const auto now = monotonicNow();
    lastFailure_ = callEnd.failure;
    // A request withdrawn before it was sent says nothing about the health of its server.
    if (fault != AttemptFault::NotSent)
        server_->health.noteBrokenConnection(now);
    else if (callEnd.failure != HttpFailure::Withdrawn)
        server_->health.noteUnreachable(now);
    if (fault != AttemptFault::NotSent || callEnd.failure != HttpFailure::Withdrawn)
        services_.serverFailed(*server_);
    const bool isClosed = callEnd.failure == HttpFailure::ClosedBeforeResponse
        || callEnd.failure == HttpFailure::ClosedMidResponse;
    // A server that sends responses twice may also close too early; that is no sign of a crash.
    if (fault == AttemptFault::Broken && isClosed && !hasDroppedCopy_)
        noteCrash(now);
    else if (fault == AttemptFault::Broken)
        noteUnanswered(now);
    releaseServer();
}

void ForwardedRequest::noteCrash(Instant now)
{
    const auto number = server_->noteCrash(now - account_.attemptTime(now), now);
    const auto crash = crashId(server_->entry.name, server_->entry.start, number);
    services_.crashSuspected({ { fingerprint_, crash, crashEvidence() }, sharedParts_ });
}

// The client calls onReady, which sets isSendConfirmed_, only for new connections.
bool ForwardedRequest::isSent() const
{
    return isSendConfirmed_ || !call_->isOnNewConnection();
}

void ForwardedRequest::noteUnanswered(Instant now)
{
    const auto &entry = server_->entry;
    if (server_->hasCrashed())
        services_.crashSuspected(
            { { fingerprint_, crashId(entry.name, entry.start), crashEvidence() }, sharedParts_ });
    else
        services_.unanswered.add(entry.name, entry.start, fingerprint_, crashEvidence(), now,
                                 sharedParts_);
}

CrashEvidence ForwardedRequest::crashEvidence() const
{
    const bool hasAnswered = isStream_ ? account_.attemptEvents() > 0 : answer_.has_value();
    return hasAnswered ? CrashEvidence::DuringAnswer : CrashEvidence::BeforeAnswer;
}

void ForwardedRequest::releaseServer()
{
    if (!server_)
        return;
    if (services_.pendingTrial == this)
        services_.pendingTrial = nullptr;
    server_->own -= load_;
    load_ = {};
    excluded_.push_back(server_->entry.name);
    triedAddresses_.push_back(server_->entry.address);
    server_ = nullptr;
    call_.reset();
    services_.loadChanged();
}

void ForwardedRequest::onFault(AttemptFault fault, ResultCode code)
{
    logAttempt("attempt_failed", code);
    if (fault == AttemptFault::NotSent) {
        --sentAttempts_;
        ++unsentAttempts_;
    }
    if (fault == AttemptFault::Broken)
        mayHaveRun_ = true;
    if (tryTakeRetry(fault))
        place();
    else
        finishFault(code);
}

bool ForwardedRequest::isRetryAllowed(AttemptFault fault) const
{
    const auto now = monotonicNow();
    // A stream with events without ids cannot resume, since its last event cannot be named.
    if (now >= deadline_ || hasUnnumberedEvents_)
        return false;
    switch (fault) {
    case AttemptFault::NotSent:
        return unsentAttempts_ < kMaxUnsentAttempts;
    case AttemptFault::NotRun:
        if (sentAttempts_ >= route_.maxAttempts + kMaxRefusedAttempts)
            return false;
        break;
    case AttemptFault::Broken:
    case AttemptFault::Failed:
        if (!route_.isIdempotent() || sentAttempts_ >= route_.maxAttempts)
            return false;
        break;
    }
    return services_.retryWindow(pool_).canRetry(services_.routerCount(), now);
}

bool ForwardedRequest::tryTakeRetry(AttemptFault fault)
{
    if (!isRetryAllowed(fault))
        return false;
    // A retry after an attempt without a connection adds no load, so the budget is not used.
    return fault == AttemptFault::NotSent
        || services_.retryWindow(pool_).tryRetry(services_.routerCount(), monotonicNow());
}

void ForwardedRequest::onCallerLeft()
{
    const auto self = shared_from_this();
    end(Outcome::Unknown, ResultCode::CallerLeft, 0);
}

void ForwardedRequest::onDeadline()
{
    const auto self = shared_from_this();
    mayHaveRun_ = mayHaveRun_ || (call_ && isSent());
    if (ticket_)
        services_.waiting.remove(pool_, *std::exchange(ticket_, std::nullopt));
    finishFault(ResultCode::DeadlinePassed);
}

void ForwardedRequest::stop()
{
    const auto self = shared_from_this();
    mayHaveRun_ = mayHaveRun_ || (call_ && isSent());
    finishFault(ResultCode::RouterStopping);
}

void ForwardedRequest::refuse(int status, ResultCode code, std::optional<Duration> retryAfter)
{
    exchange_->reply(status, retryAfter ? retryAfterHeader(*retryAfter) : HttpHeaders(), "");
    end(Outcome::NotRun, code, status);
}

// Ends the request without forwarding a response of a server.
void ForwardedRequest::finishFault(ResultCode code)
{
    if (isEnded_)
        return;
    if (exchange_->isStarted()) {
        // The caller notices that the stream broke off, and may resume it after the last event that
        // arrived.
        exchange_->abort();
        end(Outcome::Unknown, code, 0);
        return;
    }
    if (!mayHaveRun_) {
        const auto now = monotonicNow();
        const auto pause = services_.selector.pause(pool_, now);
        const bool isCrashCause = code == ResultCode::SuspectedCrashCause;
        refuse(kUnavailable, code,
               isCrashCause ? retryAfterCrashes()
                            : admission_.retryAfter(pause, services_.routerCount(), now));
        return;
    }
    const int status = code == ResultCode::DeadlinePassed ? kGatewayTimeout : kBadGateway;
    exchange_->reply(status, {}, "");
    end(Outcome::Unknown, code, status);
}

void ForwardedRequest::deliver()
{
    const int status = answer_->status;
    if (isStream_) {
        if (!exchange_->isStarted())
            exchange_->startStream(status, answer_->passedHeaders);
        exchange_->endStream();
        end(Outcome::Completed, ResultCode::Ok, status);
        return;
    }
    // A stream that the caller is receiving can only be continued or aborted.
    if (exchange_->isStarted()) {
        finishFault(ResultCode::BackendServerError);
        return;
    }
    // The server did not state that the request has not run, so the caller must not be told so.
    if (meansNotRun(status)) {
        exchange_->reply(kBadGateway, {}, "");
        end(Outcome::Unknown, ResultCode::BackendServerError, kBadGateway);
        return;
    }
    exchange_->reply(status, answer_->passedHeaders, body_);
    const bool isFailure = status >= kServerError;
    end(isFailure ? Outcome::Failed : Outcome::Completed,
        isFailure ? ResultCode::BackendServerError : ResultCode::Ok, status);
}

void ForwardedRequest::end(Outcome outcome, ResultCode code, int status)
{
    if (std::exchange(isEnded_, true))
        return;
    deadlineTimer_.stop();
    waitTimer_.stop();
    if (ticket_)
        services_.waiting.remove(pool_, *std::exchange(ticket_, std::nullopt));
    const auto now = monotonicNow();
    if (server_ && call_ && !call_->isEnded() && isSent())
        noteUnanswered(now);
    releaseServer();
    std::string().swap(body_); // The request may be destroyed later.
    RequestMeasurement measurement;
    measurement.requestClass = ClassName(route_.name);
    measurement.team = team_;
    measurement.outcome = outcome;
    measurement.code = code;
    account_.measure(measurement, now);
    const auto lateness = account_.lateness(route_, outcome == Outcome::Completed, now);
    measurement.isTargetMet = outcome == Outcome::Completed && lateness == Lateness::None;
    services_.metrics.observe(measurement);
    LogLine line("request_ended");
    line.add("id", request_.id)
        .add("route", route_.name)
        .add("team", team_.value())
        .add("outcome", outcomeName(outcome))
        .add("code", static_cast<int>(code))
        .add("status", status)
        .add("attempts", sentAttempts_)
        .add("unsent", unsentAttempts_)
        .add("server", excluded_.empty() ? "" : excluded_.back().value())
        .add("fingerprint", fingerprint_.value())
        .add("parts", sharedPartsText(work_.parts))
        .add("prompt", work_.promptTokens)
        .add("ended_by_close", isEndedByClose_)
        .add("late", latenessName(lateness))
        .add("configuration", table_ ? table_->version().value() : 0)
        .add("knowledge_age_ms", storeCopyAgeMs())
        .add("load_age_ms", std::chrono::duration_cast<Milliseconds>(services_.loadAge()).count());
    account_.describe(line, now);
    admission_.describe(line);
    services_.log.write(line.text());
    services_.open.erase(shared_from_this());
}

std::int64_t ForwardedRequest::storeCopyAgeMs() const
{
    const auto age = services_.configurationAge();
    return age == Duration::max() ? -1 : std::chrono::duration_cast<Milliseconds>(age).count();
}

void ForwardedRequest::logAttempt(std::string_view event, ResultCode code) const
{
    LogLine line(event);
    line.add("id", request_.id)
        .add("fingerprint", fingerprint_.value())
        .add("parts", sharedPartsText(work_.parts))
        .add("code", static_cast<int>(code))
        .add("failure", httpFailureName(lastFailure_))
        .add("server", excluded_.empty() ? "" : excluded_.back().value())
        .add("status", answer_ ? answer_->status : 0)
        .add("attempts", sentAttempts_)
        .add("events", account_.events())
        .add("attempt_events", account_.attemptEvents())
        .add(
            "after_ms",
            std::chrono::duration_cast<Milliseconds>(account_.attemptTime(monotonicNow())).count());
    services_.log.write(line.text());
}

} // namespace crocusport
