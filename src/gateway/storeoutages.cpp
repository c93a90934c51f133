#include "storeoutages.h"

#include <algorithm>

namespace crocusport {

namespace {

// After failed calls, the store counts as out if it has answered nobody for this long.
constexpr Duration kOutAgainTime = std::chrono::milliseconds(1000);

} // namespace

void StoreOutages::noteAnswered(Duration at)
{
    if (answeredAt_ && at <= *answeredAt_)
        return;
    if (answeredAt_ && hasFailedSinceAnswer() && at - *answeredAt_ >= limits_.minLength)
        recoversUntil_ = endOfOutage(at) + kRecoveryTime;
    answeredAt_ = at;
}

Duration StoreOutages::endOfOutage(Duration at) const
{
    return std::min(at, *failedAt_ + limits_.maxUnnoticed);
}

void StoreOutages::noteRestored(Duration at)
{
    const auto end = hasFailedSinceAnswer() ? endOfOutage(at) : at;
    recoversUntil_ = std::max(recoversUntil_.value_or(end), end + kRecoveryTime);
    answeredAt_ = std::max(answeredAt_.value_or(at), at);
}

void StoreOutages::noteFailed(Duration at)
{
    failedAt_ = std::max(failedAt_.value_or(at), at);
}

bool StoreOutages::mayEntriesReturn(Duration now) const
{
    if (!recoversUntil_)
        return false;
    return now < *recoversUntil_ || (hasFailedSinceAnswer() && now - *answeredAt_ > kOutAgainTime);
}

} // namespace crocusport
