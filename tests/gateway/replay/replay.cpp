#include "replay.h"

#include "waitinglist.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <unordered_map>

namespace crocusport::replay {

namespace {

const PoolName kPool("assistant");
const AvailabilityZone kZone("zone-0");
constexpr Duration kTick = std::chrono::milliseconds(2);
// Time after the end of the pattern for running requests to end.
constexpr Duration kDrainTime = std::chrono::seconds(15);
constexpr int kMaxRejections = 3;
constexpr double kWaitShare = 0.5;
constexpr std::uint64_t kPartsPerKind = 1'000'000;

using RequestPointer = EngineEmulator::RequestPointer;

std::vector<RequestPointer> drawArrivals(const LoadPattern &pattern, bool isFirstInFirstOut,
                                         std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<RequestPointer> arrivals;
    std::uint64_t unique = 0;
    for (std::size_t kind = 0; kind < pattern.kinds.size(); ++kind) {
        const auto &load = pattern.kinds[kind];
        double seconds = 0;
        while (true) {
            const bool isBurst =
                seconds >= toSeconds(pattern.burstFrom) && seconds < toSeconds(pattern.burstUntil);
            std::exponential_distribution<double> gap(load.perSecond * (isBurst ? load.burst : 1));
            seconds += gap(random);
            if (seconds >= toSeconds(pattern.length))
                break;
            auto request = std::make_shared<ReplayedRequest>();
            request->kind = kind;
            request->arrival = Instant(
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
            request->target = load.target;
            request->maxPause = load.maxPause;
            // The mean of a lognormal distribution is its median times exp(sigma^2 / 2).
            const double median =
                load.promptTokens / std::exp(load.promptSpread * load.promptSpread / 2);
            std::lognormal_distribution<double> size(std::log(median), load.promptSpread);
            const auto prompt = std::clamp<std::uint32_t>(
                static_cast<std::uint32_t>(load.promptSpread > 0 ? size(random)
                                                                 : load.promptTokens),
                16, load.maxPromptTokens);
            auto &work = request->work;
            const auto shared = std::min(load.sharedTokens, prompt / 2);
            const auto subject =
                std::uniform_int_distribution<std::uint64_t>(1, load.subjects)(random);
            if (shared > 0)
                work.parts.push_back({ (kind + 1) * kPartsPerKind + subject, shared });
            work.parts.push_back(
                { (1 + pattern.kinds.size()) * kPartsPerKind + ++unique, prompt - shared });
            work.prefixHashes = promptPrefixHashes(work.parts);
            work.promptTokens = prompt;
            work.outputTokens = load.outputTokens;
            work.sensitivity = pauseSensitivity(load.maxPause, load.outputTokens);
            request->urgency = isFirstInFirstOut ? 0 : load.urgency;
            arrivals.push_back(std::move(request));
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const auto &left, const auto &right) {
        return left->arrival < right->arrival;
    });
    return arrivals;
}

//! One router with its view of the engines.
struct Router
{
    explicit Router(std::uint64_t seed) : selector(directory, prefixes, kZone, seed) { }

    ServerDirectory directory;
    PrefixMemory prefixes;
    ServerSelector selector;
    WaitingList waiting;
    std::vector<std::size_t> outstanding; //!< Number of running requests of this router, by engine.
    std::size_t next = 0;
};

//! A request at an engine, with the data of the router that sent it.
struct Sent
{
    std::size_t router = 0;
    std::size_t engine = 0;
    ServerDirectory::ServerPointer server; //!< Only with Placement::Selector.
    ServerLoad load;
    Instant at {};
    bool isRead = false;
};

class PatternReplay
{
public:
    PatternReplay(const LoadPattern &pattern, Placement placement, std::uint64_t seed)
        : pattern_(pattern), placement_(placement),
          arrivals_(drawArrivals(pattern, placement == Placement::RoundRobin, seed)),
          restarts_(pattern.engines, 0)
    {
        for (std::size_t engine = 0; engine < pattern.engines; ++engine)
            engines_.emplace_back(limits_, seed * pattern.engines + engine);
        for (std::size_t i = 0; i < pattern.routers; ++i) {
            routers_.push_back(std::make_unique<Router>(seed + i));
            routers_.back()->outstanding.assign(pattern.engines, 0);
            routers_.back()->next = i;
        }
        pool_.name = kPool;
        pool_.engine = EngineProfile { static_cast<std::uint32_t>(limits_.slots),
                                       limits_.memoryTokens, limits_.tokensPerEvent };
        for (std::size_t engine = 0; engine < pattern.engines; ++engine)
            registerEngine(engine);
    }

    ReplayOutcome run()
    {
        std::size_t arrived = 0;
        const Instant end(pattern_.length + kDrainTime);
        for (; now_ < end; now_ += kTick) {
            crashEngines();
            for (; arrived < arrivals_.size() && arrivals_[arrived]->arrival <= now_; ++arrived)
                arrive(arrivals_[arrived], arrived % routers_.size());
            for (auto &engine : engines_) {
                engine.advance(now_);
                for (const auto &request : engine.takeEnded())
                    finish(request);
            }
            noteFirstEvents();
            for (const auto &router : routers_)
                router->waiting.startAll();
            if (now_ >= reportAt_) {
                report();
                reportAt_ = now_ + pattern_.reportInterval;
            }
        }
        return outcome();
    }

private:
    static BackendServerName nameOf(std::size_t engine, int restarts)
    {
        return BackendServerName("engine-" + std::to_string(engine) + '-'
                                 + std::to_string(restarts));
    }

    void registerEngine(std::size_t engine)
    {
        ServerEntry entry;
        entry.name = nameOf(engine, restarts_[engine]);
        entry.pool = kPool;
        entry.address = SocketAddress("10.0.0." + std::to_string(engine + 1) + ":80");
        entry.zone = kZone;
        entry.slots = static_cast<std::uint32_t>(limits_.slots);
        entry.start = StartNumber(static_cast<std::uint64_t>(restarts_[engine]) + 1);
        entry.sequence = 1;
        for (const auto &router : routers_)
            router->directory.update(entry, now_);
        engineByName_.emplace(entry.name, engine);
    }

    void crashEngines()
    {
        if (pattern_.crashingEngines == 0)
            return;
        const Instant crash(pattern_.crashAt);
        const auto isAt = [&](Instant time) { return now_ <= time && time < now_ + kTick; };
        for (std::size_t engine = 0; engine < pattern_.crashingEngines; ++engine) {
            if (isAt(crash))
                engines_[engine].crash();
            if (isAt(crash + pattern_.crashFor)) {
                engines_[engine].restart(now_);
                ++restarts_[engine];
                registerEngine(engine);
            }
            if (isAt(crash + pattern_.lapseAfter)) {
                for (const auto &router : routers_)
                    router->directory.remove(nameOf(engine, 0), now_);
            }
        }
    }

    void arrive(const RequestPointer &request, std::size_t router)
    {
        if (place(request, router, 0))
            return;
        const auto latest =
            now_ + std::chrono::duration_cast<Duration>(request->target * kWaitShare);
        // A request that has waited too long is rejected and never runs.
        routers_[router]->waiting.add(
            kPool, request->urgency, latest,
            [this, request, router, latest] { return now_ > latest || place(request, router, 0); });
    }

    //! Sends the request to an engine or rejects it. Returns false if no engine has capacity.
    bool place(const RequestPointer &request, std::size_t router, int rejections)
    {
        if (rejections == kMaxRejections)
            return true;
        auto &own = *routers_[router];
        Sent sent;
        sent.router = router;
        sent.at = now_;
        if (placement_ == Placement::Selector) {
            const auto choice = own.selector.choose(kPool, &pool_, request->work, {}, now_);
            if (!choice.server)
                return false;
            sent.server = choice.server;
            sent.load = choice.added;
            sent.engine = engineByName_.at(choice.server->entry.name);
        } else if (placement_ == Placement::RoundRobin) {
            sent.engine = own.next++ % engines_.size();
        } else {
            sent.engine = static_cast<std::size_t>(
                std::min_element(own.outstanding.begin(), own.outstanding.end())
                - own.outstanding.begin());
        }
        const bool isMisdirected =
            sent.server && sent.server->entry.name != nameOf(sent.engine, restarts_[sent.engine]);
        if (isMisdirected || !engines_[sent.engine].submit(request, now_)) {
            ++rejected_;
            noteRejection(sent, isMisdirected);
            // A request that an engine rejected is retried at once and does not wait for capacity.
            place(request, router, rejections + 1);
            return true;
        }
        ++own.outstanding[sent.engine];
        if (sent.server) {
            sent.server->own += sent.load;
            for (const auto prefix : request->work.prefixHashes)
                own.prefixes.note(sent.server->hash, prefix, now_);
        }
        sent_[request] = sent;
        return true;
    }

    void noteRejection(const Sent &sent, bool isMisdirected)
    {
        if (!sent.server)
            return;
        if (!engines_[sent.engine].isUp())
            sent.server->health.noteUnreachable(now_);
        else if (isMisdirected)
            sent.server->health.noteMisdirected(now_);
        else
            sent.server->health.noteRefusal(now_);
    }

    void noteFirstEvents()
    {
        for (auto &[request, sent] : sent_) {
            if (sent.isRead || !sent.server || !request->firstEvent)
                continue;
            sent.isRead = true;
            ServerLoad read;
            read.prefillTokens = sent.load.prefillTokens;
            sent.server->own -= read;
            sent.load.prefillTokens = 0;
        }
    }

    void finish(const RequestPointer &request)
    {
        const auto found = sent_.find(request);
        if (found == sent_.end())
            return;
        const auto &sent = found->second;
        --routers_[sent.router]->outstanding[sent.engine];
        if (sent.server) {
            sent.server->own -= sent.load;
            if (request->isDone)
                sent.server->noteRun(now_ - sent.at);
        }
        sent_.erase(found);
    }

    //! Gives each router the current loads of the other routers.
    void report()
    {
        for (const auto &router : routers_) {
            router->directory.forEach([&](const ServerDirectory::ServerPointer &server) {
                server->others = ServerLoad();
                for (const auto &other : routers_) {
                    const auto same = other->directory.find(server->hash);
                    if (other != router && same)
                        server->others += same->own;
                }
            });
        }
    }

    ReplayOutcome outcome() const
    {
        ReplayOutcome result;
        result.kinds.resize(pattern_.kinds.size());
        for (const auto &request : arrivals_) {
            auto &kind = result.kinds[request->kind];
            ++kind.requests;
            kind.inTarget += request->isInTarget() ? 1 : 0;
            kind.served += request->isDone ? 1 : 0;
        }
        result.rejectedArrivals = rejected_;
        for (const auto &engine : engines_)
            result.preemptions += engine.preemptions();
        return result;
    }

    const LoadPattern &pattern_;
    Placement placement_;
    EngineEmulator::Limits limits_;
    std::vector<RequestPointer> arrivals_;
    std::vector<EngineEmulator> engines_;
    std::vector<int> restarts_; //!< Starts of each engine after the first.
    std::unordered_map<BackendServerName, std::size_t> engineByName_;
    std::vector<std::unique_ptr<Router>> routers_;
    PoolEntry pool_;
    std::map<RequestPointer, Sent> sent_;
    std::size_t rejected_ = 0;
    Instant now_ {};
    Instant reportAt_ {};
};

} // namespace

ReplayOutcome play(const LoadPattern &pattern, Placement placement, std::uint64_t seed)
{
    return PatternReplay(pattern, placement, seed).run();
}

} // namespace crocusport::replay
