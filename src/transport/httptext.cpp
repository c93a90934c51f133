#include "httptext.h"

#include <algorithm>

namespace crocusport {

namespace {

char toLower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

// Characters of a token (RFC 9110 section 5.6.2).
bool isTokenCharacter(char character)
{
    if ((character >= '0' && character <= '9') || (character >= 'A' && character <= 'Z')
        || (character >= 'a' && character <= 'z'))
        return true;
    return character != '\0'
        && std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

} // namespace

bool isSendableHeader(std::string_view name, std::string_view value)
{
    if (name.empty() || !std::all_of(name.begin(), name.end(), isTokenCharacter))
        return false;
    return value.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

bool isSendableTarget(std::string_view target)
{
    return !target.empty() && std::all_of(target.begin(), target.end(), [](char character) {
        return character > ' ' && character < '\x7f';
    });
}

bool isEqualIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return toLower(a) == toLower(b); });
}

bool listContainsToken(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (isEqualIgnoringCase(trimmed(list.substr(0, comma)), token))
            return true;
        if (comma == std::string_view::npos)
            return false;
        list.remove_prefix(comma + 1);
    }
    return false;
}

} // namespace crocusport
