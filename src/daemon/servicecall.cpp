#include "servicecall.h"

#include <utility>

namespace crocusport {

ServiceCall::ServiceCall(HttpClient &client, BackendCallRequest request, EndHandler onEnd)
    : client_(client), request_(std::move(request)), onEnd_(std::move(onEnd)),
      heldAnswer_(*request_.answerMemory)
{
    HttpCallRequest call;
    call.address = request_.server.address;
    call.method = request_.method;
    call.target = request_.target;
    call.headers = request_.headers;
    call.headers.emplace_back("X-Request-Id", request_.attempt.value());
    call.body = std::move(request_.body);
    call.connection = request_.connection;
    call.connectTimeout = request_.connectTimeout;
    call.progressTimeout = request_.progressTimeout;
    call.maxResponseBytes = request_.maxResponseBytes;
    HttpCallHandlers handlers;
    handlers.onHead = [this](int status, const HttpHeaders &headers) { onHead(status, headers); };
    handlers.onBody = [this](std::string_view data) { onBody(data); };
    handlers.onEnd = [this](const HttpCallEnd &end) { onCallEnd(end); };
    call_ = client_.start(std::move(call), std::move(handlers));
}

void ServiceCall::onHead(int status, const HttpHeaders &headers)
{
    head_ = readResponseHead(headers);
    owner_ = responseOwner(head_, request_.attempt, call_->isOnNewConnection());
    result_.status = status;
    result_.contentType = head_.contentType;
    if (head_.isLeaving)
        result_.condition = BackendCondition::Leaving;
}

void ServiceCall::onBody(std::string_view data)
{
    if (heldAnswer_.resize(result_.body.size() + data.size())) {
        result_.body.append(data);
        return;
    }
    call_.reset();
    result_.body.clear();
    result_.failure = HttpFailure::TooLarge;
    result_.end = BackendCallEnd::TooLarge;
    finish();
}

void ServiceCall::onCallEnd(const HttpCallEnd &end)
{
    result_.failure = end.failure;
    if (end.failure == HttpFailure::None) {
        result_.end = endForStatus(result_.status, head_, owner_);
        // A plain service's 4xx is its own answer to the caller, such as "no such lot".
        if (result_.end == BackendCallEnd::Rejected)
            result_.end = BackendCallEnd::Completed;
        finish();
        return;
    }
    result_.body.clear();
    result_.end = endForFailure(end);
    if (result_.end == BackendCallEnd::NotRun)
        result_.condition = BackendCondition::Unreachable;
    if (result_.end != BackendCallEnd::Lost) {
        finish();
        return;
    }
    probe_ = std::make_unique<HealthProbe>(
        client_, request_.server, request_.probeTimeout, [this](const ProbeResult &probe) {
            if (probe.finding == ProbeFinding::Refused || probe.finding == ProbeFinding::Restarted)
                result_.condition = BackendCondition::Crashed;
            else if (probe.finding == ProbeFinding::Silent)
                result_.condition = BackendCondition::Unreachable;
            finish();
        });
}

void ServiceCall::finish()
{
    // The handler may destroy this call.
    const auto onEnd = std::move(onEnd_);
    onEnd(std::move(result_));
}

} // namespace crocusport
