#include "logline.h"

#include <algorithm>

namespace crocusport {

namespace {

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](char character) {
               return character <= ' ' || character == '"' || character == '=' || character == '\\'
                   || character == '\x7f';
           });
}

void appendEscaped(std::string &text, std::string_view value)
{
    static constexpr std::string_view kDigits = "0123456789abcdef";
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            text += '\\';
            text += character;
        } else if (byte < 0x20 || byte == 0x7f) {
            text += "\\x";
            text += kDigits[byte >> 4U];
            text += kDigits[byte & 0xFU];
        } else {
            text += character;
        }
    }
}

} // namespace

LogLine::LogLine(std::string_view event)
{
    add("event", event);
}

LogLine &LogLine::add(std::string_view key, std::string_view value)
{
    if (!text_.empty())
        text_ += ' ';
    text_ += key;
    text_ += '=';
    if (!needsQuotes(value)) {
        text_ += value;
        return *this;
    }
    text_ += '"';
    appendEscaped(text_, value);
    text_ += '"';
    return *this;
}

} // namespace crocusport
