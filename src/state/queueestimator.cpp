#include "queueestimator.h"

#include <algorithm>
#include <cmath>

namespace crocusport {

namespace {

//! Weights by which tiers 2 to 4 share slots; tier 1 is served before them and has no weight.
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
        entry->runningCount += record.running ? 1 : 0;
        (record.running ? entry->running : entry->waiting) += record.expected;
    }
}

void QueueEstimator::remove(const RequestRecord &record)
{
    auto &load = tiers_[record.tierIndex()][static_cast<std::size_t>(record.length)];
    auto &team = load.teams[record.team.value()];
    for (auto *entry : { &load.total, &team }) {
        --entry->count;
        entry->runningCount -= record.running ? 1 : 0;
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
    const auto taken = static_cast<double>(countOf(0)) + capacity.reservedSlots;
    return std::max<double>(capacity.slots - taken, capacity.dueSlots);
}

double QueueEstimator::slotsOfTier(const RequestRecord &record, double available) const
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

double QueueEstimator::slotsForLength(double available, double usableByLong,
                                      std::uint32_t longCount, RequestLength length)
{
    if (length == RequestLength::Long)
        return std::max(1.0, usableByLong);
    // Short requests can use the slots that the long requests of the tier do not use.
    const auto usedByLong = std::min<double>(longCount, usableByLong);
    return std::max({ 1.0, available - usedByLong, available / 2 });
}

double QueueEstimator::slotsFor(const RequestRecord &record, const PoolCapacity &capacity) const
{
    const auto &longLoad = tiers_[record.tierIndex()][1].total;
    if (record.isUrgent())
        return slotsForLength(capacity.slots, capacity.longSlots, longLoad.count, record.length);
    const auto available = slotsOfTier(record, lowerTierSlots(capacity));
    const auto longShare = std::min(1.0, capacity.longSlots / std::max(1.0, 1.0 * capacity.slots));
    return slotsForLength(available, available * longShare, longLoad.count, record.length);
}

QueueEstimator::Load QueueEstimator::Load::withRunning(double share) const
{
    const auto kept = static_cast<std::uint32_t>(std::lround(runningCount * share));
    return { .waiting = waiting,
             .running = scaled(running, share),
             .count = count - runningCount + kept,
             .runningCount = kept };
}

double QueueEstimator::shareOccupyingSlots(const RequestRecord &record,
                                           const PoolCapacity &capacity) const
{
    const auto runningCount = loadOf(record).total.runningCount;
    if (!record.isUrgent() || runningCount == 0)
        return 1;
    const auto longUsed = std::min<double>(tiers_[0][1].total.runningCount,
                                           capacity.longSlots - capacity.longSlotsNotUsedByUrgent);
    const auto used =
        record.isLong() ? longUsed : capacity.slots - capacity.slotsNotUsedByUrgent - longUsed;
    return std::clamp(used / runningCount, 0.0, 1.0);
}

Duration QueueEstimator::slotInterval(const RequestRecord &record,
                                      const PoolCapacity &capacity) const
{
    const auto &total = loadOf(record).total;
    if (total.count == 0)
        return scaled(record.expected, 1 / slotsFor(record, capacity));
    return scaled(total.work(), 1 / (slotsFor(record, capacity) * total.count));
}

Duration QueueEstimator::waitingWorkOfTeam(const RequestRecord &record) const
{
    return loadOf(record).teams[record.team.value()].waiting;
}

QueueEstimate QueueEstimator::estimate(const RequestRecord &record, Duration aheadInTeam,
                                       const PoolCapacity &capacity, Instant now) const
{
    const auto &load = loadOf(record);
    const auto slots = slotsFor(record, capacity);
    // Requests that run on a leaving or unavailable server, or in excess of a server's slots, do
    // not occupy a slot that waiting requests could get.
    const auto share = shareOccupyingSlots(record, capacity);
    const auto total = load.total.withRunning(share);
    const bool waitsUntilDue =
        !record.isUrgent() && !record.due && countOf(0) + capacity.reservedSlots >= capacity.slots;
    const auto untilDue =
        waitsUntilDue ? std::max(record.dueAt - now, Duration::zero()) : Duration {};
    if (total.count <= slots)
        return { .position = 0, .wait = untilDue };
    // Fair queueing serves every active team as much work as this team before the request starts.
    const auto team = load.teams[record.team.value()].withRunning(share);
    const auto teamWork = aheadInTeam + team.running;
    const auto workAhead = std::min(teamWork * load.activeTeams, total.work() - record.expected);
    // All slots serve requests at the same time, and the request starts when the first of them is
    // free. So it does not wait until the requests in the other
    // (slots - 1) slots end.
    const auto interval = slotInterval(record, capacity);
    const auto wait =
        std::max(scaled(workAhead, 1 / slots) - scaled(interval, slots - 1), Duration::zero());
    const auto position = interval > Duration::zero() ? wait / interval : 0;
    return { .position = static_cast<std::uint32_t>(position), .wait = std::max(wait, untilDue) };
}

} // namespace crocusport
