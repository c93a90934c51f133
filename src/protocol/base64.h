#ifndef CROCUSPORT_BASE64_H
#define CROCUSPORT_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace crocusport {

//! Returns \a data in base64 with padding (RFC 4648 section 4). Safe from any thread.
std::string toBase64(std::string_view data);
//! Decodes base64 with padding; returns nothing if \a text is anything else. Safe from any thread.
std::optional<std::string> fromBase64(std::string_view text);

} // namespace crocusport

#endif // CROCUSPORT_BASE64_H
