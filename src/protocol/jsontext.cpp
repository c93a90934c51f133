#include "jsontext.h"

namespace crocusport {

namespace {

constexpr std::string_view kWhiteSpace = " \t\r\n";

//! Follows the brackets and strings of a JSON text.
class BracketScanner
{
public:
    //! Reads the next character.
    void read(char character)
    {
        if (isEscaped_) {
            isEscaped_ = false;
        } else if (isInString_) {
            isEscaped_ = character == '\\';
            isInString_ = character != '"';
        } else if (character == '"') {
            isInString_ = true;
        } else if (character == '{' || character == '[') {
            ++depth_;
        } else if (character == '}' || character == ']') {
            --depth_;
        }
    }
    int depth() const { return depth_; }
    bool isInString() const { return isInString_; }

private:
    int depth_ = 0;
    bool isInString_ = false;
    bool isEscaped_ = false;
};

//! Returns the position behind the opening bracket of the member \a key, or npos.
std::size_t findArray(std::string_view text, std::string_view key)
{
    const auto quoted = '"' + std::string(key) + '"';
    BracketScanner scanner;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isKeyOfObject = scanner.depth() == 1 && !scanner.isInString();
        scanner.read(text[i]);
        if (!isKeyOfObject || !text.substr(i).starts_with(quoted))
            continue;
        const auto colon = text.find_first_not_of(kWhiteSpace, i + quoted.size());
        if (colon == std::string_view::npos || text[colon] != ':')
            continue;
        const auto bracket = text.find_first_not_of(kWhiteSpace, colon + 1);
        if (bracket != std::string_view::npos && text[bracket] == '[')
            return bracket + 1;
    }
    return std::string_view::npos;
}

} // namespace

Result<std::vector<std::string_view>> splitJsonArray(std::string_view text, std::string_view key,
                                                     const std::string &what)
{
    const auto fault = [&] {
        return makeError(ResultCode::MalformedMessage,
                         what + " has no complete array " + std::string(key));
    };
    const auto begin = findArray(text, key);
    if (begin == std::string_view::npos)
        return fault();
    std::vector<std::string_view> elements;
    BracketScanner scanner;
    auto start = begin;
    for (auto i = begin; i < text.size(); ++i) {
        const bool isTopLevel = scanner.depth() == 0 && !scanner.isInString();
        if (isTopLevel && (text[i] == ',' || text[i] == ']')) {
            const auto element = text.substr(start, i - start);
            const bool isBlank = element.find_first_not_of(kWhiteSpace) == std::string_view::npos;
            if (text[i] == ',' || !isBlank || !elements.empty())
                elements.push_back(element);
            start = i + 1;
        }
        if (isTopLevel && text[i] == ']') {
            const auto rest = std::string(text.substr(0, begin)).append(text.substr(i));
            BOOST_LEAF_CHECK(parseJsonObject(rest, what, ResultCode::MalformedMessage));
            return elements;
        }
        scanner.read(text[i]);
    }
    return fault();
}

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
