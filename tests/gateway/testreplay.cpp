#include "replay/replay.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace crocusport;
using namespace crocusport::replay;

namespace {

// Sizes and rates are those of a user's deployment under its usual load, scaled to 12 engines.
RequestKindLoad chats(double perSecond, double burst = 1)
{
    RequestKindLoad load;
    load.name = "chat";
    load.perSecond = perSecond;
    load.burst = burst;
    load.promptTokens = 630;
    load.promptSpread = 1;
    load.maxPromptTokens = 3300;
    load.sharedTokens = 120;
    load.subjects = 16;
    load.outputTokens = 290;
    load.urgency = 0;
    load.target = Milliseconds(500);
    load.maxPause = Milliseconds(200);
    return load;
}

RequestKindLoad reports(double perSecond, double burst = 1)
{
    RequestKindLoad load;
    load.name = "report";
    load.perSecond = perSecond;
    load.burst = burst;
    load.promptTokens = 11'000;
    load.promptSpread = 0.9;
    load.maxPromptTokens = 54'000;
    load.sharedTokens = 5000;
    load.subjects = 90;
    load.outputTokens = 380;
    load.urgency = 2;
    load.target = Milliseconds(1500);
    load.maxPause = Milliseconds(800);
    return load;
}

RequestKindLoad tags(double perSecond)
{
    RequestKindLoad load;
    load.name = "tag";
    load.perSecond = perSecond;
    load.promptTokens = 2300;
    load.promptSpread = 0.7;
    load.maxPromptTokens = 12'000;
    load.sharedTokens = 400;
    load.subjects = 64;
    load.outputTokens = 60;
    load.urgency = 1;
    load.target = Milliseconds(1200);
    load.maxPause = Milliseconds(400);
    return load;
}

LoadPattern usualLoad()
{
    LoadPattern pattern;
    pattern.kinds = { chats(12), reports(15), tags(30) };
    return pattern;
}

std::size_t inTarget(const ReplayOutcome &outcome)
{
    std::size_t sum = 0;
    for (const auto &kind : outcome.kinds)
        sum += kind.inTarget;
    return sum;
}

constexpr std::size_t kChat = 0;

//! Neither the most urgent kind nor all kinds together may have fewer requests in target.
void requireBetter(const ReplayOutcome &outcome, const ReplayOutcome &baseline)
{
    CAPTURE(outcome.kinds[kChat].targetShare(), baseline.kinds[kChat].targetShare());
    CAPTURE(inTarget(outcome), inTarget(baseline), outcome.preemptions);
    REQUIRE(outcome.kinds[kChat].inTarget >= baseline.kinds[kChat].inTarget);
    REQUIRE(inTarget(outcome) >= inTarget(baseline));
}

EngineEmulator::RequestPointer emulated(std::uint64_t subject, std::uint32_t promptTokens,
                                        std::uint32_t outputTokens, int urgency)
{
    auto request = std::make_shared<ReplayedRequest>();
    request->work.parts = { { subject, promptTokens } };
    request->work.prefixHashes = promptPrefixHashes(request->work.parts);
    request->work.promptTokens = promptTokens;
    request->work.outputTokens = outputTokens;
    request->urgency = urgency;
    return request;
}

} // namespace

SCENARIO("The emulated engine behaves as its operators describe it")
{
    EngineEmulator::Limits limits;
    limits.noiseShare = 0;
    limits.slots = 2;
    limits.queue = 1;
    EngineEmulator engine(limits, 1);
    const auto after = [](int ms) { return Instant(std::chrono::milliseconds(ms)); };
    const auto chat = emulated(1, 100, 40, 0);
    REQUIRE(engine.submit(chat, after(0)));

    WHEN("a long prompt is prefilled while a stream runs")
    {
        const auto report = emulated(2, 40'000, 10, 2);
        engine.advance(after(50));
        REQUIRE(engine.submit(report, after(50)));
        engine.advance(after(1000));
        // Guards against an emulation that hides how long prompts delay streams on the same engine.
        THEN("the stream is delayed, and continues between the chunks")
        {
            REQUIRE(chat->isDone);
            REQUIRE(chat->longestPause > std::chrono::milliseconds(150));
            REQUIRE(report->isDone);
            REQUIRE(report->firstEvent > chat->firstEvent);
        }
    }
    WHEN("a prompt is in the prefix cache already")
    {
        engine.advance(after(1000));
        const auto again = emulated(1, 100, 10, 0);
        REQUIRE(engine.submit(again, after(1000)));
        engine.advance(after(1003));
        REQUIRE(again->generated == 1);
    }
    WHEN("a more urgent request arrives while all slots are in use")
    {
        engine.advance(after(1));
        const auto running = emulated(3, 100, 40, 2);
        REQUIRE(engine.submit(running, after(0)));
        engine.advance(after(20));
        const auto urgent = emulated(4, 100, 10, 0);
        REQUIRE(engine.submit(urgent, after(20)));
        THEN("the least urgent request is preempted and continues later")
        {
            engine.advance(after(1000));
            REQUIRE(engine.preemptions() == 1);
            REQUIRE(*urgent->lastEvent < *running->lastEvent);
            REQUIRE(running->isDone);
        }
        THEN("a request that does not fit into the queue is rejected")
        {
            REQUIRE_FALSE(engine.submit(emulated(5, 100, 10, 0), after(20)));
        }
    }
    WHEN("it crashes")
    {
        engine.advance(after(20));
        engine.crash();
        REQUIRE(chat->isCut);
        REQUIRE_FALSE(engine.submit(chat, after(30)));
    }
}

// Compares the gateway's placement, in each load pattern for which it is designed, with round robin
// and first-in-first-out queues, and with the least outstanding requests per router.
SCENARIO("Load patterns replayed with the gateways' placement and with two simple ones")
{
    const auto seed = GENERATE(as<std::uint64_t>(), 1, 2, 3);
    const auto compare = [&](const LoadPattern &pattern) {
        auto selector = play(pattern, Placement::Selector, seed);
        requireBetter(selector, play(pattern, Placement::RoundRobin, seed));
        requireBetter(selector, play(pattern, Placement::LeastOutstanding, seed));
        return selector;
    };

    // Guards against chats that are delayed by the prefill of long prompts on the same engine.
    WHEN("chats, tags and reports arrive at their usual rates")
    {
        const auto outcome = compare(usualLoad());
        THEN("nearly all chats meet their target")
        {
            REQUIRE(outcome.kinds[kChat].targetShare() > 0.9);
        }
    }
    WHEN("the rates are a third or more above the usual ones")
    {
        LoadPattern pattern;
        pattern.kinds = { chats(20), reports(20), tags(40) };
        compare(pattern);
    }
    // Guards against a burst of long prompts that occupies all engines, so that chats are late.
    WHEN("reports come three times as often for some seconds")
    {
        auto pattern = usualLoad();
        pattern.kinds[1] = reports(15, 3);
        pattern.burstFrom = Milliseconds(3000);
        pattern.burstUntil = Milliseconds(7000);
        compare(pattern);
    }
    // Guards against requests sent to dead engines, which look idle while the others are busy.
    WHEN("a quarter of the engines crashes and restarts under other names")
    {
        LoadPattern pattern;
        pattern.kinds = { chats(16), reports(20), tags(36) };
        pattern.crashingEngines = 3;
        pattern.crashAt = Milliseconds(4000);
        pattern.crashFor = Milliseconds(2000);
        pattern.lapseAfter = Milliseconds(4200);
        const auto outcome = compare(pattern);
        THEN("each router sends each crashed engine a few requests at most")
        {
            constexpr std::size_t kMaxRequestsOfOneRouter = 4;
            REQUIRE(outcome.rejectedArrivals
                    <= kMaxRequestsOfOneRouter * pattern.routers * pattern.crashingEngines);
        }
    }
    // Guards against decisions that are only good if routers know each other's requests at once.
    WHEN("thirty routers report to each other twice a second during a burst")
    {
        LoadPattern pattern;
        pattern.routers = 30;
        pattern.engines = 40;
        pattern.reportInterval = Milliseconds(500);
        pattern.kinds = { chats(40), reports(50, 2.5), tags(100) };
        pattern.length = Milliseconds(8000);
        pattern.burstFrom = Milliseconds(2000);
        pattern.burstUntil = Milliseconds(6000);
        compare(pattern);
    }
}
