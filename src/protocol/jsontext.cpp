#include "jsontext.h"

namespace crocusport {

Result<nlohmann::json> parseJsonObject(std::string_view text, const std::string &what,
                                       ResultCode code)
{
    bool isTooDeep = false;
    // The parser has no recursion, but writing and comparing values have.
    const auto limitDepth = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        isTooDeep = isTooDeep || depth > kMaxJsonDepth;
        return !isTooDeep;
    };
    auto json = nlohmann::json::parse(text, limitDepth, false);
    if (isTooDeep)
        return makeError(
            code, what + " is nested deeper than " + std::to_string(kMaxJsonDepth) + " levels");
    if (json.is_discarded())
        return makeError(code, what + " is not valid JSON");
    if (!json.is_object())
        return makeError(code, what + " is not a JSON object");
    return json;
}

std::string writeJson(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace crocusport
