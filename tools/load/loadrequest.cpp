#include "loadrequest.h"

#include "../common/answertext.h"

#include <event2/util.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <utility>

namespace crocusport {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kConflict = 409;

bool isHeader(const std::string &name, const char *expected)
{
    return evutil_ascii_strcasecmp(name.c_str(), expected) == 0;
}

//! Returns the member \a name of \a object as text, whether it is a string or a number.
std::string textOf(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

void takeClaimedCount(const json &answer, AnswerCheck &check)
{
    if (answer.contains("usage") && answer["usage"].is_object()
        && answer["usage"].contains("completion_tokens")
        && answer["usage"]["completion_tokens"].is_number_unsigned())
        check.setClaimedCount(answer["usage"]["completion_tokens"].get<std::uint32_t>());
}

//! Takes the text of the first choice, under \a part ("delta" or "message").
bool takeText(const json &answer, const char *part, AnswerCheck &check)
{
    if (!answer.is_object() || !answer.contains("choices") || !answer["choices"].is_array()
        || answer["choices"].empty())
        return false;
    const auto &choice = answer["choices"][0];
    if (!choice.is_object() || !choice.contains(part) || !choice[part].is_object()
        || !choice[part].contains("content") || !choice[part]["content"].is_string())
        return false;
    check.addText(choice[part]["content"].get_ref<const std::string &>());
    return true;
}

} // namespace

LoadRequest::LoadRequest(LoadEnvironment &environment, const LoadClass &loadClass, RequestPlan plan,
                         DoneHandler onDone)
    : environment_(environment), class_(loadClass), plan_(std::move(plan)),
      onDone_(std::move(onDone)), check_(plan_.hash, plan_.tokens),
      reader_([this](std::string_view name, std::string_view data) { onEvent(name, data); })
{ }

void LoadRequest::start()
{
    arrived_ = monotonicNow();
    router_ = environment_.random() % environment_.routers.size();
    startAttempt();
}

void LoadRequest::startAttempt()
{
    ++record_.attempts;
    check_ = AnswerCheck(plan_.hash, plan_.tokens);
    reader_ = EventStreamReader(
        [this](std::string_view name, std::string_view data) { onEvent(name, data); });
    body_.clear();
    outcome_.clear();
    code_.clear();
    status_ = 0;
    isMarkedNotRun_ = false;
    hasDoneMark_ = false;
    retryAfterSeconds_.reset();

    HttpCallRequest request;
    request.address = environment_.routers[router_];
    request.method = plan_.method;
    request.target = plan_.target;
    request.headers = plan_.headers;
    request.body = plan_.body;
    request.progressTimeout = class_.timeout;
    HttpCallHandlers handlers;
    handlers.onHead = [this](int status, const HttpHeaders &headers) { onHead(status, headers); };
    handlers.onBody = [this](std::string_view data) { onBody(data); };
    handlers.onEnd = [this](const HttpCallEnd &end) { onEnd(end); };
    call_ = environment_.client.start(std::move(request), std::move(handlers));
}

void LoadRequest::onHead(int status, const HttpHeaders &headers)
{
    status_ = status;
    for (const auto &[name, value] : headers) {
        if (isHeader(name, "X-Crocusport-Outcome"))
            outcome_ = value;
        else if (isHeader(name, "X-Crocusport-Code"))
            code_ = value;
        else if (isHeader(name, "X-Not-Run"))
            isMarkedNotRun_ = true;
        else if (isHeader(name, "Retry-After"))
            retryAfterSeconds_ = std::strtod(value.c_str(), nullptr);
    }
}

void LoadRequest::onBody(std::string_view data)
{
    if (class_.isStreamed && status_ == kOk)
        reader_.add(data);
    else
        body_.append(data);
}

void LoadRequest::onEvent(std::string_view name, std::string_view data)
{
    if (name.empty() && data == "[DONE]") {
        hasDoneMark_ = true;
        return;
    }
    const auto parsed = json::parse(data, nullptr, false);
    if (!parsed.is_object())
        return;
    if (name == "crocusport.outcome") {
        outcome_ = textOf(parsed, "outcome");
        code_ = textOf(parsed, "code");
        if (parsed.contains("retry_after") && parsed["retry_after"].is_number())
            retryAfterSeconds_ = parsed["retry_after"].get<double>();
        return;
    }
    if (takeText(parsed, "delta", check_) && record_.firstToken == Duration::zero())
        record_.firstToken = monotonicNow() - arrived_;
    takeClaimedCount(parsed, check_);
}

void LoadRequest::onEnd(const HttpCallEnd &end)
{
    const auto self = shared_from_this();
    const auto result = resultOf(end);
    record_.tokens = check_.tokens();
    record_.codes.push_back(
        (status_ == 0 ? std::string(httpFailureName(end.failure)) : std::to_string(status_))
        + (code_.empty() ? code_ : '/' + code_));
    if (check_.verdict() == AnswerVerdict::Foreign || record_.verdict == AnswerVerdict::Foreign)
        record_.isForeign = true;
    if (result != RequestResult::NotRun)
        isToldNotRun_ = false;
    if (!isRetried(result)) {
        finish(result);
        return;
    }
    const auto delay = retryAfterSeconds_ ? Duration(static_cast<Duration::rep>(
                           *retryAfterSeconds_ * environment_.mix.retryAfterScale * 1'000'000))
                                          : class_.retryDelay;
    // Like a load balancer, a new connection goes to another router.
    const auto count = environment_.routers.size();
    if (count > 1)
        router_ = (router_ + 1 + environment_.random() % (count - 1)) % count;
    const std::weak_ptr<LoadRequest> weak = self;
    environment_.tasks.runAfter(delay, [weak] {
        const auto request = weak.lock();
        if (request && !request->isDone_)
            request->startAttempt();
    });
}

RequestResult LoadRequest::resultOf(const HttpCallEnd &end)
{
    if (end.failure != HttpFailure::None)
        return status_ == 0 ? RequestResult::ConnectionError : RequestResult::Cut;
    if (!class_.isStreamed || status_ != kOk) {
        const auto result = resultFromOutcome();
        if (result == RequestResult::Completed && status_ == kOk)
            record_.verdict = checkWholeAnswer();
        return result;
    }
    if (!outcome_.empty() && outcome_ != "completed")
        return resultFromOutcome();
    // An answer without its end mark is whole for no caller.
    if (!hasDoneMark_ && outcome_.empty())
        return RequestResult::Cut;
    record_.verdict = hasDoneMark_ ? check_.verdict() : AnswerVerdict::Incomplete;
    return RequestResult::Completed;
}

RequestResult LoadRequest::resultFromOutcome()
{
    if (outcome_ == "completed")
        return status_ == kOk || status_ == kConflict ? RequestResult::Completed
                                                      : RequestResult::Failed;
    if (outcome_ == "not_run")
        return RequestResult::NotRun;
    if (outcome_ == "unknown")
        return RequestResult::Unknown;
    if (!outcome_.empty())
        return RequestResult::Failed;
    // Straight from a backend server.
    if (status_ == kOk)
        return RequestResult::Completed;
    return isMarkedNotRun_ ? RequestResult::NotRun : RequestResult::Failed;
}

AnswerVerdict LoadRequest::checkWholeAnswer()
{
    if (class_.kind != LoadKind::Chat)
        return checkServiceAnswer();
    const auto answer = json::parse(body_, nullptr, false);
    if (!takeText(answer, "message", check_))
        return AnswerVerdict::Wrong;
    takeClaimedCount(answer, check_);
    return check_.verdict();
}

AnswerVerdict LoadRequest::checkServiceAnswer() const
{
    const auto answer = json::parse(body_, nullptr, false);
    if (!answer.is_object())
        return AnswerVerdict::Wrong;
    if (textOf(answer, "marker") != plan_.marker)
        return AnswerVerdict::Foreign;
    const bool isWhole = textOf(answer, "check") == plan_.hash
        && textOf(answer, "path") == plan_.target.substr(0, plan_.target.find('?'));
    return isWhole ? AnswerVerdict::Whole : AnswerVerdict::Wrong;
}

bool LoadRequest::isRetried(RequestResult result) const
{
    if (record_.attempts > class_.retries)
        return false;
    switch (result) {
    case RequestResult::NotRun:
        return true;
    case RequestResult::ConnectionError:
    case RequestResult::Cut:
        // A careful caller repeats a booking of unknown fate only under its key.
        return class_.kind != LoadKind::Booking || class_.hasIdempotencyKey;
    case RequestResult::Unknown:
        return class_.isRetryingUnknown;
    case RequestResult::Completed:
    case RequestResult::Failed:
    case RequestResult::TimedOut:
        return false;
    }
    return false;
}

void LoadRequest::giveUp()
{
    if (isDone_)
        return;
    const auto self = shared_from_this();
    isToldNotRun_ = false;
    record_.tokens = check_.tokens();
    finish(RequestResult::TimedOut);
}

void LoadRequest::finish(RequestResult result)
{
    isDone_ = true;
    record_.result = result;
    record_.answer = monotonicNow() - arrived_;
    call_.reset();
    onDone_(*this);
}

} // namespace crocusport
