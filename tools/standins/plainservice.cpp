#include "plainservice.h"

#include "../common/answertext.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace crocusport {

namespace {

constexpr std::string_view kBookingsPrefix = "/bookings";
// Time for the last bytes to leave the socket buffers before the process exits.
constexpr Duration kExitDelay = std::chrono::milliseconds(100);

bool isBooking(const HttpExchange &request)
{
    return request.method() == "POST"
        && request.path().substr(0, kBookingsPrefix.size()) == kBookingsPrefix;
}

std::string requestMarker(const HttpExchange &request)
{
    const auto parameter = request.queryParameter("marker");
    return parameter ? *parameter : markerOf(request.body());
}

} // namespace

PlainService::PlainService(StandinServer &server, const PlainServiceOptions &options,
                           std::function<void()> onLeft)
    : server_(server), options_(options), onLeft_(std::move(onLeft))
{
    server_.setHandler([this](const ExchangePointer &exchange) { onRequest(exchange); });
}

void PlainService::leave()
{
    if (mayExitAt_)
        return;
    isLeaving_ = true;
    mayExitAt_ = monotonicNow() + options_.linger;
    server_.tasks().runAt(*mayExitAt_, [this] { checkLeft(); });
}

void PlainService::checkLeft()
{
    if (!mayExitAt_ || running_ != 0 || !waiting_.empty() || monotonicNow() < *mayExitAt_)
        return;
    mayExitAt_ = Instant::max();
    server_.tasks().runAfter(kExitDelay, onLeft_);
}

void PlainService::onRequest(const ExchangePointer &exchange)
{
    const auto path = exchange->request().path();
    if (path == "/healthz")
        return exchange->replyJson(
            200, { { "state", isLeaving_ ? "leaving" : "live" }, { "start", options_.start } });
    if (path == "/control/executions")
        return replyExecutions(*exchange);
    if (path == "/control/leave") {
        isLeaving_ = true;
        return exchange->replyJson(200, { { "state", "leaving" } });
    }
    if (path == "/metrics") {
        return exchange->reply(200, { { "Content-Type", "text/plain; version=0.0.4" } },
                               "service_requests_running " + std::to_string(running_)
                                   + "\nservice_requests_waiting " + std::to_string(waiting_.size())
                                   + "\nservice_requests_total " + std::to_string(requests_)
                                   + '\n');
    }
    enqueue(exchange);
}

void PlainService::enqueue(const ExchangePointer &exchange)
{
    if (isLeaving_) {
        return exchange->replyJson(
            503, { { "error", "leaving" } },
            { { "X-Leaving", "1" }, { "X-Not-Run", "1" }, { "Retry-After", "1" } });
    }
    ++requests_;
    waiting_.push_back(exchange);
    startWaiting();
}

void PlainService::startWaiting()
{
    while (running_ < options_.slots && !waiting_.empty()) {
        const auto next = std::move(waiting_.front());
        waiting_.pop_front();
        run(next);
    }
    checkLeft();
}

void PlainService::run(const ExchangePointer &exchange)
{
    const auto &request = exchange->request();
    server_.crashIfOrdered(request.body());
    server_.crashIfOrdered(requestMarker(request));
    ++running_;
    // A booking counts from its start: the caller's end does not undo it.
    const auto execution = isBooking(request) ? recordBooking(*exchange) : 0;
    const auto time = isBooking(request) ? options_.bookingTime : options_.serviceTime;
    const auto scaled = static_cast<double>(time.count()) * server_.faults().slowFactor();
    if (scaled <= 0) {
        // Without a timer, so that measurements of throughput are not about this process.
        --running_;
        answer(*exchange, execution);
        return;
    }
    server_.tasks().runAfter(Duration(static_cast<Duration::rep>(scaled)),
                             [this, exchange, execution] {
                                 --running_;
                                 answer(*exchange, execution);
                                 startWaiting();
                             });
}

void PlainService::answer(GuardedExchange &exchange, std::uint64_t execution)
{
    const auto &request = exchange.request();
    const auto marker = requestMarker(request);
    nlohmann::json body = { { "path", std::string(request.path()) },
                            { "marker", marker },
                            { "check", markerHash(marker) } };
    if (execution != 0)
        body["booking"] = execution;
    exchange.replyJson(200, body);
}

std::uint64_t PlainService::recordBooking(const GuardedExchange &exchange)
{
    const auto &request = exchange.request();
    if (const auto key = request.header("Idempotency-Key"))
        ++executionsByKey_[*key];
    const auto marker = requestMarker(request);
    if (!marker.empty())
        ++executionsByMarker_[marker];
    return ++bookings_;
}

void PlainService::replyExecutions(GuardedExchange &exchange) const
{
    std::uint64_t duplicates = 0;
    for (const auto &[marker, count] : executionsByMarker_)
        duplicates += count - 1;
    exchange.replyJson(200,
                       { { "keys", executionsByKey_ },
                         { "markers", executionsByMarker_ },
                         { "total", bookings_ },
                         { "duplicates", duplicates } });
}

} // namespace crocusport
