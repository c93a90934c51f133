#ifndef CROCUSPORT_HTTPTEXT_H
#define CROCUSPORT_HTTPTEXT_H

#include <string_view>

namespace crocusport {

//! Whether \a name is a token and \a value contains no line break or NUL. Safe from any thread.
bool isSendableHeader(std::string_view name, std::string_view value);
//! Whether \a target is valid in a request line: not empty, and only visible ASCII characters.
bool isSendableTarget(std::string_view target);
//! Compares ASCII text case-insensitively. Safe from any thread.
bool isEqualIgnoringCase(std::string_view left, std::string_view right);
//! Whether the comma-separated \a list contains \a token, compared case-insensitively (RFC 9110
//! section 5.6.1).
bool listContainsToken(std::string_view list, std::string_view token);

} // namespace crocusport

#endif // CROCUSPORT_HTTPTEXT_H
