#ifndef CROCUSPORT_CLAIMDOCUMENT_H
#define CROCUSPORT_CLAIMDOCUMENT_H

#include "crocusport/coordination/claim.h"
#include "crocusport/state/error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace crocusport {

//! Longest response body that a claim keeps.
inline constexpr std::size_t kMaxStoredBodyBytes = 65'536;

//! The response that a retry with the same idempotency key receives.
struct StoredResponse
{
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const StoredResponse &) const = default;
};

/*!
    Returns \a response in the form that ClaimRecord::response holds, or nothing when its body is
    longer than kMaxStoredBodyBytes. Safe from any thread.
*/
std::optional<std::string> writeStoredResponse(const StoredResponse &response);
//! Reads what writeStoredResponse() returns. Fails with MalformedMessage. Safe from any thread.
Result<StoredResponse> parseStoredResponse(std::string_view data);

//! Returns \a claim as JSON. Safe from any thread.
std::string writeClaim(const ClaimRecord &claim);
//! Reads a claim as it stands in the store. Fails with MalformedMessage. Safe from any thread.
Result<ClaimRecord> parseClaim(std::string_view text);

//! Returns writeClaim() and parseClaim() in the form that ClaimRegistry takes.
ClaimCodec claimDocumentCodec();

} // namespace crocusport

#endif // CROCUSPORT_CLAIMDOCUMENT_H
