#include "base64.h"

#include <openssl/evp.h>

namespace crocusport {

std::string base64Encode(std::string_view data)
{
    std::string text((data.size() + 2) / 3 * 4 + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                        reinterpret_cast<const unsigned char *>(data.data()),
                                        static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> base64Decode(std::string_view text)
{
    if (text.empty())
        return std::string();
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string data(text.size() / 4 * 3, '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(data.data()),
                                        reinterpret_cast<const unsigned char *>(text.data()),
                                        static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    // EVP_DecodeBlock counts the padding as data.
    auto size = static_cast<std::size_t>(length);
    if (text.back() == '=')
        --size;
    if (text[text.size() - 2] == '=')
        --size;
    data.resize(size);
    return data;
}

} // namespace crocusport
