#include "answertext.h"

#include <xxhash.h>

#include <array>
#include <cctype>
#include <charconv>

namespace crocusport {

namespace {

constexpr std::string_view kMarkerWord = "marker";
constexpr std::string_view kSeparators = "\"\\:= ";
constexpr std::size_t kHashDigits = 8;

bool isNameCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-'
        || character == '_' || character == '.';
}

} // namespace

std::string markerOf(std::string_view text)
{
    const auto word = text.find(kMarkerWord);
    if (word == std::string_view::npos)
        return {};
    const auto start = text.find_first_not_of(kSeparators, word + kMarkerWord.size());
    if (start == std::string_view::npos)
        return {};
    auto end = start;
    while (end < text.size() && isNameCharacter(text[end]))
        ++end;
    return std::string(text.substr(start, end - start));
}

std::string markerHash(std::string_view marker)
{
    constexpr std::string_view kDigits = "0123456789abcdef";
    auto hash = XXH3_64bits(marker.data(), marker.size());
    std::string text(kHashDigits, '0');
    for (auto &digit : text) {
        digit = kDigits[hash & 0xFU];
        hash >>= 4U;
    }
    return text;
}

void appendAnswerToken(std::string &text, std::string_view hash, std::uint32_t index)
{
    std::array<char, 10> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), index).ptr;
    text.append(hash).append(1, ':').append(digits.data(), end).append(1, ' ');
}

} // namespace crocusport
