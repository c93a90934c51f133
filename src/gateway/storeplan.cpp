#include "storeplan.h"

#include <algorithm>

namespace crocusport {

namespace {

// Part of the bound on the age of knowledge between two questions: one question may fail, and its
// successor still answers in time.
constexpr double kIntervalShare = 0.2;
// A source is believed to be fresh for this many intervals: it asks once in each, and one of its
// datagrams may be lost.
constexpr double kSourceIntervals = 2.5;
// Neighbours by rank go on to the store one after the other, over the first so many.
constexpr double kRankSteps = 16;
// Pause after a failed call of the first router. It doubles up to a maximum that grows with the
// rank: calls are priced, and one router that reaches the store again tells the others.
constexpr Duration kMinFailurePause = std::chrono::milliseconds(200);
constexpr Duration kMaxFailurePause = std::chrono::milliseconds(1000);
constexpr Duration kFailurePausePerRank = std::chrono::milliseconds(100);
constexpr Duration kMostFailurePause = std::chrono::milliseconds(4000);
// Time after which a router that others keep informed may rely on the store again.
constexpr Duration kFailureMemory = std::chrono::seconds(3);
// Time in which a call that is due has been sent.
constexpr Duration kRetryMargin = std::chrono::milliseconds(200);
// Least time between two calls to the store, and between two questions to routers.
constexpr Duration kMinStorePause = std::chrono::milliseconds(150);
constexpr Duration kMinRouterPause = std::chrono::milliseconds(30);
// A router that has just started first meets its neighbours, and lets those before it read.
constexpr Duration kMeetingTime = std::chrono::milliseconds(150);
constexpr Duration kStartPausePerRank = std::chrono::milliseconds(60);
constexpr Duration kMaxStartPause = std::chrono::milliseconds(1500);

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

void StorePlan::noteAsked(bool isStore, Duration now)
{
    askedAt_ = now;
    if (!isStore)
        return;
    storeAskedAt_ = now;
    isWanted_ = false;
}

void StorePlan::noteStoreAnswered()
{
    isStoreFailing_ = false;
    storeNotBefore_ = Duration::zero();
}

void StorePlan::noteStoreFailed(std::size_t rank, Duration now)
{
    failurePause_ = isStoreFailing_ ? failurePause_ * 2 : kMinFailurePause;
    const Duration usual = kMaxFailurePause + kFailurePausePerRank * static_cast<int>(rank);
    failurePause_ = std::min({ failurePause_, usual, kMostFailurePause });
    isStoreFailing_ = true;
    storeNotBefore_ = now + failurePause_;
}

// A router that relies on others does not call the store, so that a failure long ago says nothing.
void StorePlan::noteRouterAnswered(Duration now)
{
    if (isStoreFailing_ && now >= storeNotBefore_ + kFailureMemory)
        noteStoreAnswered();
}

bool StorePlan::isStoreOut(Duration now) const
{
    return isStoreFailing_ && now <= storeNotBefore_ + limits_.callTimeout + kRetryMargin;
}

Duration StorePlan::interval() const
{
    return std::min(limits_.pollInterval, scaled(limits_.knowledgeLimit, kIntervalShare));
}

Duration StorePlan::maxSourceAge(std::size_t rank) const
{
    const auto least = scaled(interval(), kSourceIntervals);
    const auto most = std::max(limits_.knowledgeLimit - limits_.callTimeout, least);
    const double share = std::min(1.0, static_cast<double>(rank) / kRankSteps);
    return least + scaled(most - least, share);
}

StorePlan::Step StorePlan::next(const RouterDirectory &routers, StoreRevision revision,
                                Duration now) const
{
    const auto rank = routers.rank(now);
    // The store is asked at once when no router could help; a router whose own calls fail takes
    // knowledge from any other.
    const bool mustAskStore = isWanted_ && storeNotBefore_ <= now;
    const auto source = mustAskStore
        ? std::nullopt
        : routers.source(isStoreFailing_ || revision == 0, maxSourceAge(rank), now);
    auto due = askedAt_ ? *askedAt_ + interval() : now;
    if (source) {
        if (revision == 0 || routers.latestHint(now) > revision)
            due = askedAt_ ? *askedAt_ + kMinRouterPause : now;
        return { source, due };
    }
    if (isWanted_)
        due = now;
    if (revision == 0) {
        const auto pause =
            std::min<Duration>(kStartPausePerRank * static_cast<int>(rank), kMaxStartPause);
        due = std::max(due, startedAt_ + kMeetingTime + pause);
    }
    if (storeAskedAt_)
        due = std::max(due, *storeAskedAt_ + std::min(kMinStorePause, interval()));
    return { std::nullopt, std::max(due, storeNotBefore_) };
}

} // namespace crocusport
