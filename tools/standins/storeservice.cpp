#include "storeservice.h"

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

constexpr Duration kLeaseCheckPeriod = std::chrono::milliseconds(100);
// google.rpc.Code RESOURCE_EXHAUSTED.
constexpr int kResourceExhausted = 8;
constexpr int kInvalidArgument = 3;
constexpr int kUnimplemented = 12;

} // namespace

StoreService::StoreService(EventLoop &loop, StandinServer &server,
                           const StoreServiceOptions &options)
    : server_(server), options_(options), writes_(options.writesPerSecond),
      reads_(options.readsPerSecond), leaseTimer_(loop, [this] {
          gateway_.state().expireLeases(monotonicNow());
          notifyWatches();
      })
{
    server_.setHandler([this](const ExchangePointer &exchange) { onRequest(exchange); });
    leaseTimer_.startPeriodic(kLeaseCheckPeriod);
}

void StoreService::onRequest(const ExchangePointer &exchange)
{
    const std::string path(exchange->request().path());
    if (path == "/control/counts")
        return replyCounts(*exchange);
    const auto kind = StoreGateway::kindOf(path);
    if (kind == StoreCallKind::Unknown) {
        const auto error = StoreGateway::error(404, kUnimplemented, "Not Found");
        return exchange->replyJson(error.status, error.body);
    }
    ++counts_[path];
    auto &limiter = kind == StoreCallKind::Write ? writes_ : reads_;
    if (!limiter.take(monotonicNow())) {
        ++counts_["rejected"];
        const auto error =
            StoreGateway::error(429, kResourceExhausted, "etcdserver: too many requests");
        return exchange->replyJson(error.status, error.body);
    }
    const auto time =
        static_cast<double>(options_.serviceTime.count()) * server_.faults().slowFactor();
    server_.tasks().runAfter(Duration(static_cast<Duration::rep>(time)),
                             [this, exchange, kind] { runCall(exchange, kind); });
}

void StoreService::runCall(const ExchangePointer &exchange, StoreCallKind kind)
{
    const auto request = nlohmann::json::parse(exchange->request().body(), nullptr, false);
    if (!request.is_object()) {
        const auto error = StoreGateway::error(400, kInvalidArgument, "malformed JSON");
        return exchange->replyJson(error.status, error.body);
    }
    if (kind == StoreCallKind::Watch)
        return startWatch(exchange, request);
    StoreGateway::Reply reply;
    try {
        reply = gateway_.call(exchange->request().path(), request, monotonicNow());
    } catch (const nlohmann::json::exception &exception) {
        // A field of a wrong type.
        reply = StoreGateway::error(400, kInvalidArgument, exception.what());
    }
    if (kind == StoreCallKind::Write && server_.faults().takeLostReply()) {
        ++counts_["lost_replies"];
        exchange->abort();
    } else {
        exchange->replyJson(reply.status, reply.body);
    }
    notifyWatches();
}

void StoreService::startWatch(const ExchangePointer &exchange, const nlohmann::json &request)
{
    const auto *name = request.contains("create_request") ? "create_request" : "createRequest";
    if (!request.contains(name)) {
        const auto error = StoreGateway::error(400, kInvalidArgument, "no create_request");
        return exchange->replyJson(error.status, error.body);
    }
    const auto &create = request[name];
    auto watch = std::make_unique<Watch>();
    watch->exchange = exchange;
    watch->key = StoreGateway::bytesField(create, "key");
    watch->rangeEnd = StoreGateway::bytesField(create, "range_end", "rangeEnd");
    watch->nextRevision = StoreGateway::numberField(create, "start_revision", "startRevision");
    if (watch->nextRevision == 0)
        watch->nextRevision = gateway_.state().revision() + 1;
    exchange->startStream(200, { { "Content-Type", "application/json" } });
    auto created = gateway_.watchMessage({});
    created["result"]["created"] = true;
    exchange->sendChunk(created.dump() + '\n');
    watches_.push_back(std::move(watch));
    notifyWatches();
}

void StoreService::notifyWatches()
{
    watches_.erase(std::remove_if(watches_.begin(), watches_.end(),
                                  [](const auto &watch) { return watch->exchange->isClosed(); }),
                   watches_.end());
    const auto revision = gateway_.state().revision();
    for (const auto &watch : watches_) {
        if (watch->nextRevision > revision)
            continue;
        const auto events =
            gateway_.state().eventsFrom(watch->nextRevision, watch->key, watch->rangeEnd);
        watch->nextRevision = revision + 1;
        if (!events.empty())
            watch->exchange->sendChunk(gateway_.watchMessage(events).dump() + '\n');
    }
}

void StoreService::replyCounts(GuardedExchange &exchange) const
{
    auto counts = nlohmann::json(counts_);
    counts["open_watches"] = watches_.size();
    exchange.replyJson(200, counts);
}

} // namespace crocusport
