#include "partcrashledger.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <utility>

namespace crocusport {

namespace {

//! A part is refused after this many crashes of different servers or starts.
constexpr std::size_t kCrashesToRefuse = 3;
// Crashes that become known within this time may have one external cause, such as a power failure.
constexpr Duration kMinSpread = std::chrono::milliseconds(200);
// Reports of crashes may arrive this long before the reports that clear the part of them. When many
// servers crash at once, routers detect the crashes within some seconds.
constexpr Duration kAnsweredProtection = std::chrono::seconds(4);
// Time from the refusal to the first trial; it is multiplied by kTrialFactor with each trial. A
// part that was answered before is probably not the cause of the crashes, so it is tried soon.
constexpr Duration kHoldTime = std::chrono::seconds(30);
constexpr Duration kHoldTimeAfterAnswer = std::chrono::seconds(3);
// The first hold of a router that has seen no answer to any part for kColdTime: at a cold start, a
// sound part of all prompts can be in the first crashes before its first answer.
constexpr Duration kColdHoldTime = std::chrono::seconds(2);
constexpr Duration kColdTime = std::chrono::seconds(10);
constexpr int kTrialFactor = 4;
constexpr Duration kMaxHoldTime = std::chrono::minutes(10);
constexpr Duration kSuspicionLifetime = std::chrono::minutes(1);
// Counted from the last crash, which may be that of a trial.
constexpr Duration kRefusalLifetime = std::chrono::hours(1);
constexpr std::size_t kAnsweredSlots = 4096;
constexpr std::uint64_t kPartSeed = 0x70617274; // Distinguishes parts from other fingerprints.

constexpr std::array<std::string_view, 4> kVerdictNames { "suspected", "refused", "cleared",
                                                          "tried" };

} // namespace

std::string_view partVerdictName(PartVerdict verdict)
{
    return kVerdictNames.at(static_cast<std::size_t>(verdict));
}

Fingerprint partFingerprint(std::uint64_t partId)
{
    return Fingerprint(XXH64(&partId, sizeof(partId), kPartSeed));
}

bool PartCrashLedger::Entry::isCleared(const std::string &crash) const
{
    return std::find(cleared.begin(), cleared.end(), crash) != cleared.end();
}

void PartCrashLedger::Entry::noteCleared(const std::string &crash)
{
    if (cleared.size() == kMaxCleared)
        cleared.pop_front();
    cleared.push_back(crash);
}

bool PartCrashLedger::Entry::reachesLimit() const
{
    if (crashes.size() < kCrashesToRefuse)
        return false;
    const auto [first, last] =
        std::minmax_element(crashes.begin(), crashes.end(), [](const auto &one, const auto &other) {
            return one.second < other.second;
        });
    return last->second - first->second >= kMinSpread;
}

bool PartCrashLedger::Entry::hasAllCrashesOf(const Entry &other) const
{
    return crashes.size() >= other.crashes.size()
        && std::all_of(other.crashes.begin(), other.crashes.end(),
                       [&](const auto &crash) { return crashes.contains(crash.first); });
}

PartCrashLedger::PartCrashLedger() : answered_(kAnsweredSlots) { }

PartCrashLedger::Entry *PartCrashLedger::entry(Fingerprint part)
{
    const auto found = entries_.find(part);
    if (found != entries_.end())
        return &found->second;
    return entries_.size() < kMaxParts ? &entries_[part] : nullptr;
}

const PartCrashLedger::Entry *PartCrashLedger::find(Fingerprint part) const
{
    const auto found = entries_.find(part);
    return found == entries_.end() ? nullptr : &found->second;
}

std::optional<Instant> PartCrashLedger::answeredAt(Fingerprint part) const
{
    const auto &slot = answered_[part.value() % kAnsweredSlots];
    return slot.part == part && slot.at != Instant() ? std::optional(slot.at) : std::nullopt;
}

void PartCrashLedger::rememberAnswered(Fingerprint part, Instant now)
{
    answered_[part.value() % kAnsweredSlots] = { part, now };
}

PartCrashLedger::Effect PartCrashLedger::suspect(Fingerprint part, const std::string &crash,
                                                 Instant now)
{
    Effect effect;
    auto *const suspected = entry(part);
    if (!suspected || suspected->isCleared(crash) || suspected->crashes.size() >= kMaxCrashes
        || !suspected->crashes.try_emplace(crash, now).second)
        return effect;
    effect.isNew = true;
    suspected->changedAt = now;
    if (suspected->isRefused) {
        effect.attributed.push_back(crash);
        return effect;
    }
    if (causesCrashes(part, *suspected, now))
        setRefused(part, *suspected, now, effect);
    return effect;
}

PartCrashLedger::Effect
PartCrashLedger::refuse(Fingerprint part, const std::vector<std::string> &crashes, Instant now)
{
    Effect effect;
    auto *const refused = entry(part);
    const auto answered = answeredAt(part);
    if (!refused || (answered && now < *answered + kAnsweredProtection))
        return effect;
    bool isOutdated = false; // The other router does not know of an answer that clears the part.
    for (const auto &crash : crashes) {
        const bool isCleared = refused->isCleared(crash);
        isOutdated = isOutdated || isCleared;
        if (!isCleared && refused->crashes.size() < kMaxCrashes)
            effect.isNew = refused->crashes.try_emplace(crash, now).second || effect.isNew;
    }
    if (effect.isNew || refused->changedAt == Instant())
        refused->changedAt = now;
    if (!refused->isRefused && !refused->crashes.empty()
        && (!isOutdated || causesCrashes(part, *refused, now)))
        setRefused(part, *refused, now, effect);
    effect.isNew = effect.isNew || effect.isNewlyRefused;
    return effect;
}

// Requests that run beside the cause when it crashes a server share some of its crashes. A crash
// does not count if a refused part explains it and has further crashes, and none counts if another
// suspect has all of them and more.
bool PartCrashLedger::causesCrashes(Fingerprint part, const Entry &entry, Instant now) const
{
    const auto answered = answeredAt(part);
    if (!entry.reachesLimit() || (answered && now < *answered + kAnsweredProtection))
        return false;
    std::set<std::string> explained;
    for (const auto &[other, candidate] : entries_) {
        if (other == part || entry.hasAllCrashesOf(candidate))
            continue;
        if (candidate.hasAllCrashesOf(entry))
            return false;
        if (!candidate.isRefused)
            continue;
        for (const auto &[crash, learntAt] : candidate.crashes) {
            if (entry.crashes.contains(crash))
                explained.insert(crash);
        }
    }
    return entry.crashes.size() - explained.size() >= kCrashesToRefuse;
}

void PartCrashLedger::setRefused(Fingerprint part, Entry &entry, Instant now, Effect &effect)
{
    entry.isRefused = true;
    entry.trials = 0;
    entry.nextTrialAt = now + holdTime(part, entry, now);
    effect.isNewlyRefused = true;
    for (const auto &[crash, learntAt] : entry.crashes)
        effect.attributed.push_back(crash);
}

Duration PartCrashLedger::holdTime(Fingerprint part, const Entry &entry, Instant now) const
{
    const bool isCold = !lastAnswerAt_ || now >= *lastAnswerAt_ + kColdTime;
    if (entry.trials == 0 && isCold)
        return kColdHoldTime;
    Duration hold = entry.wasAnswered || answeredAt(part) ? kHoldTimeAfterAnswer : kHoldTime;
    for (int trial = 0; trial < entry.trials && hold < kMaxHoldTime; ++trial)
        hold *= kTrialFactor;
    return std::min(hold, kMaxHoldTime);
}

std::vector<std::string> PartCrashLedger::noteAnswered(Fingerprint part, Instant now)
{
    rememberAnswered(part, now);
    lastAnswerAt_ = now;
    auto known = crashes(part);
    if (!known.empty())
        clear(part, known, now);
    return known;
}

bool PartCrashLedger::clear(Fingerprint part, const std::vector<std::string> &crashes, Instant now)
{
    auto *const cleared = entry(part);
    if (!cleared)
        return false;
    bool isNew = false;
    for (const auto &crash : crashes) {
        if (cleared->isCleared(crash))
            continue;
        cleared->crashes.erase(crash);
        cleared->noteCleared(crash);
        isNew = true;
    }
    if (!isNew)
        return false;
    cleared->wasAnswered = true;
    cleared->changedAt = now;
    rememberAnswered(part, now);
    cleared->isRefused = cleared->isRefused && cleared->crashes.size() >= kCrashesToRefuse;
    return true;
}

void PartCrashLedger::clear(Fingerprint part)
{
    const auto found = entries_.find(part);
    if (found == entries_.end())
        return;
    for (const auto &[crash, learntAt] : found->second.crashes)
        found->second.noteCleared(crash);
    found->second.crashes.clear();
    found->second.isRefused = false;
}

std::vector<std::string> PartCrashLedger::clearedOf(Fingerprint part,
                                                    const std::vector<std::string> &crashes) const
{
    std::vector<std::string> cleared;
    const auto *const known = find(part);
    std::copy_if(crashes.begin(), crashes.end(), std::back_inserter(cleared),
                 [&](const auto &crash) { return known && known->isCleared(crash); });
    return cleared;
}

std::optional<Instant> PartCrashLedger::refusedUntil(Fingerprint part, Instant /*now*/) const
{
    const auto *const known = find(part);
    return known && known->isRefused ? std::optional(known->nextTrialAt) : std::nullopt;
}

std::optional<Instant> PartCrashLedger::refusedUntil(const std::vector<Fingerprint> &parts,
                                                     Instant /*now*/) const
{
    std::optional<Instant> latest;
    if (entries_.empty())
        return latest;
    for (const auto part : parts) {
        const auto *const known = find(part);
        if (known && known->isRefused && hasCoSuspects(parts, part, *known)
            && (!latest || known->nextTrialAt > *latest))
            latest = known->nextTrialAt;
    }
    return latest;
}

// As long as parts have the same crashes, any of them may be the cause. Requests that contain only
// some of them show which one it is.
bool PartCrashLedger::hasCoSuspects(const std::vector<Fingerprint> &parts, Fingerprint part,
                                    const Entry &entry) const
{
    return std::all_of(entries_.begin(), entries_.end(), [&](const auto &item) {
        return item.first == part || !item.second.hasAllCrashesOf(entry)
            || std::find(parts.begin(), parts.end(), item.first) != parts.end();
    });
}

bool PartCrashLedger::isTrialMeaningful(const std::vector<Fingerprint> &parts) const
{
    return std::all_of(parts.begin(), parts.end(), [&](Fingerprint part) {
        const auto *const known = find(part);
        return !known || known->isRefused || known->crashes.empty();
    });
}

std::vector<PartReport> PartCrashLedger::startTrial(const std::vector<Fingerprint> &parts,
                                                    Instant now)
{
    std::vector<PartReport> reports;
    for (const auto part : parts) {
        const auto *const known = find(part);
        if (!known || !noteTrial(part, known->trials + 1, now))
            continue;
        reports.push_back({ PartVerdict::Tried, part, {}, known->trials });
    }
    return reports;
}

bool PartCrashLedger::noteTrial(Fingerprint part, int trials, Instant now)
{
    const auto found = entries_.find(part);
    if (found == entries_.end() || !found->second.isRefused || trials <= found->second.trials)
        return false;
    found->second.trials = trials;
    found->second.nextTrialAt = now + holdTime(part, found->second, now);
    return true;
}

void PartCrashLedger::expire(Instant now)
{
    std::erase_if(entries_, [&](const auto &item) {
        const auto lifetime = item.second.isRefused ? kRefusalLifetime : kSuspicionLifetime;
        return item.second.changedAt + lifetime <= now;
    });
}

std::vector<PartReport> PartCrashLedger::nextRefusals(std::size_t count)
{
    std::vector<PartReport> reports;
    const auto add = [&](auto begin, auto end) {
        for (auto item = begin; item != end && reports.size() < count; ++item) {
            if (!item->second.isRefused)
                continue;
            reports.push_back({ PartVerdict::Refused, item->first, crashes(item->first), 0 });
        }
    };
    const auto next = entries_.upper_bound(lastReported_);
    add(next, entries_.end());
    add(entries_.begin(), next);
    if (!reports.empty())
        lastReported_ = reports.back().part;
    return reports;
}

std::string PartCrashLedger::crashList(Fingerprint part, char separator) const
{
    std::string list;
    const auto *const known = find(part);
    if (!known)
        return list;
    for (const auto &[crash, learntAt] : known->crashes)
        list.append(list.empty() ? 0 : 1, separator).append(crash);
    return list;
}

std::vector<std::string> PartCrashLedger::crashes(Fingerprint part) const
{
    std::vector<std::string> ids;
    if (const auto *const known = find(part)) {
        for (const auto &[crash, learntAt] : known->crashes)
            ids.push_back(crash);
    }
    return ids;
}

std::size_t PartCrashLedger::crashCount(Fingerprint part) const
{
    const auto *const known = find(part);
    return known ? known->crashes.size() : 0;
}

std::size_t PartCrashLedger::refusedCount() const
{
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(), [](const auto &item) { return item.second.isRefused; }));
}

std::size_t PartCrashLedger::suspectCount() const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(),
                      [](const auto &item) { return !item.second.crashes.empty(); }));
}

} // namespace crocusport
