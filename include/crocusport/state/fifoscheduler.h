#ifndef CROCUSPORT_FIFOSCHEDULER_H
#define CROCUSPORT_FIFOSCHEDULER_H

#include "crocusport/state/poolscheduler.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusport {

//! A backend server that has a free slot for the next request.
struct ServerCandidate
{
    std::uint32_t index = 0; //!< Stays the same while the server is listed.
    std::uint32_t running = 0;
};

/*!
    Base class of the baseline schedulers, with which measurements compare PoolScheduler: one
    first-in-first-out queue without tiers, fairness between teams, slow factors or separation of
    crash suspects. Subclasses choose the backend server.

    PoolScheduler documents the methods. Each decision scans all requests and servers.

    Thread safety: none; use from one thread.
*/
class FifoScheduler
{
public:
    virtual ~FifoScheduler();

    void setPolicy(const PoolPolicy &policy);
    void setBackendServers(const std::vector<BackendServer> &servers, Instant now);
    void markLeaving(const BackendServerName &server, StartNumber start);
    void markUnavailable(const BackendServerName &server, StartNumber start, Instant until);
    //! Does nothing: the baselines do not keep crash suspects apart.
    void addCrashReport(Fingerprint fingerprint, const std::string &crash, Instant now);
    void submit(const SlotRequest &request, Instant now);
    void release(const SlotRelease &release, Instant now);
    void cancel(const RequestId &request, Instant now);
    void removeRouter(const RouterName &router, Instant now);
    SchedulerDecisions decide(Instant now);
    std::optional<Instant> nextDecisionTime(Instant now) const;
    QueueEstimate estimate(const RequestId &request, Instant now) const;
    PoolStatus status(Instant now) const;
    std::size_t waitingCount() const;
    std::size_t runningCount() const;

protected:
    explicit FifoScheduler(const PoolPolicy &policy);
    FifoScheduler(FifoScheduler &&) noexcept;
    FifoScheduler &operator=(FifoScheduler &&) noexcept;

private:
    //! Returns the member of \a candidates that gets the next request. Precondition: not empty.
    virtual const ServerCandidate &choose(const std::vector<ServerCandidate> &candidates) = 0;

    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace crocusport

#endif // CROCUSPORT_FIFOSCHEDULER_H
