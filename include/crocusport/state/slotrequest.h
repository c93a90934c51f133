#ifndef CROCUSPORT_SLOTREQUEST_H
#define CROCUSPORT_SLOTREQUEST_H

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <optional>
#include <vector>

namespace crocusport {

//! A router's request for a slot on a backend server of a pool.
struct SlotRequest
{
    RequestId request;
    RouterName router; //!< The router that holds the caller's connection.
    PoolName pool;
    ClassName requestClass;
    TeamName team;
    Tier tier { kLowestTier };
    // arrived and deadline are on the clock of the router that holds this object. They are not
    // transmitted; the receiving router computes them from the durations in the message.
    Instant arrived;  //!< Arrival of the caller's request.
    Instant deadline; //!< When the caller stops waiting.
    PrefixHash prefix;
    Fingerprint fingerprint;
    AvailabilityZone zone;                   //!< Zone of the router.
    std::vector<BackendServerName> excluded; //!< Servers on which the request failed.
    //! The server on which the request runs; set when its router sends a request that has a slot
    //! already to a new holder of the pool.
    std::optional<BackendServerName> runningOn;
};

//! How the use of a slot ended.
enum class ReleaseReason { Completed, Cancelled, Failed, Refused, Crashed, TimedOut };

//! The report of a router that a request no longer uses its slot.
struct SlotRelease
{
    RequestId request;
    PoolName pool;
    BackendServerName server;
    ReleaseReason reason = ReleaseReason::Completed;
    Duration firstToken {}; //!< Time to the first token; 0 if there was none.
    Duration tokenGap {};   //!< Mean time between tokens; 0 if unknown.
    Duration serviceTime {};
    std::uint32_t outputTokens = 0;
};

//! A slot given to a waiting request.
struct SlotGrant
{
    RequestId request;
    RouterName router;
    PoolName pool;
    BackendServerName server;
};

//! A waiting request that will not get a slot.
struct SlotRefusal
{
    RequestId request;
    RouterName router;
    PoolName pool;
    int code = 0;           //!< Value of a ResultCode.
    Duration retryAfter {}; //!< Wait after which a new attempt is expected to succeed.
};

} // namespace crocusport

#endif // CROCUSPORT_SLOTREQUEST_H
