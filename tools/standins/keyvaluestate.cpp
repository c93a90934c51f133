#include "keyvaluestate.h"

#include <algorithm>

namespace crocusport {

namespace {

// Older changes than these can't be watched any more; etcd compacts its history likewise.
constexpr std::size_t kMaxHistory = 200'000;
// Lease ids look unlike revisions in logs.
constexpr std::int64_t kFirstLease = 7'000'000'000'000'000;

} // namespace

bool KeyValueState::isInRange(const std::string &candidate, const std::string &key,
                              const std::string &rangeEnd)
{
    if (rangeEnd.empty())
        return candidate == key;
    if (candidate < key)
        return false;
    return rangeEnd == std::string(1, '\0') || candidate < rangeEnd;
}

void KeyValueState::commit()
{
    if (isChanged_)
        ++revision_;
    isChanged_ = false;
}

std::vector<KeyValueState::Entry> KeyValueState::range(const std::string &key,
                                                       const std::string &rangeEnd) const
{
    std::vector<Entry> entries;
    for (auto at = values_.lower_bound(key);
         at != values_.end() && isInRange(at->first, key, rangeEnd); ++at)
        entries.emplace_back(*at);
    return entries;
}

std::optional<StoredValue> KeyValueState::get(const std::string &key) const
{
    const auto found = values_.find(key);
    if (found == values_.end())
        return std::nullopt;
    return found->second;
}

bool KeyValueState::put(const std::string &key, const std::string &value, std::int64_t lease)
{
    if (lease != 0 && leases_.count(lease) == 0)
        return false;
    auto &stored = values_[key];
    stored.value = value;
    stored.modRevision = revision_ + 1;
    if (stored.version == 0)
        stored.createRevision = stored.modRevision;
    ++stored.version;
    stored.lease = lease;
    record({ key, stored, false });
    return true;
}

std::size_t KeyValueState::deleteRange(const std::string &key, const std::string &rangeEnd)
{
    const auto entries = range(key, rangeEnd);
    for (const auto &[name, value] : entries) {
        values_.erase(name);
        StoredValue tombstone;
        tombstone.modRevision = revision_ + 1;
        record({ name, tombstone, true });
    }
    return entries.size();
}

std::int64_t KeyValueState::grantLease(std::int64_t id, std::chrono::seconds timeToLive,
                                       Instant now)
{
    const auto chosen = id != 0 ? id : kFirstLease + ++nextLease_;
    if (!leases_.emplace(chosen, Lease { timeToLive, now + timeToLive }).second)
        return 0;
    return chosen;
}

std::chrono::seconds KeyValueState::keepAlive(std::int64_t id, Instant now)
{
    const auto found = leases_.find(id);
    if (found == leases_.end())
        return std::chrono::seconds(0);
    found->second.end = now + found->second.timeToLive;
    return found->second.timeToLive;
}

bool KeyValueState::revokeLease(std::int64_t id)
{
    if (leases_.erase(id) == 0)
        return false;
    std::vector<std::string> keys;
    for (const auto &[key, value] : values_) {
        if (value.lease == id)
            keys.push_back(key);
    }
    for (const auto &key : keys)
        deleteRange(key, {});
    commit();
    return true;
}

void KeyValueState::expireLeases(Instant now)
{
    std::vector<std::int64_t> ended;
    for (const auto &[id, lease] : leases_) {
        if (lease.end <= now)
            ended.push_back(id);
    }
    for (const auto id : ended)
        revokeLease(id);
}

std::vector<StoreEvent> KeyValueState::eventsFrom(std::int64_t from, const std::string &key,
                                                  const std::string &rangeEnd) const
{
    const auto first = std::lower_bound(history_.begin(), history_.end(), from,
                                        [](const StoreEvent &event, std::int64_t revision) {
                                            return event.value.modRevision < revision;
                                        });
    std::vector<StoreEvent> events;
    std::copy_if(first, history_.end(), std::back_inserter(events),
                 [&](const StoreEvent &event) { return isInRange(event.key, key, rangeEnd); });
    return events;
}

void KeyValueState::record(StoreEvent event)
{
    isChanged_ = true;
    history_.push_back(std::move(event));
    if (history_.size() > kMaxHistory)
        history_.pop_front();
}

} // namespace crocusport
