#ifndef CROCUSPORT_REQUESTRECORD_H
#define CROCUSPORT_REQUESTRECORD_H

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"
#include "nametable.h"

#include <boost/intrusive/list_hook.hpp>
#include <boost/intrusive/set_hook.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace crocusport {

//! Whether a request is expected to take a slot for a long time (docs/design.md section 4.1,
//! rule 4).
enum class RequestLength : std::uint8_t { Short, Long };

inline constexpr std::size_t kTierCount = kLowestTier;

/*!
    A request that waits for a slot or is running.

    The hooks link the record into the sets and lists of the scheduler, so that queueing a request
    allocates no memory.
*/
struct RequestRecord
{
    using Hook = boost::intrusive::set_member_hook<>;
    using ListHook = boost::intrusive::list_member_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    const RequestId *id = nullptr; //!< Owned by the RequestTable.
    RouterName router;
    Tier tier { kLowestTier };
    TeamIndex team;
    ClassIndex requestClass;
    ZoneIndex zone;
    ServerIndex server;      //!< Valid while the request is running.
    StartNumber serverStart; //!< The server's start number when the request started.
    RequestLength length = RequestLength::Short;
    bool running = false;
    bool due = false;          //!< dueAt passed while the request waited (tiers 2 to 4 only).
    bool crashSuspect = false; //!< The request is running and its fingerprint is a crash suspect.
    bool measured = false;     //!< The expected service time comes from measurements.
    std::uint64_t sequence = 0;
    Instant arrived;
    Instant queued;
    Instant deadline;
    Instant latestStart;  //!< Deadline minus twice the expected service time.
    Instant dueAt;        //!< latestStart, or arrival plus PoolPolicy::floorAfter if earlier.
    Instant expiresAt;    //!< The request is refused if it has not started by then.
    Duration expected {}; //!< Expected service time.
    PrefixHash prefix;
    Fingerprint fingerprint;
    std::vector<BackendServerName> excluded;

    ListHook newRequestsHook; //!< Linked until the first decision after the request was queued.
    ListHook reviewHook;      //!< Linked while the request waits.
    Hook laneHook;
    Hook dueHook;
    Hook expiryHook;

    std::size_t tierIndex() const { return static_cast<std::size_t>(tier.value() - kUrgentTier); }
    bool isUrgent() const { return tier.value() == kUrgentTier; }
    bool isLong() const { return length == RequestLength::Long; }
};

} // namespace crocusport

#endif // CROCUSPORT_REQUESTRECORD_H
