#ifndef CROCUSPORT_CLAIM_H
#define CROCUSPORT_CLAIM_H

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <functional>
#include <optional>
#include <string>

namespace crocusport {

//! States of a claim in the store; see docs/design.md section 4.2.
enum class ClaimState { Claimed, Completed, NotRun, Unknown };

//! The value of a claim's key.
struct ClaimRecord
{
    ClaimState state = ClaimState::Claimed;
    RouterName router;
    Incarnation incarnation;
    RequestId request;
    std::string attempt;  //!< Unique for each call of ClaimRegistry::claim() in the fleet.
    std::string bodyHash; //!< SHA-256 of the request's body.
    std::optional<std::string> response; //!< Of a completed request, if it was small enough.

    bool operator==(const ClaimRecord &) const = default;
};

//! How claim records are written in the store.
struct ClaimCodec
{
    std::function<std::string(const ClaimRecord &)> encode;
    //! Returns nothing for a malformed value.
    std::function<std::optional<ClaimRecord>(const std::string &)> decode;
};

//! A request that must run at most once.
struct ClaimRequest
{
    std::string key; //!< "/crocusport/claims/<team>/<sha-256 of the idempotency key>".
    RequestId request;
    std::string bodyHash;
    Instant deadline; //!< The request is never sent after this.
};

//! What an attempt to claim a request has led to.
enum class ClaimResult {
    Granted,          //!< This attempt may send the request, after ClaimRegistry::beginSending().
    Duplicate,        //!< Another attempt holds the claim, or its outcome is unknown.
    Completed,        //!< The request has completed earlier.
    OtherBody,        //!< The key was used with another body.
    StoreUnavailable, //!< Not run: the store did not answer in time.
};

struct ClaimAnswer
{
    ClaimResult result = ClaimResult::StoreUnavailable;
    std::string attempt;                 //!< Set when granted.
    std::optional<std::string> response; //!< May be set when completed.
};

//! Timing and bounds of ClaimRegistry.
struct ClaimPolicy
{
    Duration storeTimeout = std::chrono::milliseconds(500);
    Duration retryInterval = std::chrono::milliseconds(50);
    Duration settleRetryInterval = std::chrono::seconds(1);
    //! A call to the store that has not returned by then is repeated.
    Duration callTimeout = std::chrono::seconds(5);
    std::chrono::seconds leaseTimeToLive = std::chrono::hours(24);
    Duration leaseUse = std::chrono::hours(1);
    std::size_t maxSettling = 16; //!< Final states written at the same time.
};

} // namespace crocusport

#endif // CROCUSPORT_CLAIM_H
