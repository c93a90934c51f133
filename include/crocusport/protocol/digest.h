#ifndef CROCUSPORT_DIGEST_H
#define CROCUSPORT_DIGEST_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace crocusport {

//! Returns the SHA-256 digest of \a data in lower-case hex. Safe from any thread.
std::string sha256Hex(std::string_view data);
//! Returns the HMAC-SHA-256 (RFC 2104) of \a data under \a key, as raw bytes. Safe from any thread.
std::string hmacSha256(std::string_view key, std::string_view data);
//! Compares in a time that depends only on the lengths. Safe from any thread.
bool isEqualConstantTime(std::string_view left, std::string_view right);
//! Returns \a count bytes from the system's cryptographic generator. Safe from any thread.
std::string randomBytes(std::size_t count);
//! Returns a seed for a random number engine, from randomBytes(). Safe from any thread.
std::uint64_t randomSeed();
//! Returns \a data in lower-case hex. Safe from any thread.
std::string toHex(std::string_view data);

} // namespace crocusport

#endif // CROCUSPORT_DIGEST_H
