#ifndef CROCUSPORT_JSONTEXT_H
#define CROCUSPORT_JSONTEXT_H

#include "crocusport/state/error.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace crocusport {

inline constexpr int kMaxJsonDepth = 32;

/*!
    Parses \a text as one JSON object of at most kMaxJsonDepth levels. Fails with \a code and a
    message that begins with \a what. Safe from any thread.
*/
Result<nlohmann::json> parseJsonObject(std::string_view text, const std::string &what,
                                       ResultCode code);

/*!
    Returns the texts of the elements of the array that is the member \a key of the JSON object
    \a text. The elements may be invalid, as long as their brackets and quotes match; all other
    members must be valid. Fails with MalformedMessage and a message that begins with \a what. Safe
    from any thread.
*/
Result<std::vector<std::string_view>> splitJsonArray(std::string_view text, std::string_view key,
                                                     const std::string &what);

//! Returns \a json as text; invalid UTF-8 is replaced, never thrown. Safe from any thread.
std::string writeJson(const nlohmann::json &json);

} // namespace crocusport

#endif // CROCUSPORT_JSONTEXT_H
