#include "enginecall.h"

#include <charconv>
#include <utility>

namespace crocusport {

namespace {

constexpr std::uint32_t kMaxResumesWithoutProgress = 3;
constexpr std::size_t kMaxErrorBodyBytes = 64UL * 1024;
constexpr std::string_view kDone = "[DONE]";

std::uint64_t parseEventId(std::string_view text)
{
    std::uint64_t id = 0;
    std::from_chars(text.data(), text.data() + text.size(), id);
    return id;
}

} // namespace

EngineCall::EngineCall(HttpClient &client, BackendCallRequest request, EventHandler onEvent,
                       EndHandler onEnd)
    : client_(client), request_(std::move(request)), onEvent_(std::move(onEvent)),
      onEnd_(std::move(onEnd)), reader_(request_.maxEventBytes),
      heldAnswer_(*request_.answerMemory), started_(monotonicNow())
{
    sendFirst();
}

void EngineCall::sendFirst()
{
    HttpCallRequest call;
    call.method = request_.method;
    call.target = request_.target;
    call.headers = request_.headers;
    call.headers.emplace_back("X-Request-Id", request_.attempt.value());
    call.body = std::move(request_.body);
    call.connection = request_.connection;
    send(std::move(call));
}

void EngineCall::sendResume()
{
    isResuming_ = true;
    ++result_.resumes;
    ++resumesWithoutProgress_;
    reader_ = SseReader(request_.maxEventBytes);
    HttpCallRequest call;
    call.target = "/v1/streams/" + request_.attempt.value();
    call.headers = { { "Last-Event-ID", std::to_string(lastEventId_) } };
    call.connection = ConnectionUse::Fresh;
    send(std::move(call));
}

void EngineCall::send(HttpCallRequest call)
{
    call.address = request_.server.address;
    call.connectTimeout = request_.connectTimeout;
    call.progressTimeout = request_.progressTimeout;
    call.maxResponseBytes = request_.maxResponseBytes;
    HttpCallHandlers handlers;
    handlers.onHead = [this](int status, const HttpHeaders &headers) { onHead(status, headers); };
    handlers.onBody = [this](std::string_view data) { onBody(data); };
    handlers.onEnd = [this](const HttpCallEnd &end) { onCallEnd(end); };
    call_ = client_.start(std::move(call), std::move(handlers));
}

void EngineCall::onHead(int status, const HttpHeaders &headers)
{
    result_.status = status;
    head_ = readResponseHead(headers);
    owner_ = responseOwner(head_, request_.attempt, call_->isOnNewConnection());
    result_.contentType = head_.contentType;
    if (head_.isLeaving)
        result_.condition = BackendCondition::Leaving;
}

void EngineCall::onBody(std::string_view data)
{
    if (isMalformed_ || isDone_)
        return;
    if (owner_ == ResponseOwner::Other) {
        isMalformed_ = true;
        return;
    }
    if (result_.status != 200) {
        const auto size = result_.body.size() + data.size();
        if (size <= kMaxErrorBodyBytes && heldAnswer_.resize(size))
            result_.body.append(data);
        return;
    }
    isMalformed_ = !reader_.read(data, [this](const SseEvent &event) { onStreamEvent(event); });
    if (heldAnswer_.resize(reader_.pendingBytes()))
        return;
    call_.reset();
    result_.failure = HttpFailure::TooLarge;
    finish(BackendCallEnd::TooLarge);
}

void EngineCall::onStreamEvent(const SseEvent &event)
{
    if (isDone_)
        return;
    if (event.data == kDone) {
        isDone_ = true;
        return;
    }
    const auto id = parseEventId(event.id);
    if (id != 0 && id <= lastEventId_)
        return; // Sent again after a resume.
    if (id != 0)
        lastEventId_ = id;
    resumesWithoutProgress_ = 0;
    noteToken();
    onEvent_(event);
}

void EngineCall::noteToken()
{
    lastToken_ = monotonicNow();
    if (result_.outputTokens++ == 0)
        result_.firstToken = lastToken_ - started_;
}

void EngineCall::onCallEnd(const HttpCallEnd &end)
{
    result_.failure = end.failure;
    if (isDone_) {
        finish(BackendCallEnd::Completed);
        return;
    }
    if (isMalformed_) {
        finish(BackendCallEnd::Malformed);
        return;
    }
    if (end.failure == HttpFailure::None && result_.status != 200) {
        // A failed resume means that the engine no longer has the stream.
        finish(isResuming_ ? BackendCallEnd::Lost : endForStatus(result_.status, head_, owner_));
        return;
    }
    const auto callEnd = endForFailure(end);
    if (callEnd == BackendCallEnd::NotRun && !isResuming_) {
        result_.condition = BackendCondition::Unreachable;
        finish(BackendCallEnd::NotRun);
        return;
    }
    if (callEnd == BackendCallEnd::Malformed || callEnd == BackendCallEnd::TooLarge) {
        finish(callEnd);
        return;
    }
    // The stream was cut, went silent, or ended without its end marker.
    probe();
}

void EngineCall::probe()
{
    call_.reset();
    probe_ = std::make_unique<HealthProbe>(client_, request_.server, request_.probeTimeout,
                                           [this](const ProbeResult &probe) { onProbe(probe); });
}

void EngineCall::onProbe(const ProbeResult &probe)
{
    if (probe.isLeaving)
        result_.condition = BackendCondition::Leaving;
    switch (probe.finding) {
    case ProbeFinding::Refused:
    case ProbeFinding::Restarted:
        result_.condition = BackendCondition::Crashed;
        finish(BackendCallEnd::Lost);
        return;
    case ProbeFinding::Silent:
        result_.condition = BackendCondition::Unreachable;
        finish(BackendCallEnd::Lost);
        return;
    case ProbeFinding::Alive:
        break;
    }
    // Without event ids a resumed stream could repeat tokens that the caller already has.
    const bool isResumable = result_.outputTokens == 0 || lastEventId_ != 0;
    if (!isResumable || resumesWithoutProgress_ >= kMaxResumesWithoutProgress) {
        finish(BackendCallEnd::Lost);
        return;
    }
    sendResume();
}

void EngineCall::finish(BackendCallEnd end)
{
    result_.end = end;
    if (result_.outputTokens > 1)
        result_.tokenGap = (lastToken_ - started_ - result_.firstToken)
            / (static_cast<std::int64_t>(result_.outputTokens) - 1);
    // The handler may destroy this call.
    const auto onEnd = std::move(onEnd_);
    onEnd(std::move(result_));
}

} // namespace crocusport
