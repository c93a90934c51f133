#include "storemirror.h"

#include "cborstructure.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocusport {

namespace {

using Json = nlohmann::json;

// Limits of the change log for other routers; a router that is further behind receives all items.
constexpr std::size_t kMaxLogChanges = 1000;
constexpr std::size_t kMaxLogBytes = 2UL * 1024 * 1024;

constexpr std::size_t kChangesFields = 5;
constexpr std::size_t kChangeFields = 3;
constexpr unsigned kSnapshotFlag = 1;

} // namespace

std::string encodeStoreChanges(const StoreChanges &changes)
{
    auto rows = Json::array();
    for (const auto &change : changes.changes)
        rows.push_back(
            { change.key, change.value ? Json(*change.value) : Json(), change.revision });
    const auto flags = changes.isSnapshot ? kSnapshotFlag : 0U;
    const Json message = Json::array(
        { changes.relevant, changes.revision, changes.age.count(), flags, std::move(rows) });
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
    if (!json.is_array() || json.size() != kChangesFields || !json[4].is_array()
        || !std::all_of(json.begin(), json.begin() + 4,
                        [](const Json &field) { return field.is_number_unsigned(); }))
        return makeMalformed();
    StoreChanges changes;
    changes.relevant = json[0].get<StoreRevision>();
    changes.revision = json[1].get<StoreRevision>();
    changes.age = Milliseconds(json[2].get<std::int64_t>());
    const auto flags = json[3].get<std::uint64_t>();
    changes.isSnapshot = (flags & kSnapshotFlag) != 0;
    if (changes.relevant < 0 || changes.revision < changes.relevant || changes.age.count() < 0)
        return makeMalformed();
    for (const auto &row : json[4]) {
        if (!row.is_array() || row.size() != kChangeFields || !row[0].is_string()
            || !(row[1].is_string() || row[1].is_null()) || !row[2].is_number_unsigned())
            return makeMalformed();
        StoreChange change { row[0].get<std::string>(), std::nullopt, row[2].get<StoreRevision>() };
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

// What other copies need is decided from the items alone. A listing reads items that were written
// after its revision, so this copy may be ahead of a change that copies behind it still need.
bool StoreMirror::apply(const StoreChange &change, Duration at)
{
    const auto known = items_.find(change.key);
    if (!change.value) {
        if (known == items_.end() || change.revision < known->second.revision)
            return true;
        items_.erase(known);
        onChange_(change);
        return true;
    }
    if (known != items_.end() && change.revision <= known->second.revision)
        return true;
    if (const auto write = rules_.numberOf(change.key, *change.value)) {
        if (newest_.isOutdated(change.key, *write, at)) {
            if (known != items_.end())
                known->second.revision = change.revision;
            onOutdated_(change);
            return false;
        }
        newest_.note(change.key, *write, at);
    }
    const bool isHeartbeat =
        known != items_.end() && rules_.hasSameUse(change.key, known->second.value, *change.value);
    items_[change.key] = { *change.value, change.revision, isHeartbeat };
    if (isHeartbeat)
        return false;
    onChange_(change);
    return true;
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
        note({ change.key, last, change.revision });
    note(change);
}

void StoreMirror::note(const StoreChange &change)
{
    relevant_ = std::max(relevant_, change.revision);
    log_.push_back(change);
    logBytes_ += change.value ? change.value->size() : 0;
    while (log_.size() > kMaxLogChanges || (logBytes_ > kMaxLogBytes && log_.size() > 1)) {
        const auto &oldest = log_.front();
        logStart_ = std::max(logStart_, oldest.revision);
        logBytes_ -= oldest.value ? oldest.value->size() : 0;
        log_.pop_front();
    }
}

void StoreMirror::restartLog(StoreRevision revision)
{
    log_.clear();
    logBytes_ = 0;
    logStart_ = revision;
}

void StoreMirror::removeMissing(const std::unordered_set<std::string> &present,
                                StoreRevision revision, Duration at)
{
    std::vector<std::string> missing;
    for (const auto &[key, item] : items_) {
        if (!present.contains(key) && item.revision <= revision)
            missing.push_back(key);
    }
    for (const auto &key : missing)
        apply({ key, std::nullopt, revision }, at);
}

void StoreMirror::beginListing()
{
    listed_.clear();
    listRevision_.reset();
}

void StoreMirror::addListed(const StorePage &page, Duration askedAt)
{
    if (!listRevision_)
        listRevision_ = page.revision;
    for (const auto &change : page.changes) {
        apply(change, askedAt);
        listed_.insert(change.key);
    }
}

// A listing contains no history, so the change log must start again at its revision.
void StoreMirror::finishListing(Duration askedAt)
{
    noteConfirmation(askedAt, false);
    removeMissing(listed_, *listRevision_, askedAt);
    revision_ = std::max(revision_, *listRevision_);
    relevant_ = std::max(relevant_, *listRevision_);
    restartLog(revision_);
    isComplete_ = true;
    beginListing();
}

void StoreMirror::addWatched(const StorePage &page, Duration askedAt)
{
    noteConfirmation(askedAt, false);
    for (const auto &change : page.changes)
        applyWatched(change, askedAt);
    newest_.expire(askedAt);
    revision_ = std::max(revision_, page.revision);
    freshAt_ = std::max(freshAt_.value_or(askedAt), askedAt);
}

void StoreMirror::addFromRouter(const StoreChanges &heard, Duration askedAt)
{
    const auto at = askedAt - heard.age;
    noteConfirmation(at, true);
    if (heard.isSnapshot) {
        if (isComplete_ && heard.revision < revision_)
            return;
        std::unordered_set<std::string> present;
        for (const auto &change : heard.changes) {
            apply(change, at);
            present.insert(change.key);
        }
        removeMissing(present, heard.revision, at);
        restartLog(heard.revision);
        isComplete_ = true;
    } else if (!isComplete_) {
        return;
    } else {
        // What the sender found relevant is logged for other routers, even if this copy has it.
        for (const auto &change : heard.changes) {
            if (change.revision <= revision_)
                continue;
            apply(change, at);
            note(change);
        }
    }
    newest_.expire(at);
    revision_ = std::max(revision_, heard.revision);
    relevant_ = std::max(relevant_, heard.relevant);
    freshAt_ = std::max(freshAt_.value_or(at), at);
}

StoreChanges StoreMirror::changesAfter(StoreRevision after, Duration now) const
{
    StoreChanges changes;
    changes.relevant = relevant_;
    changes.revision = revision_;
    changes.age = std::chrono::ceil<Milliseconds>(now - freshAt_.value_or(Duration::zero()));
    if (after >= relevant_)
        return changes;
    if (after >= logStart_) {
        std::copy_if(log_.begin(), log_.end(), std::back_inserter(changes.changes),
                     [&](const StoreChange &change) { return change.revision > after; });
        return changes;
    }
    changes.isSnapshot = true;
    for (const auto &[key, item] : items_)
        changes.changes.push_back({ key, item.value, item.revision });
    return changes;
}

} // namespace crocusport
