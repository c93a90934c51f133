#ifndef CROCUSPORT_CLAIM_H
#define CROCUSPORT_CLAIM_H

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <functional>
#include <optional>
#include <string>

namespace crocusport {

//! States of a claim in the store; see docs/design.md section 4.2.
enum class ClaimState {
    Claimed,   //!< An attempt holds the claim and has not recorded a final state.
    Completed, //!< The request has completed.
    NotRun,    //!< The request was not run; another attempt may claim it.
    Unknown    //!< The request may or may not have run.
};

//! The record that the store holds under the key of a claim.
struct ClaimRecord
{
    ClaimState state = ClaimState::Claimed;
    RouterName router;
    Incarnation incarnation;
    RequestId request;
    std::string attempt;  //!< Id of the ClaimRegistry::claim() call, unique in the fleet.
    std::string bodyHash; //!< SHA-256 of the request's body.
    //! Response to a completed request; set only if it was small enough to be stored.
    std::optional<std::string> response;

    bool operator==(const ClaimRecord &) const = default;
};

//! Converts claim records to and from the values that the store holds.
struct ClaimCodec
{
    std::function<std::string(const ClaimRecord &)> encode;
    //! Returns the record, or nothing if the value is malformed.
    std::function<std::optional<ClaimRecord>(const std::string &)> decode;
};

//! A request that must run at most once.
struct ClaimRequest
{
    std::string key; //!< "/crocusport/claims/<team>/<sha-256 of the idempotency key>".
    RequestId request;
    std::string bodyHash;
    Instant deadline; //!< ClaimRegistry::beginSending() returns false from this time on.
};

//! Result of an attempt to claim a request.
enum class ClaimResult {
    Granted,          //!< This attempt may send the request, after ClaimRegistry::beginSending().
    Duplicate,        //!< Another attempt holds the claim, or its outcome is unknown.
    Completed,        //!< An earlier attempt has completed the request.
    OtherBody,        //!< The key was used for a request with another body.
    StoreUnavailable, //!< The request was not run: the store did not reply in time.
};

//! What ClaimRegistry::claim() reports to its caller.
struct ClaimAnswer
{
    ClaimResult result = ClaimResult::StoreUnavailable;
    std::string attempt;                 //!< Id of the attempt; set when granted.
    std::optional<std::string> response; //!< The stored response; may be set when completed.
};

//! Timing and limits of ClaimRegistry.
struct ClaimPolicy
{
    //! A claim that the store has not confirmed after this time is given up.
    Duration storeTimeout = std::chrono::milliseconds(500);
    //! Minimum time between the starts of two calls to the store, if the first one fails. Applies
    //! to lease requests and to calls for an attempt that is being claimed.
    Duration retryInterval = std::chrono::milliseconds(50);
    //! Pause before new calls for final states are started, after such a call has failed or timed
    //! out. A write that follows a successful read is not delayed.
    Duration finalizeRetryInterval = std::chrono::seconds(1);
    //! A call to the store for a final state, a read or a write, that has not returned after this
    //! time counts as failed, and the key is read again.
    Duration callTimeout = std::chrono::seconds(5);
    std::chrono::seconds leaseTimeToLive = std::chrono::hours(24);
    //! Claims share a lease for this long; then a new lease is requested.
    Duration leaseReuseTime = std::chrono::hours(1);
    std::size_t maxFinalizing = 16; //!< Final states that are written concurrently.
};

} // namespace crocusport

#endif // CROCUSPORT_CLAIM_H
