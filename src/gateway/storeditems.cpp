#include "storeditems.h"

#include "registration.h"

#include <utility>

namespace crocusport {

namespace {

//! Returns the entry, or nothing if it is unreadable and so names no server.
std::optional<ServerEntry> readableEntry(const FormatTable &formats, const BackendServerName &name,
                                         const std::string &value)
{
    return handleErrors(
        [&]() -> Result<std::optional<ServerEntry>> {
            BOOST_LEAF_AUTO(entry, formats.decodeServer(name, value));
            return std::optional(std::move(entry));
        },
        [](const Error & /*error*/) { return std::optional<ServerEntry>(); });
}

//! Returns the version of a configuration; 0 if it is unreadable.
ConfigurationVersion versionOf(const FormatTable &formats, const std::string &text)
{
    return handleErrors(
        [&]() -> Result<ConfigurationVersion> {
            BOOST_LEAF_AUTO(configuration, formats.decodeConfiguration(text));
            return configuration.version;
        },
        [](const Error & /*error*/) { return ConfigurationVersion(); });
}

} // namespace

StoreMirror::ItemRules StoredItems::rules(const FormatTable &formats)
{
    StoreMirror::ItemRules rules;
    rules.hasSameUse = [&formats](const std::string &key, const std::string &before,
                                  const std::string &after) {
        if (before == after)
            return true;
        const auto server = formats.serverNameOfKey(key);
        if (!server)
            return false;
        const auto old = readableEntry(formats, *server, before);
        const auto current = readableEntry(formats, *server, after);
        return old && current ? old->hasSameUse(*current) : old.has_value() == current.has_value();
    };
    rules.numberOf = [&formats](const std::string &key,
                                const std::string &value) -> std::optional<WriteNumber> {
        const auto server = formats.serverNameOfKey(key);
        const auto entry =
            server ? readableEntry(formats, *server, value) : std::optional<ServerEntry>();
        return entry ? std::optional(entry->writeNumber()) : std::nullopt;
    };
    rules.isEarlier = [&formats](const std::string &key, const std::string &before,
                                 const std::string &after) {
        return formats.isConfigurationKey(key)
            && versionOf(formats, after) < versionOf(formats, before);
    };
    return rules;
}

void StoredItems::noteOutdated(const StoreChange &change)
{
    if (parts_.formats.isConfigurationKey(change.key)) {
        parts_.log.write(LogLine("configuration_outdated")
                             .add("era", change.position.era.value())
                             .add("revision", change.position.revision)
                             .text());
        return;
    }
    ++outdatedWrites_;
    const auto server = parts_.formats.serverNameOfKey(change.key);
    const auto entry = server && change.value
        ? readableEntry(parts_.formats, *server, *change.value)
        : std::optional<ServerEntry>();
    if (!entry)
        return;
    parts_.log.write(LogLine("server_entry_outdated")
                         .add("server", server->value())
                         .add("revision", change.position.revision)
                         .add("start", entry->start.value())
                         .add("sequence", entry->sequence)
                         .text());
}

void StoredItems::apply(const StoreChange &change, const StoreMirror &mirror, Duration now)
{
    if (const auto server = parts_.formats.serverNameOfKey(change.key)) {
        applyServer(*server, change, mirror, now);
    } else if (parts_.formats.isConfigurationKey(change.key)) {
        if (change.value)
            parts_.adoptConfiguration(*change.value);
    } else if (parts_.crashRecords.isRecordKey(change.key)) {
        parts_.crashRecords.applyChange(change, monotonicNow());
    } else if (parts_.partRecords.isRecordKey(change.key)) {
        parts_.partRecords.applyChange(change, monotonicNow());
    } else if (Registration::isRouterKey(change.key)) {
        applyRouter(change, now);
    }
}

void StoredItems::noteLost(const std::string &key, const StoreMirror &mirror, Duration now)
{
    if (parts_.crashRecords.isRecordKey(key))
        parts_.crashRecords.noteLost(key, monotonicNow());
    else if (parts_.partRecords.isRecordKey(key))
        parts_.partRecords.noteLost(key, monotonicNow());
    else
        apply({ key, std::nullopt, mirror.position() }, mirror, now);
}

void StoredItems::logReplacement(const CopyReplacement &replacement) const
{
    parts_.log.write(
        LogLine("store_copy_replaced")
            .add("era", replacement.after.era.value())
            .add("era_before", replacement.before.era.value())
            .add("revision", replacement.after.revision)
            .add("revision_before", replacement.before.revision)
            .add("changed", replacement.changed)
            .add("lost", replacement.lost)
            .add("kept", replacement.kept)
            .add("after_ms", std::chrono::floor<Milliseconds>(replacement.time).count())
            .text());
}

void StoredItems::applyServer(const BackendServerName &name, const StoreChange &change,
                              const StoreMirror &mirror, Duration now)
{
    const auto recoversUntil = mirror.outages().recoversUntil().value_or(Duration::zero());
    if (!change.value && now < recoversUntil) {
        heldRemovals_.emplace(name, now);
        LogLine line("server_removal_held");
        line.add("server", name.value())
            .add("revision", change.position.revision)
            .add("for_ms", std::chrono::ceil<Milliseconds>(recoversUntil - now).count());
        describeConfirmation(line, mirror);
        parts_.log.write(line.text());
        return;
    }
    const bool wasHeld = heldRemovals_.erase(name) > 0;
    if (!change.value) {
        parts_.removeServer(name);
        return;
    }
    if (wasHeld)
        parts_.log.write(LogLine("server_entry_back")
                             .add("server", name.value())
                             .add("revision", change.position.revision)
                             .text());
    handleErrors(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(entry, parts_.formats.decodeServer(name, *change.value));
            parts_.updateServer(entry);
            return {};
        },
        [&](const Error &error) {
            parts_.log.write(LogLine("server_entry_rejected")
                                 .add("server", name.value())
                                 .add("error", error.message)
                                 .text());
            parts_.removeServer(name);
        });
}

void StoredItems::applyRouter(const StoreChange &change, Duration now)
{
    const auto router =
        change.value ? Registration::decode(change.key, *change.value) : std::nullopt;
    if (router)
        parts_.routers.addRegistered(*router, now);
    else
        parts_.routers.removeRegistered(Registration::routerOfKey(change.key));
}

void StoredItems::tick(const StoreMirror &mirror, Duration now)
{
    if (heldRemovals_.empty() || mirror.outages().mayEntriesReturn(now))
        return;
    // An entry that is back just in time is read with the next confirmation of the copy.
    const auto recoversUntil = mirror.outages().recoversUntil().value_or(Duration::zero());
    if (mirror.freshAt().value_or(Duration::zero()) < recoversUntil
        && now < recoversUntil + kMaxReadTime)
        return;
    for (const auto &[name, since] : std::exchange(heldRemovals_, {}))
        parts_.removeServer(name);
}

std::optional<Duration> StoredItems::removalHeldFor(const BackendServerName &name,
                                                    Duration now) const
{
    const auto found = heldRemovals_.find(name);
    return found == heldRemovals_.end() ? std::nullopt : std::optional(now - found->second);
}

void StoredItems::describeConfirmation(LogLine &line, const StoreMirror &mirror)
{
    const auto &confirmation = mirror.lastConfirmation();
    line.add("copy_source", confirmation.isFromRouter ? "router" : "store")
        .add("copy_gap_ms", std::chrono::duration_cast<Milliseconds>(confirmation.gap).count());
}

} // namespace crocusport
