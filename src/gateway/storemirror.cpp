#include "storemirror.h"

#include "cborstructure.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace crocusport {

namespace {

using Json = nlohmann::json;

// Limits of the change log for other routers; a router that is further behind receives all items.
constexpr std::size_t kMaxLogChanges = 1000;
constexpr std::size_t kMaxLogBytes = 2UL * 1024 * 1024;

// Without and with the era.
constexpr std::size_t kChangesFields = 5;
constexpr std::size_t kChangesFieldsWithEra = 6;
constexpr std::size_t kChangeFields = 3;
constexpr unsigned kSnapshotFlag = 1;

} // namespace

std::string encodeStoreChanges(const StoreChanges &changes)
{
    auto rows = Json::array();
    for (const auto &change : changes.changes)
        rows.push_back(
            { change.key, change.value ? Json(*change.value) : Json(), change.position.revision });
    const auto flags = changes.isSnapshot ? kSnapshotFlag : 0U;
    auto message = Json::array({ changes.relevant.revision, changes.position.revision,
                                 changes.age.count(), flags, std::move(rows) });
    if (changes.position.era != StoreEra())
        message.push_back(changes.position.era.value());
    const auto bytes = Json::to_cbor(message);
    return { bytes.begin(), bytes.end() };
}

Result<StoreChanges> decodeStoreChanges(std::string_view bytes)
{
    const auto makeMalformed = [] {
        return makeError(ResultCode::MalformedMessage, "store changes: unexpected structure");
    };
    if (!findCborFault(bytes, {}).empty())
        return makeMalformed();
    const auto json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    const bool hasEra = json.is_array() && json.size() == kChangesFieldsWithEra;
    if (!json.is_array() || (json.size() != kChangesFields && !hasEra) || !json[4].is_array()
        || (hasEra && (!json[5].is_number_unsigned() || json[5].get<std::uint64_t>() > kMaxEra))
        || !std::all_of(json.begin(), json.begin() + 4,
                        [](const Json &field) { return field.is_number_unsigned(); }))
        return makeMalformed();
    const StoreEra era(hasEra ? json[5].get<std::uint64_t>() : 0);
    StoreChanges changes;
    changes.relevant = { era, json[0].get<StoreRevision>() };
    changes.position = { era, json[1].get<StoreRevision>() };
    changes.age = Milliseconds(json[2].get<std::int64_t>());
    const auto flags = json[3].get<std::uint64_t>();
    changes.isSnapshot = (flags & kSnapshotFlag) != 0;
    if (changes.relevant.revision < 0 || changes.position < changes.relevant
        || changes.age.count() < 0)
        return makeMalformed();
    for (const auto &row : json[4]) {
        if (!row.is_array() || row.size() != kChangeFields || !row[0].is_string()
            || !(row[1].is_string() || row[1].is_null()) || !row[2].is_number_unsigned())
            return makeMalformed();
        StoreChange change { row[0].get<std::string>(),
                             std::nullopt,
                             { era, row[2].get<StoreRevision>() } };
        if (row[1].is_string())
            change.value = row[1].get<std::string>();
        changes.changes.push_back(std::move(change));
    }
    return changes;
}

std::optional<std::string> StoreMirror::value(const std::string &key) const
{
    const auto found = items_.find(key);
    return found == items_.end() ? std::nullopt : std::optional(found->second.value);
}

void StoreMirror::noteConfirmation(Duration at, bool isFromRouter)
{
    const auto gap = freshAt_ ? at - *freshAt_ : Duration::zero();
    if (gap > Duration::zero())
        lastConfirmation_ = { isFromRouter, gap };
    outages_.noteAnswered(at);
}

bool StoreMirror::noteEra(StoreEra era, Duration at)
{
    if (era <= era_)
        return era == era_;
    era_ = era;
    eraKnownSince_ = at;
    beginListing();
    if (isComplete_)
        outages_.noteRestored(at);
    return true;
}

// What other copies need is decided from the items alone. A listing reads items that were written
// after its position, so this copy may be ahead of a change that copies behind it still need.
bool StoreMirror::apply(const StoreChange &change, Duration at)
{
    const auto known = items_.find(change.key);
    if (!change.value) {
        if (known == items_.end() || change.position < known->second.position)
            return true;
        newest_.noteRemoved(change.key, change.position.era);
        items_.erase(known);
        onChange_(change);
        return true;
    }
    if (known != items_.end() && change.position <= known->second.position)
        return true;
    const auto write = rules_.numberOf(change.key, *change.value);
    const bool isOutdated = write ? newest_.isOutdated(change.key, *write, change.position.era, at)
                                  : known != items_.end() && isEarlier(known->second, change);
    if (isOutdated) {
        if (known != items_.end()) {
            known->second.position = change.position;
            known->second.isAhead = true;
        }
        onOutdated_(change);
        return false;
    }
    if (write)
        newest_.note(change.key, *write, at);
    const bool isHeartbeat =
        known != items_.end() && rules_.hasSameUse(change.key, known->second.value, *change.value);
    items_[change.key] = { *change.value, change.position, isHeartbeat, false };
    if (isHeartbeat)
        return false;
    onChange_(change);
    return true;
}

bool StoreMirror::isEarlier(const Item &item, const StoreChange &change) const
{
    const bool hasCrossedEras = item.isAhead || item.position.era < change.position.era;
    return rules_.isEarlier && hasCrossedEras
        && rules_.isEarlier(change.key, item.value, *change.value);
}

// Copies that are not told of heartbeats need the last one when the item is removed, so that they
// recognise the writes before it, too.
void StoreMirror::applyWatched(const StoreChange &change, Duration at)
{
    const auto known = items_.find(change.key);
    const auto last = !change.value && known != items_.end() && known->second.isHeartbeat
        ? std::optional(known->second.value)
        : std::nullopt;
    if (!apply(change, at))
        return;
    if (last && !items_.contains(change.key))
        note({ change.key, last, change.position });
    note(change);
}

void StoreMirror::note(const StoreChange &change)
{
    relevant_ = std::max(relevant_, change.position);
    log_.push_back(change);
    logBytes_ += change.value ? change.value->size() : 0;
    while (log_.size() > kMaxLogChanges || (logBytes_ > kMaxLogBytes && log_.size() > 1)) {
        const auto &oldest = log_.front();
        logStart_ = std::max(logStart_, oldest.position);
        logBytes_ -= oldest.value ? oldest.value->size() : 0;
        log_.pop_front();
    }
}

void StoreMirror::restartLog(const StorePosition &position)
{
    log_.clear();
    logBytes_ = 0;
    logStart_ = position;
}

// An item that a later era lacks was not removed by its writer, so its last value stays known.
void StoreMirror::removeMissing(const std::unordered_set<std::string> &present,
                                const StorePosition &position, Duration at)
{
    std::vector<std::string> missing;
    for (const auto &[key, item] : items_) {
        if (!present.contains(key) && item.position <= position)
            missing.push_back(key);
    }
    for (const auto &key : missing) {
        const auto found = items_.find(key);
        if (found->second.position.era == position.era || !onLost_) {
            apply({ key, std::nullopt, position }, at);
            continue;
        }
        const auto value = std::move(found->second.value);
        items_.erase(found);
        onLost_(key, value);
    }
}

// Items of an earlier era are missing in the new copy, or are replaced, since positions are ordered
// by the era first. All items at a position contain no history, so the change log starts anew.
void StoreMirror::replaceBy(const std::vector<StoreChange> &items, const StorePosition &position,
                            Duration at)
{
    const bool isRestored = isComplete_ && position_.era < position.era;
    CopyReplacement replacement { position_, position, 0, 0, 0, at - eraKnownSince_ };
    std::unordered_set<std::string> present;
    for (const auto &item : items) {
        present.insert(item.key);
        const auto before = isRestored ? value(item.key) : std::nullopt;
        apply(item, at);
        if (isRestored && before != item.value)
            ++(value(item.key) == item.value ? replacement.changed : replacement.kept);
    }
    const auto sizeWithMissing = items_.size();
    removeMissing(present, position, at);
    replacement.lost = sizeWithMissing - items_.size();
    position_ = std::max(position_, position);
    restartLog(position_);
    isComplete_ = true;
    if (isRestored)
        replacement_ = replacement;
}

void StoreMirror::beginListing()
{
    listed_.clear();
    listStart_.reset();
}

bool StoreMirror::addListed(const StorePage &page, Duration askedAt)
{
    if (!noteEra(page.position.era, askedAt))
        return false;
    if (listStart_ && listStart_->era != page.position.era)
        return false;
    if (!listStart_)
        listStart_ = page.position;
    listed_.insert(listed_.end(), page.changes.begin(), page.changes.end());
    return true;
}

void StoreMirror::finishListing(Duration askedAt)
{
    noteConfirmation(askedAt, false);
    assert(listStart_);
    const auto start = *std::exchange(listStart_, std::nullopt);
    replaceBy(std::exchange(listed_, {}), start, askedAt);
    relevant_ = std::max(relevant_, start);
}

bool StoreMirror::addWatched(const StorePage &page, Duration askedAt)
{
    if (!noteEra(page.position.era, askedAt) || page.position.era != position_.era)
        return false;
    noteConfirmation(askedAt, false);
    for (const auto &change : page.changes)
        applyWatched(change, askedAt);
    newest_.expire(askedAt);
    position_ = std::max(position_, page.position);
    freshAt_ = std::max(freshAt_.value_or(askedAt), askedAt);
    return true;
}

void StoreMirror::addFromRouter(const StoreChanges &heard, Duration askedAt)
{
    const auto at = askedAt - heard.age;
    if (!noteEra(heard.position.era, askedAt))
        return;
    noteConfirmation(at, true);
    if (heard.isSnapshot) {
        if (isComplete_ && heard.position < position_)
            return;
        replaceBy(heard.changes, heard.position, at);
    } else if (!isCurrent()) {
        return;
    } else {
        // What the sender found relevant is logged for other routers, even if this copy has it.
        for (const auto &change : heard.changes) {
            if (change.position <= position_)
                continue;
            apply(change, at);
            note(change);
        }
    }
    newest_.expire(at);
    position_ = std::max(position_, heard.position);
    relevant_ = std::max(relevant_, heard.relevant);
    freshAt_ = std::max(freshAt_.value_or(at), at);
}

StoreChanges StoreMirror::changesAfter(const StorePosition &after, Duration now) const
{
    StoreChanges changes;
    changes.relevant = relevant_;
    changes.position = position_;
    changes.age = std::chrono::ceil<Milliseconds>(now - freshAt_.value_or(Duration::zero()));
    if (after >= relevant_)
        return changes;
    if (after >= logStart_) {
        std::copy_if(log_.begin(), log_.end(), std::back_inserter(changes.changes),
                     [&](const StoreChange &change) { return change.position > after; });
        return changes;
    }
    changes.isSnapshot = true;
    for (const auto &[key, item] : items_)
        changes.changes.push_back({ key, item.value, item.position });
    return changes;
}

} // namespace crocusport
