#ifndef CROCUSPORT_JSONTEXT_H
#define CROCUSPORT_JSONTEXT_H

#include "crocusport/state/error.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace crocusport {

inline constexpr int kMaxJsonDepth = 32;

/*!
    Parses \a text as one JSON object of at most kMaxJsonDepth levels. Fails with \a code and a
    message that begins with \a what. Safe from any thread.
*/
Result<nlohmann::json> parseJsonObject(std::string_view text, const std::string &what,
                                       ResultCode code);

//! Returns \a json as text; invalid UTF-8 is replaced, never thrown. Safe from any thread.
std::string writeJson(const nlohmann::json &json);

} // namespace crocusport

#endif // CROCUSPORT_JSONTEXT_H
