#include "backendservertable.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace crocusport {

namespace {

//! A slow server gets at most one probe request per interval (docs/design.md section 4.6).
constexpr Duration kProbeInterval = std::chrono::seconds(1);
//! A server with a slow factor above this is slow and gets only probe requests.
constexpr double kExclusionFactor = 4;
//! A slow server gets only probe requests until its slow factor is at most this. It is lower than
//! kExclusionFactor because a server just below that limit is not probed, and while the load is low
//! its cost is too high for it to be chosen. Without new values its slow factor would never fall.
constexpr double kReadmissionFactor = 2;
//! What is known about a server is kept for this time after the server is last listed, because the
//! host list can be older than reports about the server.
constexpr Duration kUnlistedEntryLifetime = std::chrono::minutes(10);

} // namespace

BackendServerTable::Contribution &
BackendServerTable::Contribution::operator+=(const Contribution &other)
{
    slots += other.slots;
    longSlots += other.longSlots;
    freeSlots += other.freeSlots;
    slotsNotUsedByUrgent += other.slotsNotUsedByUrgent;
    longSlotsNotUsedByUrgent += other.longSlotsNotUsedByUrgent;
    present += other.present;
    return *this;
}

BackendServerTable::Contribution &
BackendServerTable::Contribution::operator-=(const Contribution &other)
{
    slots -= other.slots;
    longSlots -= other.longSlots;
    freeSlots -= other.freeSlots;
    slotsNotUsedByUrgent -= other.slotsNotUsedByUrgent;
    longSlotsNotUsedByUrgent -= other.longSlotsNotUsedByUrgent;
    present -= other.present;
    return *this;
}

void BackendServerTable::setLongShare(double longShare)
{
    longShare_ = longShare;
    for (std::uint32_t i = 0; i < entries_.size(); ++i)
        refresh(ServerIndex(i));
}

std::uint32_t BackendServerTable::longCapacity(const BackendServerEntry &entry) const
{
    const auto share = std::floor(longShare_ * entry.server.slots + 1e-9);
    return std::max(1U, static_cast<std::uint32_t>(share));
}

ServerIndex BackendServerTable::indexOf(const BackendServerName &name)
{
    if (const auto found = indexes_.find(name); found != indexes_.end())
        return found->second;
    if (unusedIndexes_.empty()) {
        unusedIndexes_.emplace_back(static_cast<std::uint32_t>(entries_.size()));
        entries_.emplace_back();
        contributions_.emplace_back();
    }
    const auto index = unusedIndexes_.back();
    unusedIndexes_.pop_back();
    indexes_.emplace(name, index);
    auto &entry = entries_[index.value()];
    entry = {};
    entry.server.name = name;
    entry.delistedAt = now_;
    return index;
}

std::optional<ServerIndex> BackendServerTable::find(const BackendServerName &name) const
{
    const auto found = indexes_.find(name);
    return found == indexes_.end() ? std::nullopt : std::optional(found->second);
}

bool BackendServerTable::isPresent(const BackendServerName &name) const
{
    const auto index = find(name);
    return index && at(*index).listed && !at(*index).leaving;
}

void BackendServerTable::resetOnNewStart(BackendServerEntry &entry, StartNumber start)
{
    if (start <= entry.newestStart)
        return;
    entry.newestStart = start;
    entry.leaving = false;
    entry.unavailableUntil = {};
    entry.slow = false;
    entry.slowFactor = 1;
}

void BackendServerTable::update(BackendServerEntry &entry, const BackendServer &listed)
{
    resetOnNewStart(entry, listed.start);
    entry.server = listed;
    entry.zone = zones_.indexOf(listed.zone);
    entry.listed = true;
    // A server that is known to be leaving stays so, even if an old host list still shows it as
    // live.
    if (listed.state == BackendServerState::Leaving && listed.start >= entry.newestStart)
        entry.leaving = true;
}

bool BackendServerTable::setBackendServers(const std::vector<BackendServer> &servers, Instant now)
{
    now_ = std::max(now_, now);
    const auto presentBefore = sums_.present;
    const auto slotsBefore = sums_.slots;
    for (auto &entry : entries_) {
        if (entry.listed)
            entry.delistedAt = now_;
        entry.listed = false;
    }
    for (const auto &listed : servers)
        update(entries_[indexOf(listed.name).value()], listed);
    for (std::uint32_t i = 0; i < entries_.size(); ++i)
        refresh(ServerIndex(i));
    removeExpiredEntries(now_);
    return sums_.present < presentBefore || sums_.slots < slotsBefore;
}

void BackendServerTable::removeExpiredEntries(Instant now)
{
    std::erase_if(indexes_, [&](const auto &item) {
        const auto &entry = at(item.second);
        const bool expired =
            !entry.listed && entry.running == 0 && entry.delistedAt + kUnlistedEntryLifetime <= now;
        if (expired)
            unusedIndexes_.push_back(item.second);
        return expired;
    });
}

void BackendServerTable::markLeaving(const BackendServerName &name, StartNumber start)
{
    const auto index = indexOf(name);
    auto &entry = entries_[index.value()];
    if (start < entry.newestStart)
        return;
    resetOnNewStart(entry, start);
    entry.leaving = true;
    refresh(index);
}

void BackendServerTable::markUnavailable(const BackendServerName &name, StartNumber start,
                                         Instant until)
{
    const auto index = indexOf(name);
    auto &entry = entries_[index.value()];
    if (start < entry.newestStart)
        return;
    resetOnNewStart(entry, start);
    entry.unavailableUntil = std::max(entry.unavailableUntil, until);
    if (until > now_)
        wakeups_.emplace(until, index.value());
    refresh(index);
}

void BackendServerTable::occupy(const RequestRecord &record)
{
    auto &entry = entries_[record.server.value()];
    ++entry.running;
    entry.longRunning += record.isLong() ? 1 : 0;
    entry.suspectsRunning += record.crashSuspect ? 1 : 0;
    entry.urgentRunning += record.isUrgent() ? 1 : 0;
    entry.urgentLongRunning += record.isUrgent() && record.isLong() ? 1 : 0;
    refresh(record.server);
}

void BackendServerTable::vacate(const RequestRecord &record)
{
    auto &entry = entries_[record.server.value()];
    assert(entry.running > 0);
    --entry.running;
    entry.longRunning -= record.isLong() ? 1 : 0;
    entry.suspectsRunning -= record.crashSuspect ? 1 : 0;
    entry.urgentRunning -= record.isUrgent() ? 1 : 0;
    entry.urgentLongRunning -= record.isUrgent() && record.isLong() ? 1 : 0;
    refresh(record.server);
}

void BackendServerTable::setCrashSuspect(RequestRecord &record, bool crashSuspect)
{
    if (record.crashSuspect == crashSuspect)
        return;
    record.crashSuspect = crashSuspect;
    auto &count = entries_[record.server.value()].suspectsRunning;
    count = crashSuspect ? count + 1 : count - 1;
}

void BackendServerTable::setSlowFactor(ServerIndex index, double factor)
{
    auto &entry = entries_[index.value()];
    entry.slowFactor = factor;
    const bool slow = factor > (entry.slow ? kReadmissionFactor : kExclusionFactor);
    if (slow == entry.slow)
        return;
    entry.slow = slow;
    if (slow)
        noteProbe(index);
    refresh(index);
}

void BackendServerTable::noteProbe(ServerIndex index)
{
    auto &entry = entries_[index.value()];
    entry.nextProbe = now_ + kProbeInterval;
    wakeups_.emplace(entry.nextProbe, index.value());
    refresh(index);
}

void BackendServerTable::advance(Instant now)
{
    now_ = std::max(now_, now);
    while (!wakeups_.empty() && wakeups_.top().first <= now_) {
        const auto index = wakeups_.top().second;
        wakeups_.pop();
        refresh(ServerIndex(index));
    }
}

std::optional<Instant> BackendServerTable::nextEventTime() const
{
    return wakeups_.empty() ? std::nullopt : std::optional(wakeups_.top().first);
}

std::optional<Instant> BackendServerTable::nextAvailableTime() const
{
    std::optional<Instant> next;
    for (const auto &entry : entries_) {
        if (entry.listed && !entry.leaving && entry.unavailableUntil > now_
            && (!next || entry.unavailableUntil < *next))
            next = entry.unavailableUntil;
    }
    return next;
}

BackendServerTable::Contribution BackendServerTable::contributionOf(const BackendServerEntry &entry,
                                                                    bool usable) const
{
    Contribution current;
    current.present = entry.listed && !entry.leaving ? 1 : 0;
    if (!usable)
        return current;
    const auto slots = entry.server.slots;
    const auto remaining = [](std::uint32_t all, std::uint32_t used) {
        return all > used ? all - used : 0;
    };
    current.slots = slots;
    current.longSlots = std::min(slots, longCapacity(entry));
    current.freeSlots = entry.slow ? 0 : remaining(slots, entry.running);
    current.slotsNotUsedByUrgent = remaining(slots, entry.urgentRunning);
    current.longSlotsNotUsedByUrgent = std::min(
        current.slotsNotUsedByUrgent, remaining(current.longSlots, entry.urgentLongRunning));
    return current;
}

void BackendServerTable::refresh(ServerIndex index)
{
    const auto &entry = at(index);
    const bool usable = entry.usable(now_);
    const bool hasSlot = usable && entry.running < entry.server.slots;
    const bool hasLongSlot = hasSlot && entry.longRunning < longCapacity(entry);
    const bool probe = entry.slow && entry.nextProbe <= now_;
    freeForShort_.set(index, hasSlot && !entry.slow);
    freeForLong_.set(index, hasLongSlot && !entry.slow);
    probeForShort_.set(index, hasSlot && probe);
    probeForLong_.set(index, hasLongSlot && probe);
    auto &contribution = contributions_[index.value()];
    sums_ -= contribution;
    contribution = contributionOf(entry, usable);
    sums_ += contribution;
}

const IndexSet &BackendServerTable::serversWithFreeSlot(RequestLength length) const
{
    return length == RequestLength::Long ? freeForLong_ : freeForShort_;
}

const IndexSet &BackendServerTable::serversToProbe(RequestLength length) const
{
    return length == RequestLength::Long ? probeForLong_ : probeForShort_;
}

} // namespace crocusport
