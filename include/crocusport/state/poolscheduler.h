#ifndef CROCUSPORT_POOLSCHEDULER_H
#define CROCUSPORT_POOLSCHEDULER_H

#include "crocusport/state/backendserver.h"
#include "crocusport/state/configuration.h"
#include "crocusport/state/slotrequest.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusport {

//! The result of one call of decide().
struct SchedulerDecisions
{
    std::vector<SlotGrant> grants;
    std::vector<SlotRefusal> refusals;
};

//! The estimated position and remaining wait of a waiting request.
struct QueueEstimate
{
    std::uint32_t position = 0; //!< Number of requests that are expected to start earlier.
    Duration wait {};
};

//! State of one backend server in the scheduler, for operators.
struct BackendServerStatus
{
    BackendServer server;
    std::uint32_t running = 0;
    double slowFactor = 1;       //!< Latency relative to the pool's median.
    std::string excludedBecause; //!< Empty if the server gets new requests.
};

//! State of one pool, for operators.
struct PoolStatus
{
    PoolName pool;
    std::vector<std::uint32_t> waitingByTier; //!< Index 0 is tier 1.
    std::vector<BackendServerStatus> servers;
};

/*!
    Decides which waiting request of one pool gets the next free slot, and on which backend server
    (docs/design.md section 4.1, 4.5 and 4.6). Deterministic: the same calls in the same order give
    the same decisions.

    Thread safety: none; use from one thread. \a now never decreases from call to call.
*/
class PoolScheduler
{
public:
    PoolScheduler(const PoolPolicy &policy, std::uint64_t seed);
    ~PoolScheduler();
    PoolScheduler(PoolScheduler &&) noexcept;
    PoolScheduler &operator=(PoolScheduler &&) noexcept;

    void setPolicy(const PoolPolicy &policy);
    //! Replaces the list of servers. A server that is no longer listed keeps its running requests
    //! until they are released, cancelled or removed with their router.
    void setBackendServers(const std::vector<BackendServer> &servers, Instant now);
    //! Gives \a server no new requests until a start number above \a start is known. Does nothing
    //! if such a number is known already.
    void markLeaving(const BackendServerName &server, StartNumber start);
    //! Gives \a server no new requests until the time \a until, or until a start number above
    //! \a start is known if that is earlier. Called when a router saw the server crash or fail to
    //! answer. Does nothing if such a start number is known already.
    void markUnavailable(const BackendServerName &server, StartNumber start, Instant until);
    //! Merges the report that a request with \a fingerprint was running during the backend-server
    //! crash with id \a crash; see crashId().
    void addCrashReport(Fingerprint fingerprint, const std::string &crash, Instant now);

    /*!
        Queues \a request. If its runningOn is set, records it as running on that server instead.
        Does nothing if the request is known already.
    */
    void submit(const SlotRequest &request, Instant now);
    /*!
        Frees the slot of a running request. If the request completed, updates the estimates of the
        service time and of the server's latency and clears the crashes of the request's
        fingerprint. If the server crashed, counts the crash for the request's fingerprint, unless
        another request on the server is a crash suspect and this one is not. Does nothing if the
        request is not running.
    */
    void release(const SlotRelease &release, Instant now);
    //! Removes a waiting or running request. Does nothing if it is unknown.
    void cancel(const RequestId &request, Instant now);
    //! Removes all requests of \a router, which is no longer a member of the fleet.
    void removeRouter(const RouterName &router, Instant now);

    //! Starts the waiting requests that can start at \a now and refuses those that must be refused.
    SchedulerDecisions decide(Instant now);
    //! Returns the next time at which decide() may have something to do, if no other method is
    //! called before; nothing if there is none.
    std::optional<Instant> nextDecisionTime(Instant now) const;

    QueueEstimate estimate(const RequestId &request, Instant now) const;
    PoolStatus status(Instant now) const;
    std::size_t waitingCount() const;
    std::size_t runningCount() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace crocusport

#endif // CROCUSPORT_POOLSCHEDULER_H
