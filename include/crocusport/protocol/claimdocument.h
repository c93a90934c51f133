#ifndef CROCUSPORT_CLAIMDOCUMENT_H
#define CROCUSPORT_CLAIMDOCUMENT_H

#include "crocusport/state/error.h"
#include "crocusport/state/identifiers.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace crocusport {

//! Longest response body that a claim keeps.
inline constexpr std::size_t kMaxStoredBodyBytes = 65'536;

//! States of a claim; only NotRun may be claimed again (docs/design.md section 4.2).
enum class ClaimState { Claimed, Completed, NotRun, Unknown };

//! The response that a retry with the same idempotency key receives.
struct StoredResponse
{
    int status = 0;
    std::string contentType;
    std::string body; //!< At most kMaxStoredBodyBytes.

    bool operator==(const StoredResponse &) const = default;
};

//! The value of an idempotency key in the store.
struct Claim
{
    RouterName router;
    Incarnation incarnation;
    RequestId request;
    std::string attempt;  //!< Unique id, by which a write with a lost reply is recognised.
    std::string bodyHash; //!< SHA-256 of the request's body in hex.
    ClaimState state = ClaimState::Claimed;
    std::optional<StoredResponse> response; //!< Of a completed request, if small enough.

    bool operator==(const Claim &) const = default;
};

//! Reads a claim as it stands in the store. Fails with MalformedMessage. Safe from any thread.
Result<Claim> parseClaim(std::string_view text);
//! Returns \a claim as JSON, without a response that is too large. Safe from any thread.
std::string writeClaim(const Claim &claim);

} // namespace crocusport

#endif // CROCUSPORT_CLAIMDOCUMENT_H
