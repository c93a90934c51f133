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

//! What a scheduler has decided since the last call.
struct SchedulerDecisions
{
    std::vector<SlotGrant> grants;
    std::vector<SlotRefusal> refusals;
};

//! Where a waiting request stands.
struct QueueEstimate
{
    std::uint32_t position = 0; //!< Requests that are expected to start earlier.
    Duration wait {};
};

//! State of one backend server as the scheduler sees it, for operators.
struct BackendServerStatus
{
    BackendServer server;
    std::uint32_t running = 0;
    double slowFactor = 1;       //!< Latency relative to the pool's median.
    std::string excludedBecause; //!< Empty when it takes new requests.
};

//! State of one pool, for operators.
struct PoolStatus
{
    PoolName pool;
    std::vector<std::uint32_t> waitingByTier; //!< Index 0 is tier 1.
    std::vector<BackendServerStatus> servers;
};

/*!
    Decides which waiting request of one pool gets the next free slot, and where
    (docs/design.md section 4.1, 4.5 and 4.6). Pure: the same calls in the same order give the same
    decisions.

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
    //! Replaces the set of servers. Requests running on a server that is gone stay counted for it.
    void setBackendServers(const std::vector<BackendServer> &servers, Instant now);
    //! Excludes \a server from new requests until a newer start number is seen.
    void markLeaving(const BackendServerName &server, StartNumber start);
    //! Excludes \a server until \a until, because it was seen to crash or not to answer.
    void markUnavailable(const BackendServerName &server, StartNumber start, Instant until);
    //! Merges evidence that \a fingerprint was running when \a server crashed (crash id \a crash).
    void addCrashMark(Fingerprint fingerprint, const std::string &crash, Instant now);

    /*!
        Queues \a request; with runningOn set, records it as running there instead. Does nothing if
        the request is known already.
    */
    void submit(const SlotRequest &request, Instant now);
    //! Frees a slot and learns from the report. Does nothing if the request is not running.
    void release(const SlotRelease &release, Instant now);
    //! Forgets a waiting or running request.
    void cancel(const RequestId &request, Instant now);
    //! Forgets all requests of a router that has died.
    void removeRouter(const RouterName &router, Instant now);

    //! Starts and refuses whatever can be at \a now.
    SchedulerDecisions decide(Instant now);
    //! When decide() may have something to do without any further call.
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
