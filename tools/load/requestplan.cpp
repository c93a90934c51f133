#include "requestplan.h"

#include "../common/answertext.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

// Draws for lengths must differ from those for arrival times with the same seed.
constexpr std::uint64_t kContentSeed = 0x636f6e74656e74;

std::vector<double> weightsOf(const LoadClass &loadClass)
{
    std::vector<double> weights;
    for (const auto &[team, weight] : loadClass.teams)
        weights.push_back(weight);
    return weights;
}

//! Returns \a size bytes that repeat \a text.
std::string repeated(const std::string &text, std::size_t size)
{
    std::string result;
    result.reserve(size + text.size());
    while (result.size() < size)
        result += text;
    result.resize(size);
    return result;
}

} // namespace

RequestFactory::RequestFactory(const LoadClass &loadClass, const Mix &mix, std::string runName,
                               std::uint64_t seed)
    : class_(loadClass), mix_(mix), runName_(std::move(runName)),
      random_(
          XXH3_64bits_withSeed(loadClass.name.data(), loadClass.name.size(), seed ^ kContentSeed))
{
    const auto weights = weightsOf(loadClass);
    teams_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

RequestPlan RequestFactory::make()
{
    RequestPlan plan;
    plan.team = class_.teams[teams_(random_)].first;
    plan.marker = runName_ + '-' + class_.name + '-' + std::to_string(++count_);
    plan.hash = markerHash(plan.marker);
    plan.method = class_.kind == LoadKind::Lookup ? "GET" : "POST";
    plan.target = class_.path;
    plan.headers = { { "X-Class", class_.name }, { "X-Team", plan.team } };
    if (const auto found = mix_.credentials.find(plan.team); found != mix_.credentials.end())
        plan.headers.emplace_back("Authorization", "Bearer " + found->second);
    if (class_.hasIdempotencyKey)
        plan.headers.emplace_back("Idempotency-Key", "key-" + plan.marker);
    if (class_.kind == LoadKind::Lookup) {
        plan.target += "/item-" + std::to_string(count_) + "?marker=" + plan.marker;
        return plan;
    }
    plan.headers.emplace_back("Content-Type", "application/json");
    if (class_.kind == LoadKind::Booking) {
        plan.body = nlohmann::json({ { "marker", plan.marker }, { "team", plan.team } }).dump();
        return plan;
    }
    plan.tokens = OutputLength(class_.output).draw(random_);
    plan.body = chatBody(plan);
    return plan;
}

std::string RequestFactory::chatBody(const RequestPlan &plan)
{
    auto prompt = repeated("Instructions for " + class_.name + " of " + plan.team + ". ",
                           class_.sharedPrefixBytes);
    prompt += " marker:" + plan.marker + ' ';
    if (prompt.size() < class_.promptBytes)
        prompt += repeated("text " + plan.hash + ' ', class_.promptBytes - prompt.size());
    const nlohmann::json body = {
        { "model", "standin" },
        { "stream", class_.isStreamed },
        { "messages", { { { "role", "user" }, { "content", prompt } } } },
        { "standin_tokens", plan.tokens },
    };
    return body.dump();
}

} // namespace crocusport
