#include "waitingqueue.h"

#include <algorithm>
#include <tuple>

namespace crocusport {

namespace {

//! Virtual time that one microsecond of expected service time adds to the tag of each tier. The
//! tier with the smallest tag is next, so tiers 2 to 4 get shares of 4:2:1. Tier 1 is served
//! separately, so its tag is not compared with the others.
constexpr std::array<int, kTierCount> kTierCosts = { 1, 1, 2, 4 };

} // namespace

bool WaitingQueue::EarlierDue::operator()(const RequestRecord &left,
                                          const RequestRecord &right) const
{
    return std::tie(left.dueAt, left.sequence) < std::tie(right.dueAt, right.sequence);
}

bool WaitingQueue::EarlierExpiry::operator()(const RequestRecord &left,
                                             const RequestRecord &right) const
{
    return std::tie(left.expiresAt, left.sequence) < std::tie(right.expiresAt, right.sequence);
}

WaitingQueue::~WaitingQueue() = default;

void WaitingQueue::insert(RequestRecord &record)
{
    auto &queue = tiers_[record.tierIndex()];
    if (queue.size() == 0) {
        auto &tag = tierTags_[record.tierIndex()];
        tag = std::max(tag, tierVirtualTime_);
    }
    queue.insert(record);
    expiryTimes_.insert(record);
    if (!record.isUrgent() && !record.due)
        dueTimes_.insert(record);
}

void WaitingQueue::eraseTimes(RequestRecord &record)
{
    expiryTimes_.erase(expiryTimes_.iterator_to(record));
    if (record.dueHook.is_linked())
        dueTimes_.erase(dueTimes_.iterator_to(record));
}

void WaitingQueue::erase(RequestRecord &record)
{
    eraseTimes(record);
    tiers_[record.tierIndex()].erase(record);
}

void WaitingQueue::start(RequestRecord &record)
{
    eraseTimes(record);
    const auto tier = record.tierIndex();
    tierVirtualTime_ = std::max(tierVirtualTime_, tierTags_[tier]);
    tierTags_[tier] += record.expected * kTierCosts[tier];
    tiers_[tier].start(record);
}

void WaitingQueue::setAside(RequestRecord &record)
{
    tiers_[record.tierIndex()].erase(record);
}

void WaitingQueue::restore(RequestRecord &record)
{
    tiers_[record.tierIndex()].restore(record);
}

void WaitingQueue::advance(Instant now)
{
    while (!dueTimes_.empty() && dueTimes_.begin()->dueAt <= now) {
        auto &record = *dueTimes_.begin();
        dueTimes_.erase(dueTimes_.begin());
        tiers_[record.tierIndex()].makeDue(record);
    }
}

RequestRecord *WaitingQueue::firstExpired(Instant now)
{
    if (expiryTimes_.empty() || expiryTimes_.begin()->expiresAt > now)
        return nullptr;
    return &*expiryTimes_.begin();
}

std::optional<Instant> WaitingQueue::nextEventTime() const
{
    if (expiryTimes_.empty())
        return std::nullopt;
    const auto expiry = expiryTimes_.begin()->expiresAt;
    return dueTimes_.empty() ? expiry : std::min(expiry, dueTimes_.begin()->dueAt);
}

RequestRecord *WaitingQueue::frontUrgent(LaneFilter filter)
{
    return tiers_.front().front(filter);
}

RequestRecord *WaitingQueue::frontLower(LaneFilter filter)
{
    RequestRecord *first = nullptr;
    for (std::size_t tier = 1; tier < kTierCount; ++tier) {
        auto *const candidate = tiers_[tier].front(filter);
        if (candidate == nullptr)
            continue;
        if (first == nullptr || tierTags_[tier] < tierTags_[first->tierIndex()])
            first = candidate;
    }
    return first;
}

} // namespace crocusport
