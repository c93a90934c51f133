#include "crocusport/state/crashledger.h"

#include <algorithm>
#include <cstddef>

namespace crocusport {

namespace {

constexpr std::size_t kCrashesToRefuse = 2;
constexpr Duration kRefusalTime = std::chrono::minutes(10);
//! After the refusal, a fingerprint stays marked for this time after its last crash.
constexpr Duration kMemory = std::chrono::hours(1);
//! A request that has completed is not suspected for this time.
constexpr Duration kInnocence = std::chrono::seconds(30);
//! Of completed requests; about 1 MB.
constexpr std::size_t kMaxCompleted = 16'384;

} // namespace

std::string crashId(const BackendServerName &server, StartNumber start, int number)
{
    const auto id = server.value() + "#" + std::to_string(start.value());
    return number > 1 ? id + "." + std::to_string(number) : id;
}

bool CrashLedger::add(Fingerprint fingerprint, const std::string &crash, Instant now)
{
    if (fingerprint.value() == 0)
        return false;
    const auto attribution = attributions_.find(crash);
    if (attribution != attributions_.end() && attribution->second.fingerprint != fingerprint)
        return false;
    const auto completed = completed_.find(fingerprint);
    if (completed != completed_.end() && now < completed->second + kInnocence)
        return false;
    auto &entry = entries_[fingerprint];
    if (entry.cleared.contains(crash) || !entry.crashes.insert(crash).second)
        return false;
    entry.lastCrash = now;
    if (entry.crashes.size() >= kCrashesToRefuse)
        entry.refusedUntil = now + kRefusalTime;
    return true;
}

void CrashLedger::attribute(Fingerprint fingerprint, const std::string &crash, Instant now)
{
    attributions_[crash] = { .fingerprint = fingerprint, .at = now };
    add(fingerprint, crash, now);
}

void CrashLedger::clear(Fingerprint fingerprint)
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end())
        return;
    auto &entry = found->second;
    entry.cleared.merge(entry.crashes);
    entry.crashes.clear();
    entry.refusedUntil.reset();
}

void CrashLedger::noteCompleted(Fingerprint fingerprint, Instant now)
{
    clear(fingerprint);
    if (completed_.size() < kMaxCompleted || completed_.contains(fingerprint))
        completed_[fingerprint] = now;
}

void CrashLedger::expire(Instant now)
{
    std::erase_if(completed_, [&](const auto &item) { return item.second + kInnocence <= now; });
    std::erase_if(entries_,
                  [&](const auto &item) { return item.second.lastCrash + kMemory <= now; });
    std::erase_if(attributions_, [&](const auto &item) { return item.second.at + kMemory <= now; });
}

std::size_t CrashLedger::crashCount(Fingerprint fingerprint) const
{
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? 0 : found->second.crashes.size();
}

std::size_t CrashLedger::refusedCount(Instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [&](const auto &item) {
            return item.second.refusedUntil && *item.second.refusedUntil > now;
        }));
}

bool CrashLedger::isMarked(Fingerprint fingerprint) const
{
    if (entries_.empty())
        return false;
    const auto found = entries_.find(fingerprint);
    return found != entries_.end() && found->second.marked();
}

std::optional<Instant> CrashLedger::refusedUntil(Fingerprint fingerprint, Instant now) const
{
    if (entries_.empty())
        return std::nullopt;
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || !found->second.refusedUntil
        || *found->second.refusedUntil <= now)
        return std::nullopt;
    return found->second.refusedUntil;
}

} // namespace crocusport
