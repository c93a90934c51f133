#include "storeplan.h"

#include <algorithm>

namespace crocusport {

namespace {

// Interval between queries as a share of the maximum copy age: if one query fails, there is time
// for another one before the copy is too old.
constexpr double kIntervalShare = 0.2;
// A source counts as fresh for this many intervals: it polls once per interval, and one of its
// datagrams may be lost.
constexpr double kSourceIntervals = 2.5;
// Routers fall back to the store one after the other, by rank; ranks above this are treated alike.
constexpr double kRankSteps = 16;
// Back-off after failed calls. It doubles up to a maximum that grows with the rank, since calls
// are charged and one router that reaches the store again informs the others.
constexpr Duration kMinFailurePause = std::chrono::milliseconds(200);
constexpr Duration kMaxFailurePauseOfFirst = std::chrono::milliseconds(1000);
constexpr Duration kFailurePausePerRank = std::chrono::milliseconds(100);
constexpr Duration kFailurePauseLimit = std::chrono::milliseconds(4000);
// When the back-off has been over for this long, a response of another router clears the failure
// state.
constexpr Duration kFailureRetentionTime = std::chrono::seconds(3);
// Time allowed until a call that is due has been sent.
constexpr Duration kRetryMargin = std::chrono::milliseconds(200);
// Minimum time between two calls to the store, and between two queries to routers.
constexpr Duration kMinStorePause = std::chrono::milliseconds(150);
constexpr Duration kMinRouterPause = std::chrono::milliseconds(30);
// A router that has just started discovers its neighbours first, then waits by rank.
constexpr Duration kDiscoveryTime = std::chrono::milliseconds(150);
constexpr Duration kStartPausePerRank = std::chrono::milliseconds(60);
constexpr Duration kMaxStartPause = std::chrono::milliseconds(1500);

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

void StorePlan::noteQuery(bool isStore, Duration now)
{
    queriedAt_ = now;
    if (!isStore)
        return;
    storeQueriedAt_ = now;
    isRefreshRequested_ = false;
}

void StorePlan::noteStoreAnswered()
{
    isStoreFailing_ = false;
    storeNotBefore_ = Duration::zero();
}

void StorePlan::noteStoreFailed(std::size_t rank, Duration now)
{
    failurePause_ = isStoreFailing_ ? failurePause_ * 2 : kMinFailurePause;
    const Duration usual = kMaxFailurePauseOfFirst + kFailurePausePerRank * static_cast<int>(rank);
    failurePause_ = std::min({ failurePause_, usual, kFailurePauseLimit });
    isStoreFailing_ = true;
    storeNotBefore_ = now + failurePause_;
}

// A router that queries other routers does not call the store, so its last failure may be outdated.
void StorePlan::noteRouterAnswered(Duration now)
{
    isRefreshRequested_ = isRefreshRequested_ && !isStoreFailing_;
    if (isStoreFailing_ && now >= storeNotBefore_ + kFailureRetentionTime)
        noteStoreAnswered();
}

void StorePlan::noteEra(StoreEra era, Duration now)
{
    era_ = era;
    startedAt_ = now;
    queriedAt_.reset();
}

bool StorePlan::isCutOff(const RouterDirectory &routers, Duration now) const
{
    return isStoreFailing_ && now <= storeNotBefore_ + limits_.callTimeout + kRetryMargin
        && !routers.source(era_, true, maxSourceAge(routers.rank(now)), now);
}

Duration StorePlan::interval() const
{
    return std::min(limits_.pollInterval, scaled(limits_.maxCopyAge, kIntervalShare));
}

Duration StorePlan::maxSourceAge(std::size_t rank) const
{
    const auto least = scaled(interval(), kSourceIntervals);
    const auto most = std::max(limits_.maxCopyAge - limits_.callTimeout, least);
    const double share = std::min(1.0, static_cast<double>(rank) / kRankSteps);
    return least + scaled(most - least, share);
}

StorePlan::Step StorePlan::next(const RouterDirectory &routers, const StorePosition &position,
                                Duration now) const
{
    const auto rank = routers.rank(now);
    const bool hasRead = position.revision != 0;
    const bool hasCopy = hasRead && position.era >= era_;
    const bool hasEarlierCopy = hasRead && position.era < era_;
    // After requestRefresh(), the store is called directly unless the last call failed, or any copy
    // of the latest era is newer than this router's. A router that has no copy of the era, or whose
    // calls to the store fail, accepts a source of any rank.
    const bool mustQueryStore = isRefreshRequested_ && !isStoreFailing_ && !hasEarlierCopy;
    const auto source = mustQueryStore
        ? std::nullopt
        : routers.source(era_, isStoreFailing_ || !hasCopy, maxSourceAge(rank), now);
    auto due = queriedAt_ ? *queriedAt_ + interval() : now;
    if (source) {
        if (!hasCopy || isRefreshRequested_ || routers.latestHint(now) > position)
            due = queriedAt_ ? *queriedAt_ + kMinRouterPause : now;
        return { source, due };
    }
    if (isRefreshRequested_)
        due = now;
    // Other routers may read the new content first, unless requests already wait for it.
    if (!hasCopy && !(hasEarlierCopy && isRefreshRequested_)) {
        const auto pause =
            std::min<Duration>(kStartPausePerRank * static_cast<int>(rank), kMaxStartPause);
        due = std::max(due, startedAt_ + kDiscoveryTime + pause);
    }
    if (storeQueriedAt_)
        due = std::max(due, *storeQueriedAt_ + std::min(kMinStorePause, interval()));
    return { std::nullopt, std::max(due, storeNotBefore_) };
}

} // namespace crocusport
