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
    Instant arrived;  //!< When the caller's request arrived, on the reader's clock.
    Instant deadline; //!< When the caller gives up, on the reader's clock.
    PrefixHash prefix;
    Fingerprint fingerprint;
    AvailabilityZone zone;                      //!< Zone of the router.
    std::vector<BackendServerName> excluded;    //!< Servers on which it has failed already.
    std::optional<BackendServerName> runningOn; //!< Set when repeated to a new holder.
};

//! How the use of a slot ended.
enum class ReleaseReason { Completed, Cancelled, Failed, Refused, Crashed, TimedOut };

//! What a router reports when it gives a slot back.
struct SlotRelease
{
    RequestId request;
    PoolName pool;
    BackendServerName server;
    ReleaseReason reason = ReleaseReason::Completed;
    Duration firstToken {}; //!< 0 when there was none.
    Duration tokenGap {};   //!< Mean gap between tokens; 0 when unknown.
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
    Duration retryAfter {}; //!< When a new attempt is expected to succeed.
};

} // namespace crocusport

#endif // CROCUSPORT_SLOTREQUEST_H
