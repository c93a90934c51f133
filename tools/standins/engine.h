#ifndef CROCUSPORT_ENGINE_H
#define CROCUSPORT_ENGINE_H

#include "crocusport/transport/timer.h"
#include "enginequeue.h"
#include "enginereport.h"
#include "generation.h"
#include "prefixcache.h"
#include "standinserver.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace crocusport {

//! Settings of a simulated engine.
struct EngineOptions
{
    std::uint32_t slots = 8;
    Duration firstToken = std::chrono::milliseconds(200); //!< Prefill of an uncached prompt.
    double cachedSaving = 0.8; //!< Share of the prefill that a wholly cached prompt saves.
    Duration tokenGap = std::chrono::milliseconds(30);
    std::uint32_t defaultTokens = 64; //!< Length of an answer without max_tokens.
    std::size_t prefixCacheBlocks = 4096;
    std::size_t maxWaiting = 100'000;
    Duration resumeWindow = std::chrono::seconds(10);
    Duration reportLag {};
    bool isCheckingFencing = false;
    std::uint64_t start = 0;
    Duration linger {}; //!< Shortest time between the order to leave and the exit.
};

/*!
    A simulated model engine with continuous batching: a limited number of requests generate at the
    same time, the others wait in a queue by priority.

    Closing a streamed request's connection frees its slot; its state is kept for the resume window.

    Thread safety: loop thread only.
*/
class Engine
{
public:
    //! \a onLeft is called when the engine is leaving and nothing runs any more.
    Engine(EventLoop &loop, StandinServer &server, const EngineOptions &options,
           std::function<void()> onLeft);

    //! Takes no more requests, finishes what runs.
    void leave();

private:
    using GenerationPointer = std::shared_ptr<Generation>;
    using ExchangePointer = std::shared_ptr<GuardedExchange>;

    void onRequest(const ExchangePointer &exchange);
    void onCompletion(const ExchangePointer &exchange);
    void onResume(const ExchangePointer &exchange, const std::string &id);
    void onOrder(GuardedExchange &exchange);
    void replyCounts(GuardedExchange &exchange);
    void replyExecutions(GuardedExchange &exchange) const;
    bool readRequest(const GuardedExchange &exchange, Generation &generation);

    void startWaiting();
    void start(const GenerationPointer &generation);
    void scheduleToken(const GenerationPointer &generation, Instant due);
    void emitToken(const GenerationPointer &generation, Instant due);
    void finish(const GenerationPointer &generation);
    void attach(const GenerationPointer &generation, const ExchangePointer &exchange);
    void onClosed(const GenerationPointer &generation);
    void pause(const GenerationPointer &generation);
    void cancel(const GenerationPointer &generation);
    void checkLeft();
    EngineCounts counts() const;
    Duration scaled(Duration duration) const;

    StandinServer &server_;
    EngineOptions options_;
    std::function<void()> onLeft_;
    EngineQueue queue_;
    PrefixCache prefixCache_;
    EngineReport report_;
    EngineCounts counts_;
    std::unordered_map<std::string, GenerationPointer> generations_;
    std::map<std::string, std::uint32_t> startsByHash_;
    std::uint64_t highestFencing_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint32_t running_ = 0;
    bool isLeaving_ = false;
    std::optional<Instant> mayExitAt_;
    Timer sampleTimer_;
};

} // namespace crocusport

#endif // CROCUSPORT_ENGINE_H
