#include "crocusport/protocol/chatrequest.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <limits>

namespace crocusport {

namespace {

/*!
    Receives the parser's events and keeps what ChatRequest holds. Levels: 1 the request, 2 the list
    of messages, 3 a message, 4 the list of its parts, 5 a part.
*/
class ChatRequestReader : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override { return value(Kind::Null); }
    bool boolean(bool flag) override
    {
        if (isMember("stream"))
            request_.isStream = flag;
        return value(Kind::Boolean);
    }
    bool number_integer(std::int64_t) override { return value(Kind::OtherNumber); }
    bool number_unsigned(std::uint64_t number) override
    {
        if (isMember("max_tokens") || isMember("max_completion_tokens")) {
            constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
            request_.maxTokens = static_cast<std::uint32_t>(std::min(number, kMax));
        }
        return value(Kind::Unsigned);
    }
    bool number_float(double, const std::string &) override { return value(Kind::OtherNumber); }
    bool string(std::string &text) override
    {
        if (isMember("model"))
            request_.model = text;
        else if (isText())
            addText(text);
        return value(Kind::String);
    }
    bool binary(nlohmann::json::binary_t &) override { return false; }
    bool start_object(std::size_t) override
    {
        if (depth_ > 0 && !value(Kind::Object))
            return false;
        return enter(false);
    }
    bool key(std::string &name) override
    {
        if (depth_ <= kTrackedDepth)
            keys_[depth_] = name;
        return true;
    }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override
    {
        if (depth_ == 0)
            return refuse(ResultCode::BadRequest, "body is not a JSON object");
        if (isMember("messages"))
            hasMessages_ = true;
        return value(Kind::Array) && enter(true);
    }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t position, const std::string &,
                     const nlohmann::json::exception &) override
    {
        return refuse(ResultCode::BadJson,
                      "body is not valid JSON at byte " + std::to_string(position));
    }

    Result<ChatRequest> finish(bool isParsed)
    {
        if (!isParsed)
            return makeError(code_, message_.empty() ? "body is not valid JSON" : message_);
        if (request_.model.empty())
            return makeError(ResultCode::BadRequest, "model is missing or empty");
        if (!hasMessages_)
            return makeError(ResultCode::BadRequest, "messages are missing");
        if (text_.size() >= kPrefixBytes)
            request_.prefix = PrefixHash(XXH3_64bits(text_.data(), text_.size()));
        return std::move(request_);
    }

private:
    enum class Kind { Null, Boolean, Unsigned, OtherNumber, String, Object, Array };

    static constexpr int kTrackedDepth = 5;

    bool isMember(std::string_view name) const
    {
        return depth_ == 1 && !isArray_[1] && keys_[1] == name;
    }

    //! Whether the present value is a message's content or the text of one of its parts.
    bool isText() const
    {
        if (text_.size() >= kPrefixBytes || depth_ < 3 || depth_ > kTrackedDepth
            || keys_[1] != "messages" || !isArray_[2] || isArray_[3] || keys_[3] != "content")
            return false;
        return depth_ == 3 || (depth_ == 5 && isArray_[4] && !isArray_[5] && keys_[5] == "text");
    }

    void addText(const std::string &text) { text_.append(text, 0, kPrefixBytes - text_.size()); }

    //! Checks the type of a value of the request itself.
    bool value(Kind kind)
    {
        if (depth_ == 0)
            return refuse(ResultCode::BadRequest, "body is not a JSON object");
        if (isMember("model") && kind != Kind::String)
            return refuse(ResultCode::BadRequest, "model is not a string");
        if (isMember("stream") && kind != Kind::Boolean && kind != Kind::Null)
            return refuse(ResultCode::BadRequest, "stream is not true or false");
        if ((isMember("max_tokens") || isMember("max_completion_tokens")) && kind != Kind::Unsigned
            && kind != Kind::Null)
            return refuse(ResultCode::BadRequest, keys_[1] + " is not a positive integer");
        if (isMember("messages") && kind != Kind::Array)
            return refuse(ResultCode::BadRequest, "messages are not a list");
        return true;
    }

    bool enter(bool isArray)
    {
        if (++depth_ > kMaxChatDepth)
            return refuse(ResultCode::BadRequest,
                          "body is nested deeper than " + std::to_string(kMaxChatDepth)
                              + " levels");
        if (depth_ <= kTrackedDepth) {
            isArray_[depth_] = isArray;
            keys_[depth_].clear();
        }
        return true;
    }

    bool leave()
    {
        --depth_;
        return true;
    }

    bool refuse(ResultCode code, std::string message)
    {
        code_ = code;
        message_ = std::move(message);
        return false;
    }

    ChatRequest request_;
    std::string text_;
    bool hasMessages_ = false;
    int depth_ = 0;
    std::array<bool, kTrackedDepth + 1> isArray_ {};
    std::array<std::string, kTrackedDepth + 1> keys_;
    ResultCode code_ = ResultCode::BadJson;
    std::string message_;
};

constexpr std::string_view kBetweenMembers = ", \t\r\n";

//! Returns the end of the string that begins with the quote at \a at.
std::size_t endOfString(std::string_view json, std::size_t at)
{
    for (++at; at < json.size() && json[at] != '"'; ++at) {
        if (json[at] == '\\')
            ++at;
    }
    return std::min(at + 1, json.size());
}

//! Returns the end of the value of a member that begins at \a at: the comma or brace after it.
std::size_t endOfValue(std::string_view json, std::size_t at)
{
    int depth = 0;
    while (at < json.size()) {
        const char character = json[at];
        if (character == '"') {
            at = endOfString(json, at);
            continue;
        }
        if (depth == 0 && (character == ',' || character == '}'))
            break;
        if (character == '{' || character == '[')
            ++depth;
        else if (character == '}' || character == ']')
            --depth;
        ++at;
    }
    return at;
}

//! Whether \a text, a JSON string with its quotes, is \a name, also when written with escapes.
bool isJsonString(std::string_view text, std::string_view name)
{
    if (text.find('\\') == std::string_view::npos)
        return text.size() == name.size() + 2 && text.substr(1, name.size()) == name;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const auto *decoded = json.get_ptr<const std::string *>();
    return decoded && *decoded == name;
}

} // namespace

Result<ChatRequest> parseChatRequest(std::string_view body)
{
    if (body.size() > kMaxChatBodyBytes)
        return makeError(ResultCode::BodyTooLarge,
                         "body has " + std::to_string(body.size()) + " bytes; allowed are "
                             + std::to_string(kMaxChatBodyBytes));
    ChatRequestReader reader;
    const bool isParsed = nlohmann::json::sax_parse(body, &reader);
    return reader.finish(isParsed);
}

std::string withPriority(std::string_view body, int priority)
{
    const std::string number = std::to_string(priority);
    std::string result;
    result.reserve(body.size() + 32);
    bool isReplaced = false;
    std::size_t copied = 0;
    const std::size_t open = body.find('{');
    if (open == std::string_view::npos)
        return std::string(body);
    std::size_t at = open + 1;
    while (true) {
        at = body.find_first_not_of(kBetweenMembers, at);
        if (at == std::string_view::npos || body[at] != '"')
            break;
        const auto keyBegin = at;
        const auto keyEnd = endOfString(body, keyBegin);
        const auto colon = body.find(':', keyEnd);
        if (colon == std::string_view::npos)
            break;
        const auto valueEnd = endOfValue(body, colon + 1);
        // Every occurrence, since parsers differ in which of two equal keys they take.
        if (isJsonString(body.substr(keyBegin, keyEnd - keyBegin), "priority")) {
            result.append(body, copied, colon + 1 - copied).append(number);
            copied = valueEnd;
            isReplaced = true;
        }
        at = valueEnd;
    }
    if (!isReplaced) {
        const auto next = body.find_first_not_of(kBetweenMembers, open + 1);
        const bool isEmpty = next == std::string_view::npos || body[next] == '}';
        result.append(body, 0, open + 1).append("\"priority\":").append(number);
        result.append(isEmpty ? "" : ",");
        copied = open + 1;
    }
    return result.append(body, copied);
}

Fingerprint fingerprintOf(const TeamName &team, const ClassName &requestClass,
                          std::string_view target, std::string_view body)
{
    // Names and targets contain no NUL, so the separators keep them apart.
    std::string names = team.value();
    names.append(1, '\0').append(requestClass.value()).append(1, '\0').append(target);
    return Fingerprint(
        XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits(names.data(), names.size())));
}

} // namespace crocusport
