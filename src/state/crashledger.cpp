#include "crocusport/state/crashledger.h"

#include <algorithm>
#include <cstddef>

namespace crocusport {

namespace {

//! A fingerprint is refused after this many crashes before any part of the answer was received.
constexpr std::size_t kCrashesBeforeAnswerToRefuse = 2;
//! A fingerprint is refused after this many crashes of any kind. The limit is higher because long
//! streams often run during crashes that they did not cause.
constexpr std::size_t kCrashesOfAnyKindToRefuse = 3;
constexpr Duration kRefusalTime = std::chrono::minutes(10);
//! A fingerprint stays a crash suspect for this time after its last counted crash; it is refused
//! for a shorter time.
constexpr Duration kEntryLifetime = std::chrono::hours(1);
//! Crashes do not count for a fingerprint for this time after a request with it completed.
constexpr Duration kIgnoreCrashesAfterCompletion = std::chrono::seconds(30);
//! Maximum number of fingerprints whose completion time is stored; they take about 1 MB.
constexpr std::size_t kMaxCompleted = 16'384;

} // namespace

std::string crashId(const BackendServerName &server, StartNumber start, int number)
{
    const auto id = server.value() + "#" + std::to_string(start.value());
    return number > 1 ? id + "." + std::to_string(number) : id;
}

bool CrashLedger::Entry::reachesRefusalLimit() const
{
    const auto crashesBeforeAnswer =
        std::count_if(crashes.begin(), crashes.end(), [](const auto &crash) {
            return crash.second == CrashEvidence::BeforeAnswer;
        });
    return static_cast<std::size_t>(crashesBeforeAnswer) >= kCrashesBeforeAnswerToRefuse
        || crashes.size() >= kCrashesOfAnyKindToRefuse;
}

bool CrashLedger::add(Fingerprint fingerprint, const std::string &crash, Instant now,
                      CrashEvidence evidence)
{
    if (fingerprint.value() == 0)
        return false;
    const auto attribution = attributions_.find(crash);
    if (attribution != attributions_.end() && attribution->second.fingerprint != fingerprint)
        return false;
    const auto completed = completed_.find(fingerprint);
    if (completed != completed_.end() && now < completed->second + kIgnoreCrashesAfterCompletion)
        return false;
    auto &entry = entries_[fingerprint];
    if (entry.cleared.contains(crash))
        return false;
    const auto [known, isNew] = entry.crashes.try_emplace(crash, evidence);
    if (!isNew && known->second >= evidence)
        return false;
    known->second = evidence;
    entry.lastCrash = now;
    if (entry.reachesRefusalLimit())
        entry.refusedUntil = now + kRefusalTime;
    return true;
}

void CrashLedger::attribute(Fingerprint fingerprint, const std::string &crash, Instant now)
{
    attributions_[crash] = { .fingerprint = fingerprint, .at = now };
    add(fingerprint, crash, now);
}

void CrashLedger::dismiss(const std::string &crash, Instant now)
{
    attributions_[crash] = { .fingerprint = Fingerprint(), .at = now };
    for (auto &[fingerprint, entry] : entries_) {
        if (entry.crashes.erase(crash) > 0 && !entry.reachesRefusalLimit())
            entry.refusedUntil.reset();
    }
}

void CrashLedger::addRecord(Fingerprint fingerprint, const std::vector<std::string> &crashes,
                            Instant now)
{
    for (const auto &crash : crashes)
        add(fingerprint, crash, now);
}

void CrashLedger::clear(Fingerprint fingerprint)
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end())
        return;
    auto &entry = found->second;
    for (const auto &[crash, evidence] : entry.crashes)
        entry.cleared.insert(crash);
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
    std::erase_if(completed_, [&](const auto &item) {
        return item.second + kIgnoreCrashesAfterCompletion <= now;
    });
    std::erase_if(entries_,
                  [&](const auto &item) { return item.second.lastCrash + kEntryLifetime <= now; });
    std::erase_if(attributions_,
                  [&](const auto &item) { return item.second.at + kEntryLifetime <= now; });
}

std::size_t CrashLedger::crashCount(Fingerprint fingerprint) const
{
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? 0 : found->second.crashes.size();
}

std::string CrashLedger::crashList(Fingerprint fingerprint, char separator) const
{
    std::string list;
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end())
        return list;
    for (const auto &[crash, evidence] : found->second.crashes)
        list.append(list.empty() ? 0 : 1, separator).append(crash);
    return list;
}

std::size_t CrashLedger::refusedCount(Instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [&](const auto &item) {
            return item.second.refusedUntil && *item.second.refusedUntil > now;
        }));
}

bool CrashLedger::isCrashSuspect(Fingerprint fingerprint) const
{
    if (entries_.empty())
        return false;
    const auto found = entries_.find(fingerprint);
    return found != entries_.end() && found->second.hasCrashes();
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
