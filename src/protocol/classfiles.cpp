#include "crocusport/protocol/classfiles.h"

#include "configurationcheck.h"
#include "enumnames.h"
#include "keytable.h"

#include <algorithm>
#include <filesystem>
#include <map>
#include <utility>

namespace crocusport {

namespace {

constexpr std::string_view kPoolFileName = "pool.toml";
constexpr std::size_t kMaxFiles = 20'000;
constexpr double kMaxTimeMs = 12.0 * 3600 * 1000;
constexpr double kMaxTeams = 1000;
constexpr double kMaxPathBytes = 256;
constexpr double kMaxDigestBytes = 64;
constexpr double kMaxRequestsPerSecond = 1'000'000;

constexpr auto &kPoolKinds = EnumNames<PoolKind>::kNames;
constexpr auto &kRepeatRules = EnumNames<RepeatRule>::kNames;

const std::vector<KeyEntry<RequestClass>> &classEntries()
{
    using C = RequestClass;
    static const std::vector<KeyEntry<C>> kEntries = {
        nameEntry<C>("name", "Name of the class, unique.", storeTo<C, &C::name>),
        nameEntry<C>("pool", "Pool that runs the requests.", storeTo<C, &C::pool>),
        { { "tier",
            KeyType::Integer,
            KeyNeed::Required,
            {},
            {},
            kUrgentTier,
            kLowestTier,
            {},
            "Priority; 1 is the most urgent." },
          storeTo<C, &C::tier> },
        choiceEntry<C>("repeat", KeyNeed::Required, {}, kRepeatRules,
                       "Whether a request may be sent to a backend server more than once.",
                       [](C &requestClass, const KeyValue &value) {
                           requestClass.repeat = choiceOf<RepeatRule>(kRepeatRules, value);
                       }),
        integerEntry<C>("first_token_ms", "ms", {}, 1, kMaxTimeMs,
                        "Target for the time to the first token.",
                        storeTo<C, &C::firstTokenTarget>),
        integerEntry<C>("answer_ms", "ms", {}, 1, kMaxTimeMs,
                        "Target for the time to the complete response.",
                        storeTo<C, &C::answerTarget>),
        integerEntry<C>("deadline_ms", "ms", "60000", 1, kMaxTimeMs,
                        "Time after which the response is of no use.", storeTo<C, &C::deadline>),
        { { "teams",
            KeyType::TextList,
            KeyNeed::Optional,
            {},
            {},
            1,
            kMaxTeams,
            {},
            "Teams that may use the class; without the key, every team." },
          storeTo<C, &C::teams> },
        { { "path",
            KeyType::Text,
            KeyNeed::Optional,
            {},
            "/v1/chat/completions",
            1,
            kMaxPathBytes,
            {},
            "Path prefix of the requests; the longest that matches decides." },
          storeTo<C, &C::path> },
    };
    return kEntries;
}

KeyEntry<PoolPolicy> shareEntry(std::string_view name, std::string_view defaultText,
                                std::string_view description,
                                void (*store)(PoolPolicy &, const KeyValue &))
{
    return { { name, KeyType::Number, KeyNeed::Optional, {}, defaultText, 0, 1, {}, description },
             store };
}

const std::vector<KeyEntry<PoolPolicy>> &poolEntries()
{
    using P = PoolPolicy;
    static const std::vector<KeyEntry<P>> kEntries = {
        nameEntry<P>("name", "Name of the pool, unique.", storeTo<P, &P::name>),
        choiceEntry<P>("kind", KeyNeed::Required, {}, kPoolKinds, "What its backend servers are.",
                       [](P &pool, const KeyValue &value) {
                           pool.kind = choiceOf<PoolKind>(kPoolKinds, value);
                       }),
        nameEntry<P>("region", "Region of its backend servers.", storeTo<P, &P::region>),
        shareEntry("background_share", "0.125",
                   "Share of the slots kept for due requests of tiers 2 to 4.",
                   storeTo<P, &P::backgroundShare>),
        shareEntry("urgent_reserve", "0.2", "Share of the slots that tiers 2 to 4 leave free.",
                   storeTo<P, &P::urgentReserve>),
        shareEntry("long_share", "0.5",
                   "Share of a backend server's slots that long requests may use.",
                   storeTo<P, &P::longShare>),
        integerEntry<P>("long_threshold_ms", "ms", "10000", 1, kMaxTimeMs,
                        "Expected service time from which a request is long.",
                        storeTo<P, &P::longThreshold>),
        integerEntry<P>("floor_after_ms", "ms", "60000", 0, kMaxTimeMs,
                        "Wait after which a request of tiers 2 to 4 is due.",
                        storeTo<P, &P::floorAfter>),
        integerEntry<P>("max_queued_per_tier", {}, "10000", 1, 1'000'000,
                        "Most waiting requests of one tier.", storeTo<P, &P::maxQueuedPerTier>),
    };
    return kEntries;
}

const std::vector<KeyEntry<Team>> &teamEntries()
{
    static const std::vector<KeyEntry<Team>> kEntries = {
        nameEntry<Team>("name", "Name of the team, unique.", storeTo<Team, &Team::name>),
        { { "credential_sha256",
            KeyType::Secret,
            KeyNeed::Optional,
            {},
            {},
            0,
            kMaxDigestBytes,
            {},
            "SHA-256 of the team's credential in lower-case hex; empty: none is asked for." },
          storeTo<Team, &Team::credentialSha256> },
        { { "requests_per_second",
            KeyType::Number,
            KeyNeed::Optional,
            "requests/s",
            {},
            0,
            kMaxRequestsPerSecond,
            {},
            "Limit at each router; 0: none." },
          storeTo<Team, &Team::requestsPerSecond> },
    };
    return kEntries;
}

//! Collects the parts of a configuration from files.
class ClassFileReader
{
public:
    void add(const ClassFile &file)
    {
        handleErrors(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(table, parseToml(file.text, file.path, ResultCode::BadClassFile));
                if (std::filesystem::path(file.path).filename() == kPoolFileName)
                    addPoolFile(table);
                else
                    addClassFile(table);
                return {};
            },
            [&](const Error &error) { faults_.push_back(error.message); });
    }

    Result<Configuration> finish()
    {
        // Parts that could not be read would only cause further faults that mislead.
        if (faults_.empty() && conflicts_.empty()) {
            for (const auto &fault : findConfigurationFaults(configuration_)) {
                const auto &position = positions_[{ fault.part, fault.name }];
                (fault.isConflict ? conflicts_ : faults_)
                    .push_back(position + ": " + fault.message);
            }
        }
        const auto code =
            faults_.empty() ? ResultCode::ConflictingClassFiles : ResultCode::BadClassFile;
        faults_.insert(faults_.end(), conflicts_.begin(), conflicts_.end());
        if (!faults_.empty())
            return makeError(code, joinFaults(faults_));
        return std::move(configuration_);
    }

private:
    void addClassFile(const TomlTable &table)
    {
        rejectArrays(table, {});
        addPart(table, classEntries(), ConfigurationPart::Class, "class", configuration_.classes);
    }

    void addPoolFile(const TomlTable &table)
    {
        for (const auto &[key, value] : table.values)
            faults_.push_back(table.position(value.line) + ": unknown key " + key);
        rejectArrays(table, { "pool", "team" });
        for (const auto &[key, tables] : table.arrays) {
            for (const auto &element : tables) {
                if (key == "pool")
                    addPart(element, poolEntries(), ConfigurationPart::Pool, "pool",
                            configuration_.pools);
                else if (key == "team")
                    addPart(element, teamEntries(), ConfigurationPart::Team, "team",
                            configuration_.teams);
            }
        }
    }

    void rejectArrays(const TomlTable &table, const std::vector<std::string_view> &allowed)
    {
        for (const auto &[key, tables] : table.arrays) {
            if (std::find(allowed.begin(), allowed.end(), key) == allowed.end())
                faults_.push_back(table.position(tables.front().line) + ": unknown key " + key);
        }
    }

    template<typename Part, typename Map>
    void addPart(const TomlTable &table, const std::vector<KeyEntry<Part>> &entries,
                 ConfigurationPart kind, const std::string &kindName, Map &parts)
    {
        Part part;
        const auto faultCount = faults_.size();
        readKeys<Part>(table, entries, part, faults_);
        if (faults_.size() != faultCount)
            return;
        const std::string name = part.name.value();
        const auto nameLine = table.values.at("name").line;
        const auto [first, isNew] =
            positions_.emplace(std::pair { kind, name }, table.position(nameLine));
        if (!isNew) {
            conflicts_.push_back(table.position(nameLine) + ": " + kindName + ' ' + name
                                 + " is defined in " + first->second + " too");
            return;
        }
        auto key = part.name;
        parts.emplace(std::move(key), std::move(part));
    }

    Configuration configuration_;
    std::map<std::pair<ConfigurationPart, std::string>, std::string> positions_;
    Faults faults_;
    Faults conflicts_;
};

Result<std::vector<std::string>> findTomlFiles(const std::string &directory)
{
    std::vector<std::string> paths;
    std::error_code fault;
    std::filesystem::recursive_directory_iterator entry(directory, fault);
    for (; !fault && entry != std::filesystem::recursive_directory_iterator {};
         entry.increment(fault)) {
        if (entry->path().extension() == ".toml" && entry->is_regular_file(fault))
            paths.push_back(entry->path().string());
        if (paths.size() > kMaxFiles)
            return makeError(ResultCode::BadClassFile,
                             directory + ": has more than " + std::to_string(kMaxFiles)
                                 + " class files");
    }
    if (fault)
        return makeError(ResultCode::FileUnreadable, directory + ": " + fault.message());
    if (paths.empty())
        return makeError(ResultCode::FileUnreadable, directory + ": has no class files (*.toml)");
    std::sort(paths.begin(), paths.end());
    return paths;
}

} // namespace

Result<Configuration> loadClassFiles(const std::string &directory)
{
    BOOST_LEAF_AUTO(paths, findTomlFiles(directory));
    std::vector<ClassFile> files;
    for (auto &path : paths) {
        BOOST_LEAF_AUTO(text, readTextFile(path));
        files.push_back({ std::move(path), std::move(text) });
    }
    return parseClassFiles(files);
}

Result<Configuration> parseClassFiles(const std::vector<ClassFile> &files)
{
    ClassFileReader reader;
    for (const auto &file : files)
        reader.add(file);
    return reader.finish();
}

std::string classFileReference()
{
    return "Class file:\n\n" + keyReference<RequestClass>(classEntries())
        + "\nEach `[[pool]]` of a pool file:\n\n" + keyReference<PoolPolicy>(poolEntries())
        + "\nEach `[[team]]` of a pool file:\n\n" + keyReference<Team>(teamEntries());
}

} // namespace crocusport
