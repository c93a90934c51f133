#ifndef CROCUSPORT_BASE64_H
#define CROCUSPORT_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace crocusport {

//! Returns \a data in base64 (RFC 4648 section 4). Safe from any thread.
std::string base64Encode(std::string_view data);
//! Returns what \a text stands for; nothing if it is no base64. Safe from any thread.
std::optional<std::string> base64Decode(std::string_view text);

} // namespace crocusport

#endif // CROCUSPORT_BASE64_H
