#ifndef CROCUSPORT_HTTPTEXT_H
#define CROCUSPORT_HTTPTEXT_H

#include <string_view>

namespace crocusport {

//! Whether the header can be sent: the name is a token, and the value has no line break or NUL.
bool isSendableHeader(std::string_view name, std::string_view value);
//! Whether \a target can stand in a request line: visible ASCII and no space.
bool isSendableTarget(std::string_view target);
//! Compares ASCII text without case. Safe from any thread.
bool isEqualIgnoringCase(std::string_view left, std::string_view right);
//! Whether the comma-separated \a list contains \a token, without case (RFC 9110 section 5.6.1).
bool listContainsToken(std::string_view list, std::string_view token);

} // namespace crocusport

#endif // CROCUSPORT_HTTPTEXT_H
