#include "crocusport/protocol/settings.h"

#include "keytable.h"

#include <algorithm>
#include <array>

namespace crocusport {

namespace {

//! Settings, and what is only needed while they are read.
struct SettingsDraft
{
    Settings settings;
    std::string peerKeyFile;
};

constexpr double kMaxAddresses = 64;
constexpr double kMinKeyBytes = 16;
constexpr double kMaxKeyBytes = 1024;
constexpr double kMaxPathBytes = 4096;
constexpr double kGibibyte = 1'073'741'824;
constexpr double kMinuteMs = 60'000;
constexpr double kHourMs = 60 * kMinuteMs;

constexpr std::array<std::string_view, 4> kQueuePolicies = { "holder", "local", "least_outstanding",
                                                             "fifo_round_robin" };
constexpr std::array<std::string_view, 4> kLogLevels = { "debug", "info", "warning", "error" };

using Draft = SettingsDraft;
using Entry = KeyEntry<Draft>;
using Store = void (*)(Draft &, const KeyValue &);

template<auto... path>
constexpr Store kStore = storeTo<Draft, &Draft::settings, path...>;

Entry addressEntry(std::string_view name, std::string_view description, Store store)
{
    return { { name, KeyType::Address, KeyNeed::Required, {}, {}, 0, 0, {}, description }, store };
}

std::vector<Entry> identityEntries()
{
    return {
        nameEntry<Draft>("router", "Name of this router, unique in the fleet.",
                         kStore<&Settings::router>),
        nameEntry<Draft>("region", "Region of this router.", kStore<&Settings::region>),
        nameEntry<Draft>("availability_zone", "Availability zone of this router.",
                         kStore<&Settings::zone>),
    };
}

std::vector<Entry> addressEntries()
{
    return {
        addressEntry("listen.callers", "Where callers connect. Port 0 takes a free one.",
                     kStore<&Settings::listen, &ListenSettings::callers>),
        addressEntry("listen.peers", "Where other routers connect; they must be able to reach it.",
                     kStore<&Settings::listen, &ListenSettings::peers>),
        addressEntry("listen.operators", "Where operators and the load balancer's check connect.",
                     kStore<&Settings::listen, &ListenSettings::operators>),
        { { "peer_seeds",
            KeyType::AddressList,
            KeyNeed::Optional,
            {},
            {},
            0,
            kMaxAddresses,
            {},
            "Addresses for peers of some routers, tried at the start. Empty for the first one." },
          kStore<&Settings::peerSeeds> },
        { { "store_addresses",
            KeyType::AddressList,
            KeyNeed::Required,
            {},
            {},
            1,
            kMaxAddresses,
            {},
            "Addresses of the key-value service, tried in this order." },
          kStore<&Settings::storeAddresses> },
        addressEntry("hostlist_address", "Address of the host list.",
                     kStore<&Settings::hostListAddress>),
    };
}

std::vector<Entry> keyEntries()
{
    return {
        { { "peer_key",
            KeyType::Secret,
            KeyNeed::Optional,
            {},
            {},
            kMinKeyBytes,
            kMaxKeyBytes,
            {},
            "Secret by which routers recognise each other. Give this or peer_key_file." },
          kStore<&Settings::peerKey> },
        { { "peer_key_file",
            KeyType::Text,
            KeyNeed::Optional,
            {},
            {},
            1,
            kMaxPathBytes,
            {},
            "File that holds peer_key; a line break at its end is dropped." },
          storeTo<Draft, &Draft::peerKeyFile> },
    };
}

std::vector<Entry> policyEntries()
{
    return {
        choiceEntry<Draft>("policy.queue", KeyNeed::Optional, "holder", kQueuePolicies,
                           "Where requests queue; the last two are baselines for measurements.",
                           [](Draft &draft, const KeyValue &value) {
                               draft.settings.queuePolicy =
                                   choiceOf<QueuePolicy>(kQueuePolicies, value);
                           }),
        choiceEntry<Draft>("log_level", KeyNeed::Optional, "info", kLogLevels,
                           "Least severity of the events that are logged.",
                           [](Draft &draft, const KeyValue &value) {
                               draft.settings.logLevel = choiceOf<LogLevel>(kLogLevels, value);
                           }),
        integerEntry<Draft>("shutdown.delay_ms", "ms", "3000", 0, 10 * kMinuteMs,
                            "Time from the failing readiness check to the last accepted request.",
                            kStore<&Settings::shutdownDelay>),
    };
}

std::vector<Entry> limitEntries()
{
    return {
        integerEntry<Draft>("limits.max_head_bytes", "bytes", "16384", 1024, 1'048'576,
                            "Largest head of a caller's request.",
                            kStore<&Settings::limits, &LimitSettings::maxHeadBytes>),
        integerEntry<Draft>("limits.max_body_bytes", "bytes", "4194304", 1024, kGibibyte,
                            "Largest body of a caller's request.",
                            kStore<&Settings::limits, &LimitSettings::maxBodyBytes>),
        integerEntry<Draft>("limits.max_connections", "", "10000", 1, 1'000'000,
                            "Most open connections of callers.",
                            kStore<&Settings::limits, &LimitSettings::maxConnections>),
        integerEntry<Draft>("limits.max_response_bytes", "bytes", "67108864", 1024, kGibibyte,
                            "Largest response of a backend server.",
                            kStore<&Settings::limits, &LimitSettings::maxResponseBytes>),
        integerEntry<Draft>("limits.answer_memory_bytes", "bytes", "25165824", 1024, kGibibyte,
                            "Memory for responses of backend servers that are not complete, beyond "
                            "16 kB for each. One response gets at most a third of it.",
                            kStore<&Settings::limits, &LimitSettings::answerMemoryBytes>),
        integerEntry<Draft>("limits.client_memory_bytes", "bytes", "0", 0, kGibibyte,
                            "Memory for the requests of callers and responses that they have not "
                            "read; 0: not limited, else at least 10000000.",
                            kStore<&Settings::limits, &LimitSettings::clientMemoryBytes>),
        integerEntry<Draft>("limits.max_streams", "", "5000", 1, 1'000'000,
                            "Most requests in progress at the same time.",
                            kStore<&Settings::limits, &LimitSettings::maxStreams>),
        integerEntry<Draft>("limits.idle_timeout_ms", "ms", "60000", 100, kHourMs,
                            "Time after which a caller's idle connection is closed.",
                            kStore<&Settings::limits, &LimitSettings::idleTimeout>),
    };
}

std::vector<Entry> timeoutEntries()
{
    return {
        integerEntry<Draft>("timeouts.connect_ms", "ms", "1000", 1, kMinuteMs,
                            "Longest time to open a connection to a backend server.",
                            kStore<&Settings::timeouts, &TimeoutSettings::connect>),
        integerEntry<Draft>("timeouts.store_ms", "ms", "500", 1, kMinuteMs,
                            "Longest time for an answer of the key-value service.",
                            kStore<&Settings::timeouts, &TimeoutSettings::store>),
        integerEntry<Draft>(
            "timeouts.progress_ms", "ms", "5000", 1, kHourMs,
            "Least time without a byte after which a stream's backend server is probed.",
            kStore<&Settings::timeouts, &TimeoutSettings::progress>),
        integerEntry<Draft>("timeouts.holder_ack_ms", "ms", "20", 1, kMinuteMs,
                            "Time after which a router decides without the pool's holder.",
                            kStore<&Settings::timeouts, &TimeoutSettings::holderAck>),
    };
}

const std::vector<Entry> &entries()
{
    static const std::vector<Entry> kEntries = [] {
        std::vector<Entry> all;
        for (auto *const group : { identityEntries, addressEntries, keyEntries, policyEntries,
                                   limitEntries, timeoutEntries }) {
            const auto part = group();
            all.insert(all.end(), part.begin(), part.end());
        }
        return all;
    }();
    return kEntries;
}

const KeyDescription *findKey(std::string_view name)
{
    const auto found = std::find_if(entries().begin(), entries().end(), [&](const Entry &entry) {
        return entry.description.name == name;
    });
    return found == entries().end() ? nullptr : &found->description;
}

void applyOverrides(const std::vector<Settings::Override> &overrides, TomlTable &table,
                    Faults &faults)
{
    for (const auto &[name, text] : overrides) {
        const auto *key = findKey(name);
        if (!key) {
            faults.push_back("command line: unknown key " + name);
            continue;
        }
        auto value = tomlValueFromText(*key, text);
        if (checkKeyValue(*key, value, "command line", faults))
            table.values.insert_or_assign(name, std::move(value));
    }
}

void readPeerKey(Draft &draft, const std::string &file, Faults &faults)
{
    auto &key = draft.settings.peerKey;
    if (key.empty() == draft.peerKeyFile.empty()) {
        faults.push_back(file + ": exactly one of peer_key and peer_key_file must be given");
        return;
    }
    if (draft.peerKeyFile.empty())
        return;
    key = handleErrors([&] { return readTextFile(draft.peerKeyFile); },
                       [&](const Error &error) {
                           faults.push_back(file + ": peer_key_file: " + error.message);
                           return std::string();
                       });
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
        key.pop_back();
    const std::string position = file + ": peer_key_file " + draft.peerKeyFile;
    checkKeyValue(*findKey("peer_key"), { key, 0 }, position, faults);
}

} // namespace

Result<Settings> Settings::load(const std::string &path, const std::vector<Override> &overrides)
{
    BOOST_LEAF_AUTO(text, readTextFile(path));
    return parse(text, path, overrides);
}

Result<Settings> Settings::parse(std::string_view text, const std::string &file,
                                 const std::vector<Override> &overrides)
{
    BOOST_LEAF_AUTO(table, parseToml(text, file, ResultCode::BadSettings));
    Faults faults;
    for (const auto &[name, tables] : table.arrays)
        faults.push_back(table.position(tables.front().line) + ": unknown key " + name);
    applyOverrides(overrides, table, faults);
    Draft draft;
    readKeys<Draft>(table, entries(), draft, faults);
    if (faults.empty())
        readPeerKey(draft, file, faults);
    if (!faults.empty())
        return makeError(ResultCode::BadSettings, joinFaults(faults));
    return std::move(draft.settings);
}

std::string Settings::reference()
{
    return keyReference<Draft>(entries());
}

} // namespace crocusport
