#ifndef CROCUSPORT_ENGINEEMULATOR_H
#define CROCUSPORT_ENGINEEMULATOR_H

#include "serverselector.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace crocusport::replay {

//! A request of a load pattern, and its result.
struct ReplayedRequest
{
    std::size_t kind = 0; //!< Index of its kind in LoadPattern::kinds.
    Instant arrival {};
    WorkProfile work;
    int urgency = 0; //!< 0 is admitted first.
    Duration target {};
    Duration maxPause {}; //!< Longest pause between events within the objective; 0: no limit.

    std::optional<Instant> firstEvent;
    std::optional<Instant> lastEvent;
    Duration longestPause {};
    std::uint32_t generated = 0; //!< Output tokens so far.
    bool isDone = false;
    bool isCut = false; //!< Its engine crashed.

    bool isInTarget() const;
};

/*!
    Emulates a model engine as its operators describe it. Each step generates one token for each
    running request and prefills prompts in chunks. Requests are admitted by urgency, with
    preemption. Prompts and outputs share the memory. The prefix cache has no size limit, since it
    does not overflow in the replayed patterns.

    Thread safety: none.
*/
class EngineEmulator
{
public:
    struct Limits
    {
        std::size_t slots = 12;
        std::size_t queue = 25;
        std::uint32_t chunkTokens = 2048;
        std::uint32_t tokensPerEvent = 10;
        double stepMs = 3.3;
        double stepMsPerRequest = 0.08;
        double prefillTokensPerMs = 125;
        std::uint64_t memoryTokens = 477'000;
        //! At random, a share of the intervals of noiseLength is slower by a factor.
        double noiseShare = 0.15;
        double noiseFactor = 2.5;
        Milliseconds noiseLength { 600 };
    };
    using RequestPointer = std::shared_ptr<ReplayedRequest>;

    EngineEmulator(const Limits &limits, std::uint64_t seed) : limits_(limits), random_(seed) { }

    //! Queues a request. Returns false if the queue is full or the engine is down.
    bool submit(const RequestPointer &request, Instant now);
    //! Runs all steps that begin before \a until.
    void advance(Instant until);
    //! Loses all requests and the cache, and rejects requests until restart().
    void crash();
    void restart(Instant now);
    bool isUp() const { return isUp_; }
    //! Returns the requests that have ended since the last call.
    std::vector<RequestPointer> takeEnded();

    std::uint64_t preemptions() const { return preemptions_; }

private:
    struct Job
    {
        RequestPointer request;
        std::uint64_t order = 0;  //!< Order of submission.
        std::uint32_t unread = 0; //!< Tokens that are not prefilled yet.
    };

    static bool isBefore(const Job &left, const Job &right);
    void admit();
    void makeRoom();
    void preempt(std::size_t index);
    std::size_t leastUrgent() const;
    std::uint64_t usedTokens() const;
    std::uint32_t cachedTokens(const WorkProfile &work) const;
    double noise();
    void step();

    Limits limits_;
    std::mt19937_64 random_;
    Instant noiseUntil_ {};
    double noise_ = 1;
    std::vector<Job> waiting_; //!< In the order of admission.
    std::vector<Job> running_;
    std::vector<RequestPointer> ended_;
    std::set<PromptPrefixHash> cache_;
    Instant now_ {};
    std::uint64_t submitted_ = 0;
    std::uint64_t preemptions_ = 0;
    bool isUp_ = true;
};

} // namespace crocusport::replay

#endif // CROCUSPORT_ENGINEEMULATOR_H
