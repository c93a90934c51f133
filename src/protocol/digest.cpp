#include "crocusport/protocol/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <cstring>

namespace crocusport {

namespace {

using DigestBytes = std::array<unsigned char, EVP_MAX_MD_SIZE>;

const unsigned char *asBytes(std::string_view data)
{
    return reinterpret_cast<const unsigned char *>(data.data());
}

std::string asString(const DigestBytes &bytes, unsigned int size)
{
    return { reinterpret_cast<const char *>(bytes.data()), size };
}

} // namespace

std::string toHex(std::string_view data)
{
    static constexpr std::string_view kDigits = "0123456789abcdef";
    std::string hex;
    hex.reserve(data.size() * 2);
    for (const char character : data) {
        const auto byte = static_cast<unsigned char>(character);
        hex.push_back(kDigits[byte >> 4U]);
        hex.push_back(kDigits[byte & 0xFU]);
    }
    return hex;
}

std::string sha256Hex(std::string_view data)
{
    DigestBytes bytes {};
    unsigned int size = 0;
    if (EVP_Digest(data.data(), data.size(), bytes.data(), &size, EVP_sha256(), nullptr) != 1)
        std::abort(); // SHA-256 is always part of the library.
    return toHex(asString(bytes, size));
}

std::string hmacSha256(std::string_view key, std::string_view data)
{
    DigestBytes bytes {};
    unsigned int size = 0;
    if (!HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), asBytes(data), data.size(),
              bytes.data(), &size))
        std::abort(); // SHA-256 is always part of the library.
    return asString(bytes, size);
}

bool isEqualConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(count)) != 1)
        std::abort(); // Without randomness no nonce or request id is safe.
    return bytes;
}

std::uint64_t randomSeed()
{
    std::uint64_t seed = 0;
    const auto bytes = randomBytes(sizeof seed);
    std::memcpy(&seed, bytes.data(), sizeof seed);
    return seed;
}

} // namespace crocusport
