#include "queueestimator.h"

#include <algorithm>
#include <cmath>

namespace crocusport {

namespace {

//! Weights of the tiers; tier 1 does not share.
constexpr std::array<double, kTierCount> kTierWeights = { 0, 4, 2, 1 };

Duration scaled(Duration duration, double factor)
{
    return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

} // namespace

void QueueEstimator::add(const RequestRecord &record)
{
    auto &load = tiers_[record.tierIndex()][static_cast<std::size_t>(record.length)];
    if (record.team.value() >= load.teams.size())
        load.teams.resize(record.team.value() + 1);
    auto &team = load.teams[record.team.value()];
    load.activeTeams += team.count == 0 ? 1 : 0;
    for (auto *entry : { &load.total, &team }) {
        ++entry->count;
        (record.running ? entry->running : entry->waiting) += record.expected;
    }
}

void QueueEstimator::remove(const RequestRecord &record)
{
    auto &load = tiers_[record.tierIndex()][static_cast<std::size_t>(record.length)];
    auto &team = load.teams[record.team.value()];
    for (auto *entry : { &load.total, &team }) {
        --entry->count;
        (record.running ? entry->running : entry->waiting) -= record.expected;
    }
    load.activeTeams -= team.count == 0 ? 1 : 0;
}

const QueueEstimator::LengthLoad &QueueEstimator::loadOf(const RequestRecord &record) const
{
    return tiers_[record.tierIndex()][static_cast<std::size_t>(record.length)];
}

std::uint32_t QueueEstimator::countOf(std::size_t tier) const
{
    return tiers_[tier][0].total.count + tiers_[tier][1].total.count;
}

double QueueEstimator::lowerTierSlots(const PoolCapacity &capacity) const
{
    const auto taken = static_cast<double>(countOf(0)) + capacity.reserve;
    return std::max<double>(capacity.slots - taken, capacity.floor);
}

double QueueEstimator::shareOfLowerTier(const RequestRecord &record, double available) const
{
    double weights = 0;
    double others = 0;
    for (std::size_t tier = 1; tier < kTierCount; ++tier) {
        if (tier == record.tierIndex())
            continue;
        others += countOf(tier);
        weights += countOf(tier) > 0 ? kTierWeights[tier] : 0;
    }
    const auto own = kTierWeights[record.tierIndex()];
    return std::max(available * own / (own + weights), available - others);
}

double QueueEstimator::slotsFor(const RequestRecord &record, const PoolCapacity &capacity) const
{
    const auto available =
        record.isUrgent() ? capacity.slots : shareOfLowerTier(record, lowerTierSlots(capacity));
    const auto longShare = std::min(1.0, capacity.longSlots / std::max(1.0, 1.0 * capacity.slots));
    if (record.isLong())
        return std::max(1.0, available * longShare);
    // Short requests have the slots that long ones of the tier leave them.
    const auto &longLoad = tiers_[record.tierIndex()][1].total;
    const auto usedByLong = std::min<double>(longLoad.count, available * longShare);
    return std::max({ 1.0, available - usedByLong, available / 2 });
}

Duration QueueEstimator::slotInterval(const RequestRecord &record,
                                      const PoolCapacity &capacity) const
{
    const auto &total = loadOf(record).total;
    if (total.count == 0)
        return scaled(record.expected, 1 / slotsFor(record, capacity));
    return scaled(total.total(), 1 / (slotsFor(record, capacity) * total.count));
}

Duration QueueEstimator::waitingOfTeam(const RequestRecord &record) const
{
    return loadOf(record).teams[record.team.value()].waiting;
}

QueueEstimate QueueEstimator::estimate(const RequestRecord &record, Duration aheadInTeam,
                                       const PoolCapacity &capacity, Instant now) const
{
    const auto &load = loadOf(record);
    const auto slots = slotsFor(record, capacity);
    const bool needsFloor =
        !record.isUrgent() && !record.due && countOf(0) + capacity.reserve >= capacity.slots;
    const auto untilDue = needsFloor ? std::max(record.dueAt - now, Duration::zero()) : Duration {};
    if (load.total.count <= slots)
        return { .position = 0, .wait = untilDue };
    // Under fair sharing every active team is served as much as this one before it starts.
    const auto &team = load.teams[record.team.value()];
    const auto ofTeam = aheadInTeam + team.running;
    const auto ahead = std::min(ofTeam * load.activeTeams, load.total.total() - record.expected);
    // As many requests as there are slots are served at once, so their work delays nobody.
    const auto interval = slotInterval(record, capacity);
    const auto wait = std::max(scaled(ahead, 1 / slots) - scaled(interval, slots - 1), interval);
    const auto position = interval > Duration::zero() ? wait / interval : 0;
    return { .position = static_cast<std::uint32_t>(position), .wait = std::max(wait, untilDue) };
}

} // namespace crocusport
