#ifndef CROCUSPORT_POOLSCHEDULERPRIVATE_H
#define CROCUSPORT_POOLSCHEDULERPRIVATE_H

#include "backendservertable.h"
#include "crocusport/state/crashledger.h"
#include "crocusport/state/poolscheduler.h"
#include "crocusport/state/resultcode.h"
#include "latencytracker.h"
#include "placement.h"
#include "queueestimator.h"
#include "requesttable.h"
#include "servicetimeestimator.h"
#include "waitingqueue.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace crocusport {

/*!
    Implementation of PoolScheduler: connects the waiting queue, the backend servers and the
    estimates of service times and latencies.

    Thread safety: none; use from one thread.
*/
struct PoolScheduler::Private
{
    Private(const PoolPolicy &poolPolicy, std::uint64_t seed);

    void setPolicy(const PoolPolicy &newPolicy);
    void submit(const SlotRequest &request, Instant now);
    void release(const SlotRelease &release, Instant now);
    //! Removes a waiting or running request.
    void remove(RequestRecord &record);
    void addCrashReport(Fingerprint fingerprint, const std::string &crash, Instant now);
    SchedulerDecisions decide(Instant now);
    std::optional<Instant> nextDecisionTime(Instant now) const;
    QueueEstimate estimate(const RequestRecord &record, Instant now) const;

    std::size_t waitingCount() const { return queue_.size(); }
    std::uint32_t waitingInTier(std::size_t tierIndex) const
    {
        return static_cast<std::uint32_t>(queue_.tier(tierIndex).size());
    }

    template<RequestRecord::ListHook RequestRecord::*hook>
    using RecordList = boost::intrusive::list<
        RequestRecord, boost::intrusive::member_hook<RequestRecord, RequestRecord::ListHook, hook>,
        boost::intrusive::constant_time_size<false>>;

    PoolPolicy policy;
    RequestTable requests;
    BackendServerTable servers;
    //! Set when servers or slots may have been lost; the next decision then checks for all waiting
    //! requests whether their deadlines can still be met.
    bool capacityFell = false;
    //! Set by calls after which decide() may have something to do.
    bool changed = false;

private:
    RequestRecord &createRecord(const SlotRequest &request, Instant now);
    void updateEstimate(RequestRecord &record);
    bool isEstimateOutdated(const RequestRecord &record) const;
    void enqueue(RequestRecord &record);
    void dequeue(RequestRecord &record);
    void occupy(RequestRecord &record, ServerIndex server);
    void addMeasurements(const RequestRecord &record, const SlotRelease &release);
    void recordCrash(const RequestRecord &record, Instant now);
    void clearCrashes(Fingerprint fingerprint);
    void setCrashSuspect(Fingerprint fingerprint, bool crashSuspect);
    void refreshSlowFactors(Instant now);
    void expireCrashes(Instant now);

    PoolCapacity capacity() const;
    bool canRun(const RequestRecord &record) const;
    std::optional<ResultCode> refusalReason(const RequestRecord &record, Duration slack,
                                            Instant now) const;
    Duration retryAfter(const RequestRecord &record, Instant now) const;
    void refuse(RequestRecord &record, ResultCode code, Duration retryAfter);
    void refuseSuspectedCrashCauses(Instant now);
    void refuseExpired(Instant now);
    void admitNewRequests(Instant now);
    void refuseAboveBound(Instant now);
    void refuseIfCannotSucceed(RequestRecord &record, Duration slack, Instant now);
    void review(Instant now);

    enum class Pick { Urgent, Lower, LowerDue };
    void startAll(Instant now);
    bool startNext(Instant now);
    bool startFirst(Pick pick, Instant now);
    RequestRecord *front(Pick pick);
    void start(RequestRecord &record, ServerIndex server, bool crashSuspect);

    NameTable<TeamName, TeamIndex> teams_;
    NameTable<ClassName, ClassIndex> classes_;
    ServiceTimeEstimator serviceTimes_;
    LatencyTracker latencies_;
    CrashLedger crashes_;
    Placement placement_;
    QueueEstimator estimator_;
    WaitingQueue queue_;
    RecordList<&RequestRecord::newRequestsHook> newRequests_;
    RecordList<&RequestRecord::reviewHook> reviews_;
    //! Waiting requests that may use none of the free slots; put back into the queue when the
    //! decision has started all others that it can.
    std::vector<RequestRecord *> setAside_;
    SchedulerDecisions decisions_;
    std::uint32_t lowerRunning_ = 0;
    bool crashesChanged_ = false;
    Instant nextCrashExpiry_ {};
};

} // namespace crocusport

#endif // CROCUSPORT_POOLSCHEDULERPRIVATE_H
