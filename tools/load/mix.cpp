#include "mix.h"

#include <nlohmann/json.hpp>
#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <numeric>
#include <sstream>

namespace crocusport {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 3> kKindNames = { "chat", "lookup", "booking" };

Duration milliseconds(const json &value)
{
    return Duration(static_cast<Duration::rep>(value.get<double>() * 1000));
}

Duration seconds(const json &value)
{
    return Duration(static_cast<Duration::rep>(value.get<double>() * 1'000'000));
}

//! Sets \a member from the field \a name, if the object has it.
template<typename T>
void read(const json &object, const char *name, T &member)
{
    if (const auto found = object.find(name); found != object.end())
        member = found->get<T>();
}

Result<LoadClass> readClass(const json &object)
{
    LoadClass loadClass;
    loadClass.name = object.at("name").get<std::string>();
    const auto kind = object.value("kind", std::string("chat"));
    const auto *const found = std::find(kKindNames.begin(), kKindNames.end(), kind);
    if (found == kKindNames.end())
        return makeError(ResultCode::BadSettings, "unknown kind of class: " + kind);
    loadClass.kind = static_cast<LoadKind>(found - kKindNames.begin());
    for (const auto &[team, weight] : object.at("teams").items())
        loadClass.teams.emplace_back(team, weight.get<double>());
    if (loadClass.teams.empty())
        return makeError(ResultCode::BadSettings, "class without teams: " + loadClass.name);
    read(object, "rate", loadClass.rate);
    read(object, "path", loadClass.path);
    read(object, "streamed", loadClass.isStreamed);
    read(object, "prompt_bytes", loadClass.promptBytes);
    read(object, "shared_prefix_bytes", loadClass.sharedPrefixBytes);
    read(object, "output_median", loadClass.output.median);
    read(object, "output_sigma", loadClass.output.sigma);
    read(object, "output_tail_share", loadClass.output.tailShare);
    read(object, "output_tail_factor", loadClass.output.tailFactor);
    read(object, "output_max", loadClass.output.max);
    if (object.contains("first_token_ms"))
        loadClass.firstTokenTarget = milliseconds(object["first_token_ms"]);
    if (object.contains("answer_ms"))
        loadClass.answerTarget = milliseconds(object["answer_ms"]);
    if (object.contains("timeout_ms"))
        loadClass.timeout = milliseconds(object["timeout_ms"]);
    if (object.contains("retry_delay_ms"))
        loadClass.retryDelay = milliseconds(object["retry_delay_ms"]);
    read(object, "retries", loadClass.retries);
    read(object, "retry_unknown", loadClass.isRetryingUnknown);
    read(object, "idempotency_key", loadClass.hasIdempotencyKey);
    return loadClass;
}

Result<Mix> readMix(const json &object)
{
    Mix mix;
    read(object, "retry_after_scale", mix.retryAfterScale);
    for (const auto &entry : object.at("class")) {
        BOOST_LEAF_AUTO(loadClass, readClass(entry));
        mix.classes.push_back(std::move(loadClass));
    }
    for (const auto &entry : object.value("burst", json::array())) {
        LoadBurst burst;
        burst.className = entry.at("class").get<std::string>();
        burst.start = seconds(entry.at("start_s"));
        burst.length = seconds(entry.at("duration_s"));
        burst.factor = entry.at("factor").get<double>();
        mix.bursts.push_back(burst);
    }
    for (const auto &entry : object.value("team", json::array()))
        mix.credentials[entry.at("name").get<std::string>()] =
            entry.at("credential").get<std::string>();
    if (mix.classes.empty() || mix.totalRate() <= 0)
        return makeError(ResultCode::BadSettings, "the mix has no class with a rate");
    return mix;
}

} // namespace

Result<Mix> Mix::load(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream)
        return makeError(ResultCode::FileUnreadable, "cannot read " + path);
    const std::string text { std::istreambuf_iterator<char>(stream), {} };
    constexpr std::string_view kJsonSuffix = ".json";
    const bool isJson = path.size() > kJsonSuffix.size()
        && path.compare(path.size() - kJsonSuffix.size(), kJsonSuffix.size(), kJsonSuffix) == 0;
    return parse(text, isJson);
}

Result<Mix> Mix::parse(const std::string &text, bool isJson)
{
    try {
        if (isJson)
            return readMix(json::parse(text));
        std::ostringstream converted;
        converted << toml::json_formatter { toml::parse(text) };
        return readMix(json::parse(converted.str()));
    } catch (const toml::parse_error &error) {
        std::ostringstream message;
        message << error;
        return makeError(ResultCode::BadSettings, message.str());
    } catch (const json::exception &exception) {
        return makeError(ResultCode::BadSettings, exception.what());
    }
}

double Mix::totalRate() const
{
    return std::accumulate(
        classes.begin(), classes.end(), 0.0,
        [](double sum, const LoadClass &loadClass) { return sum + loadClass.rate; });
}

} // namespace crocusport
