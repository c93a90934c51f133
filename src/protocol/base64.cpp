#include "base64.h"

#include <openssl/evp.h>

#include <algorithm>
#include <cctype>

namespace crocusport {

namespace {

const unsigned char *asBytes(std::string_view data)
{
    return reinterpret_cast<const unsigned char *>(data.data());
}

bool isBase64Digit(unsigned char character)
{
    return std::isalnum(character) || character == '+' || character == '/';
}

} // namespace

std::string toBase64(std::string_view data)
{
    std::string text((data.size() + 2) / 3 * 4 + 1, '\0'); // EVP_EncodeBlock() appends a NUL.
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), asBytes(data),
                                     static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    // EVP_DecodeBlock() also accepts white space around the text, and padding inside it.
    const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    const auto digits = text.substr(0, text.size() - padding);
    if (text.size() % 4 != 0 || !std::all_of(digits.begin(), digits.end(), isBase64Digit))
        return std::nullopt;
    std::string data(text.size() / 4 * 3, '\0');
    if (EVP_DecodeBlock(reinterpret_cast<unsigned char *>(data.data()), asBytes(text),
                        static_cast<int>(text.size()))
        < 0)
        return std::nullopt;
    data.resize(data.size() - padding);
    return data;
}

} // namespace crocusport
