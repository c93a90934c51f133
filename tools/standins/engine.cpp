#include "engine.h"

#include "../common/answertext.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace crocusport {

namespace {

constexpr std::string_view kStreamsPrefix = "/v1/streams/";
constexpr Duration kShortestSamplePeriod = std::chrono::milliseconds(10);
// The report may be older than its lag by one part in this many.
constexpr int kSamplesPerLag = 4;
// Time for the last bytes to leave the socket buffers before the process exits.
constexpr Duration kExitDelay = std::chrono::milliseconds(100);
constexpr std::size_t kMaxRecordedHashes = 1'000'000;
constexpr std::uint32_t kMaxTokens = 1'000'000;

HttpHeaders leavingHeaders()
{
    return { { "X-Leaving", "1" }, { "X-Not-Run", "1" }, { "Retry-After", "1" } };
}

std::string messageTexts(const nlohmann::json &request)
{
    std::string texts;
    if (!request.contains("messages") || !request["messages"].is_array())
        return texts;
    for (const auto &message : request["messages"]) {
        if (message.is_object() && message.contains("content") && message["content"].is_string())
            texts += message["content"].get_ref<const std::string &>() + '\n';
    }
    return texts;
}

} // namespace

Engine::Engine(EventLoop &loop, StandinServer &server, const EngineOptions &options,
               std::function<void()> onLeft)
    : server_(server), options_(options), onLeft_(std::move(onLeft)),
      prefixCache_(options.prefixCacheBlocks), report_(options.reportLag),
      sampleTimer_(loop, [this] { report_.sample(counts(), monotonicNow()); })
{
    server_.setHandler([this](const ExchangePointer &exchange) { onRequest(exchange); });
    if (options_.reportLag > Duration::zero())
        sampleTimer_.startPeriodic(
            std::max(options_.reportLag / kSamplesPerLag, kShortestSamplePeriod));
}

void Engine::leave()
{
    if (mayExitAt_)
        return;
    isLeaving_ = true;
    mayExitAt_ = monotonicNow() + options_.linger;
    server_.tasks().runAt(*mayExitAt_, [this] { checkLeft(); });
}

void Engine::checkLeft()
{
    if (!mayExitAt_ || running_ != 0 || !queue_.isEmpty())
        return;
    const auto now = monotonicNow();
    if (now < *mayExitAt_)
        return; // Called again at that time.
    // A moment later, so that the last bytes leave the socket buffers.
    mayExitAt_ = Instant::max();
    server_.tasks().runAt(now + kExitDelay, onLeft_);
}

void Engine::onRequest(const ExchangePointer &exchange)
{
    const auto &request = exchange->request();
    const auto path = request.path();
    if (path == "/v1/chat/completions" && request.method() == "POST")
        return onCompletion(exchange);
    if (path.substr(0, kStreamsPrefix.size()) == kStreamsPrefix && request.method() == "GET")
        return onResume(exchange, std::string(path.substr(kStreamsPrefix.size())));
    if (path == "/healthz")
        return exchange->replyJson(
            200, { { "state", isLeaving_ ? "leaving" : "live" }, { "start", options_.start } });
    if (path == "/metrics")
        return replyCounts(*exchange);
    if (path == "/v1/orders" && request.method() == "POST")
        return onOrder(*exchange);
    if (path == "/control/executions")
        return replyExecutions(*exchange);
    if (path == "/control/leave" && request.method() == "POST") {
        isLeaving_ = true;
        return exchange->replyJson(200, { { "state", "leaving" } });
    }
    exchange->replyJson(404, { { "error", { { "message", "no such path" } } } });
}

bool Engine::readRequest(const GuardedExchange &exchange, Generation &generation)
{
    const auto &request = exchange.request();
    const auto body = nlohmann::json::parse(request.body(), nullptr, false);
    if (!body.is_object())
        return false;
    const auto prompt = messageTexts(body);
    try {
        generation.isStreamed = body.value("stream", false);
        generation.priority = body.value("priority", 0);
        generation.model = body.value("model", std::string("default"));
        generation.isLengthLimited = !body.contains("standin_tokens");
        generation.total = generation.isLengthLimited
            ? body.value("max_tokens", options_.defaultTokens)
            : body["standin_tokens"].get<std::uint32_t>();
    } catch (const nlohmann::json::exception &) {
        return false;
    }
    generation.total = std::clamp(generation.total, 1U, kMaxTokens);
    generation.id = request.header("X-Request-Id").value_or(std::string());
    if (generation.id.empty())
        generation.id = "standin-" + std::to_string(++sequence_);
    const auto marker = markerOf(prompt);
    generation.hash = markerHash(marker.empty() ? prompt : marker);
    generation.prompt = prompt;
    generation.body = request.body();
    return true;
}

void Engine::onCompletion(const ExchangePointer &exchange)
{
    if (isLeaving_)
        return exchange->replyJson(503, { { "error", { { "message", "leaving" } } } },
                                   leavingHeaders());
    if (queue_.size() >= options_.maxWaiting)
        return exchange->replyJson(503, { { "error", { { "message", "queue is full" } } } },
                                   { { "X-Not-Run", "1" }, { "Retry-After", "1" } });
    auto generation = std::make_shared<Generation>();
    if (!readRequest(*exchange, *generation))
        return exchange->replyJson(400, { { "error", { { "message", "malformed request" } } } },
                                   { { "X-Not-Run", "1" } });
    ++counts_.requests;
    const auto former = generations_.find(generation->id);
    if (former != generations_.end())
        cancel(GenerationPointer(former->second));
    generations_[generation->id] = generation;
    attach(generation, exchange);
    queue_.push(generation->id, generation->priority);
    startWaiting();
}

void Engine::onResume(const ExchangePointer &exchange, const std::string &id)
{
    const auto found = generations_.find(id);
    if (found == generations_.end() || !found->second->isStreamed)
        return exchange->replyJson(404, { { "error", { { "message", "no such stream" } } } });
    const GenerationPointer generation = found->second;
    std::uint32_t last = 0;
    const auto header = exchange->request().header("Last-Event-ID").value_or("0");
    const auto parsed = std::from_chars(header.data(), header.data() + header.size(), last);
    if (parsed.ec != std::errc() || parsed.ptr != header.data() + header.size())
        return exchange->replyJson(400, { { "error", { { "message", "bad Last-Event-ID" } } } });
    ++counts_.resumed;
    attach(generation, exchange);
    exchange->startStream(200, { { "Content-Type", "text/event-stream" } });
    std::string missed;
    for (auto index = last + 1; index <= generation->emitted; ++index)
        missed += generation->tokenEvent(index);
    if (generation->state == GenerationState::Finished) {
        exchange->sendChunk(missed + generation->finishEvents());
        exchange->endStream();
        return;
    }
    if (!missed.empty())
        exchange->sendChunk(missed);
    if (generation->state != GenerationState::Paused)
        return;
    // A resumed stream precedes all new ones; its cached state would be lost otherwise.
    generation->state = GenerationState::Waiting;
    queue_.push(generation->id, std::numeric_limits<int>::min());
    startWaiting();
}

void Engine::attach(const GenerationPointer &generation, const ExchangePointer &exchange)
{
    generation->exchange = exchange;
    const std::weak_ptr<GuardedExchange> attached = exchange;
    const std::weak_ptr<Generation> weak = generation;
    exchange->onClosed([this, weak, attached] {
        const auto current = weak.lock();
        // A resumed stream has another connection, and the end of the former one means nothing.
        if (!current || current->exchange != attached.lock())
            return;
        // The exchange must outlive its own handler.
        server_.tasks().runAfter(Duration::zero(), [current] { static_cast<void>(current); });
        onClosed(current);
    });
}

void Engine::startWaiting()
{
    while (running_ < options_.slots) {
        const auto id = queue_.pop();
        if (!id)
            break;
        const auto found = generations_.find(*id);
        if (found != generations_.end())
            start(GenerationPointer(found->second));
    }
    checkLeft();
}

void Engine::start(const GenerationPointer &generation)
{
    server_.crashIfOrdered(generation->body);
    ++running_;
    generation->state = GenerationState::Running;
    ++generation->run;
    const auto now = monotonicNow();
    if (generation->emitted > 0)
        return scheduleToken(generation, now + scaled(options_.tokenGap));
    if (generation->run == 1 && startsByHash_.size() < kMaxRecordedHashes)
        ++startsByHash_[generation->hash];
    const auto cached = prefixCache_.use(generation->prompt);
    counts_.prefixHits += cached;
    const auto share = 1 - options_.cachedSaving * cached;
    const auto prefill = Duration(
        static_cast<Duration::rep>(static_cast<double>(options_.firstToken.count()) * share));
    if (generation->isStreamed && !generation->exchange->request().isStarted())
        generation->exchange->startStream(200, { { "Content-Type", "text/event-stream" } });
    scheduleToken(generation, now + scaled(prefill));
}

void Engine::scheduleToken(const GenerationPointer &generation, Instant due)
{
    const std::weak_ptr<Generation> weak = generation;
    server_.tasks().runAt(due, [this, weak, due, run = generation->run] {
        const auto current = weak.lock();
        if (current && current->state == GenerationState::Running && current->run == run)
            emitToken(current, due);
    });
}

void Engine::emitToken(const GenerationPointer &generation, Instant due)
{
    ++generation->emitted;
    ++counts_.tokens;
    if (generation->isStreamed)
        generation->exchange->sendChunk(generation->tokenEvent(generation->emitted));
    if (generation->state != GenerationState::Running)
        return; // The caller's end was noticed while sending.
    if (generation->emitted >= generation->total)
        return finish(generation);
    const auto gap = scaled(options_.tokenGap);
    const auto now = monotonicNow();
    // Catches up with small delays of the loop, never with a frozen time.
    scheduleToken(generation, now - due < gap ? due + gap : now + gap);
}

void Engine::finish(const GenerationPointer &generation)
{
    generation->state = GenerationState::Finished;
    --running_;
    ++counts_.completed;
    if (generation->isStreamed) {
        generation->exchange->sendChunk(generation->finishEvents());
        generation->exchange->endStream();
    } else {
        generation->exchange->reply(200, { { "Content-Type", "application/json" } },
                                    generation->wholeAnswer());
    }
    generation->exchange.reset();
    // The end of the stream may be lost on its way, so it can be asked for again.
    const std::weak_ptr<Generation> weak = generation;
    server_.tasks().runAfter(generation->isStreamed ? options_.resumeWindow : Duration::zero(),
                             [this, weak, id = generation->id] {
                                 const auto found = generations_.find(id);
                                 if (found != generations_.end() && found->second == weak.lock())
                                     generations_.erase(found);
                             });
    startWaiting();
}

void Engine::onClosed(const GenerationPointer &generation)
{
    if (generation->state == GenerationState::Finished)
        return;
    if (generation->isStreamed && generation->run > 0)
        return pause(generation);
    cancel(generation);
}

void Engine::pause(const GenerationPointer &generation)
{
    if (generation->state == GenerationState::Running)
        --running_;
    queue_.remove(generation->id);
    generation->state = GenerationState::Paused;
    const std::weak_ptr<Generation> weak = generation;
    server_.tasks().runAfter(options_.resumeWindow, [this, weak, run = generation->run] {
        const auto current = weak.lock();
        if (current && current->state == GenerationState::Paused && current->run == run)
            cancel(current);
    });
    startWaiting();
}

void Engine::cancel(const GenerationPointer &generation)
{
    const auto state = generation->state;
    const auto found = generations_.find(generation->id);
    if (found != generations_.end() && found->second == generation)
        generations_.erase(found);
    if (state == GenerationState::Finished)
        return;
    if (state == GenerationState::Running)
        --running_;
    queue_.remove(generation->id);
    generation->state = GenerationState::Finished;
    ++counts_.cancelled;
    counts_.wastedTokens += generation->emitted;
    startWaiting();
}

void Engine::onOrder(GuardedExchange &exchange)
{
    const auto body = nlohmann::json::parse(exchange.request().body(), nullptr, false);
    if (!body.is_object() || !body.contains("kind") || !body["kind"].is_string())
        return exchange.replyJson(400, { { "error", { { "message", "malformed order" } } } });
    std::uint64_t fencing = 0;
    if (body.contains("fencing") && body["fencing"].is_number_unsigned())
        fencing = body["fencing"].get<std::uint64_t>();
    if (options_.isCheckingFencing && fencing < highestFencing_)
        return exchange.replyJson(409,
                                  { { "error", { { "message", "stale fencing token" } } },
                                    { "highest", highestFencing_ } });
    highestFencing_ = std::max(highestFencing_, fencing);
    LOG(INFO) << "event=order address=" << server_.address() << " kind=" << body["kind"]
              << " fencing=" << fencing;
    exchange.replyJson(200, { { "accepted", true } });
}

void Engine::replyCounts(GuardedExchange &exchange)
{
    const bool isCurrent =
        options_.reportLag <= Duration::zero() || exchange.request().queryParameter("lag") == "0";
    exchange.reply(200, { { "Content-Type", "text/plain; version=0.0.4" } },
                   isCurrent ? EngineReport::textOf(counts()) : report_.text(monotonicNow()));
}

void Engine::replyExecutions(GuardedExchange &exchange) const
{
    nlohmann::json markers = nlohmann::json::object();
    for (const auto &[hash, count] : startsByHash_)
        markers[hash] = count;
    exchange.replyJson(200, { { "hashes", std::move(markers) } });
}

EngineCounts Engine::counts() const
{
    auto current = counts_;
    current.slots = options_.slots;
    current.running = running_;
    current.waiting = queue_.size();
    return current;
}

Duration Engine::scaled(Duration duration) const
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count())
                                               * server_.faults().slowFactor()));
}

} // namespace crocusport
