#ifndef CROCUSPORT_CHATREQUEST_H
#define CROCUSPORT_CHATREQUEST_H

#include "crocusport/state/error.h"
#include "crocusport/state/identifiers.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocusport {

inline constexpr std::size_t kMaxChatBodyBytes = 67'108'864;
inline constexpr int kMaxChatDepth = 64;
//! Length of the messages' text that the prefix hash covers.
inline constexpr std::size_t kPrefixBytes = 1024;

//! What a router needs to know of the body of a chat completions request.
struct ChatRequest
{
    std::string model;
    bool isStream = false;
    std::optional<std::uint32_t> maxTokens;
    PrefixHash prefix; //!< XXH3 of the first kPrefixBytes of the messages' text; 0 when shorter.

    bool operator==(const ChatRequest &) const = default;
};

/*!
    Reads \a body without building a copy of it. Fails with BadJson, BadRequest or BodyTooLarge.
    Safe from any thread.
*/
Result<ChatRequest> parseChatRequest(std::string_view body);

/*!
    Returns \a body with the member "priority" set to \a priority and everything else as it was,
    byte for byte. A priority that the caller wrote itself is replaced. Precondition:
    parseChatRequest() accepted \a body. Safe from any thread.
*/
std::string withPriority(std::string_view body, int priority);

//! Returns the XXH3 hash of all four, unambiguous in where one ends. Safe from any thread.
Fingerprint fingerprintOf(const TeamName &team, const ClassName &requestClass,
                          std::string_view target, std::string_view body);

} // namespace crocusport

#endif // CROCUSPORT_CHATREQUEST_H
