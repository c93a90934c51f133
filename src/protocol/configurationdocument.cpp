#include "crocusport/protocol/configurationdocument.h"

#include "configurationcheck.h"
#include "jsondocument.h"

#include <utility>

namespace crocusport {

void describe(auto &fields, Is<RequestClass> auto &requestClass)
{
    fields.required("name", requestClass.name);
    fields.required("pool", requestClass.pool);
    fields.required("tier", requestClass.tier);
    fields.required("repeat", requestClass.repeat);
    fields.optional("first_token_ms", requestClass.firstTokenTarget);
    fields.optional("answer_ms", requestClass.answerTarget);
    fields.required("deadline_ms", requestClass.deadline);
    fields.defaulted("teams", requestClass.teams);
    fields.required("path", requestClass.path);
}

void describe(auto &fields, Is<PoolPolicy> auto &pool)
{
    fields.required("name", pool.name);
    fields.required("kind", pool.kind);
    fields.required("region", pool.region);
    fields.defaulted("background_share", pool.backgroundShare);
    fields.defaulted("urgent_reserve", pool.urgentReserve);
    fields.defaulted("long_share", pool.longShare);
    fields.defaulted("long_threshold_ms", pool.longThreshold);
    fields.defaulted("floor_after_ms", pool.floorAfter);
    fields.defaulted("max_queued_per_tier", pool.maxQueuedPerTier);
}

void describe(auto &fields, Is<Team> auto &team)
{
    fields.required("name", team.name);
    fields.defaulted("credential_sha256", team.credentialSha256);
    fields.defaulted("requests_per_second", team.requestsPerSecond);
}

namespace {

//! The document: like Configuration, but with lists, whose elements name themselves.
struct Document
{
    ConfigurationVersion version;
    std::string publishId;
    std::vector<RequestClass> classes;
    std::vector<PoolPolicy> pools;
    std::vector<Team> teams;
};

void describe(auto &fields, Is<Document> auto &document)
{
    fields.required("version", document.version);
    fields.required("publish_id", document.publishId);
    fields.required("classes", document.classes);
    fields.required("pools", document.pools);
    fields.required("teams", document.teams);
}

template<typename Map>
auto valuesOf(const Map &map)
{
    std::vector<typename Map::mapped_type> values;
    values.reserve(map.size());
    for (const auto &[name, value] : map)
        values.push_back(value);
    return values;
}

//! Moves \a values into a map by their names; returns false if a name occurs twice.
template<typename Map>
bool fillMap(Map &map, std::vector<typename Map::mapped_type> &values)
{
    for (auto &value : values) {
        auto name = value.name;
        if (!map.emplace(std::move(name), std::move(value)).second)
            return false;
    }
    return true;
}

} // namespace

Result<Configuration> parseConfigurationDocument(std::string_view text)
{
    if (text.size() > kMaxConfigurationBytes)
        return makeError(ResultCode::ConfigurationTooLarge,
                         "configuration has " + std::to_string(text.size()) + " bytes; allowed are "
                             + std::to_string(kMaxConfigurationBytes));
    BOOST_LEAF_AUTO(document, parseJsonDocument<Document>(text, "configuration"));

    Configuration configuration;
    configuration.version = document.version;
    configuration.publishId = std::move(document.publishId);
    if (!fillMap(configuration.classes, document.classes)
        || !fillMap(configuration.pools, document.pools)
        || !fillMap(configuration.teams, document.teams))
        return makeError(ResultCode::MalformedMessage,
                         "configuration: a class, pool or team occurs twice");
    const auto faults = findConfigurationFaults(configuration);
    if (!faults.empty())
        return makeError(ResultCode::MalformedMessage, "configuration: " + faults.front().message);
    return configuration;
}

std::optional<PublishedDocument> readPublishedDocument(const std::string &text)
{
    return handleErrors(
        [&]() -> Result<std::optional<PublishedDocument>> {
            BOOST_LEAF_AUTO(json,
                            parseJsonObject(text, "configuration", ResultCode::MalformedMessage));
            PublishedDocument document;
            FieldReader reader(json);
            reader.required("version", document.version);
            reader.required("publish_id", document.publishId);
            return reader.error().empty() ? std::optional(std::move(document)) : std::nullopt;
        },
        [](const Error &) { return std::optional<PublishedDocument> {}; });
}

std::string writeConfigurationDocument(const Configuration &configuration)
{
    const Document document { configuration.version, configuration.publishId,
                              valuesOf(configuration.classes), valuesOf(configuration.pools),
                              valuesOf(configuration.teams) };
    return writeJsonDocument(document);
}

} // namespace crocusport
