#ifndef CROCUSPORT_ANYSCHEDULER_H
#define CROCUSPORT_ANYSCHEDULER_H

#include "crocusport/coordination/queuepolicy.h"
#include "crocusport/state/fiforoundrobinscheduler.h"
#include "crocusport/state/leastoutstandingscheduler.h"
#include "crocusport/state/slotscheduler.h"

#include <utility>
#include <variant>

namespace crocusport {

/*!
    A scheduler whose type is chosen at run time by the queue policy. PoolScheduler documents the
    methods.

    Thread safety: none; use from one thread.
*/
class AnyScheduler
{
    // Defined before its uses, because the return type is deduced.
    template<typename Visitor>
    decltype(auto) visit(Visitor visitor)
    {
        return std::visit(visitor, scheduler_);
    }
    template<typename Visitor>
    decltype(auto) visit(Visitor visitor) const
    {
        return std::visit(visitor, scheduler_);
    }

public:
    AnyScheduler(QueuePolicy queuePolicy, const PoolPolicy &policy, std::uint64_t seed)
        : scheduler_(make(queuePolicy, policy, seed))
    { }

    void setPolicy(const PoolPolicy &policy)
    {
        visit([&](auto &scheduler) { scheduler.setPolicy(policy); });
    }
    void setBackendServers(const std::vector<BackendServer> &servers, Instant now)
    {
        visit([&](auto &scheduler) { scheduler.setBackendServers(servers, now); });
    }
    void markLeaving(const BackendServerName &server, StartNumber start)
    {
        visit([&](auto &scheduler) { scheduler.markLeaving(server, start); });
    }
    void markUnavailable(const BackendServerName &server, StartNumber start, Instant until)
    {
        visit([&](auto &scheduler) { scheduler.markUnavailable(server, start, until); });
    }
    void addCrashReport(Fingerprint fingerprint, const std::string &crash, Instant now)
    {
        visit([&](auto &scheduler) { scheduler.addCrashReport(fingerprint, crash, now); });
    }
    void submit(const SlotRequest &request, Instant now)
    {
        visit([&](auto &scheduler) { scheduler.submit(request, now); });
    }
    void release(const SlotRelease &release, Instant now)
    {
        visit([&](auto &scheduler) { scheduler.release(release, now); });
    }
    void cancel(const RequestId &request, Instant now)
    {
        visit([&](auto &scheduler) { scheduler.cancel(request, now); });
    }
    void removeRouter(const RouterName &router, Instant now)
    {
        visit([&](auto &scheduler) { scheduler.removeRouter(router, now); });
    }
    SchedulerDecisions decide(Instant now)
    {
        return visit([&](auto &scheduler) { return scheduler.decide(now); });
    }
    std::optional<Instant> nextDecisionTime(Instant now) const
    {
        return visit([&](const auto &scheduler) { return scheduler.nextDecisionTime(now); });
    }
    QueueEstimate estimate(const RequestId &request, Instant now) const
    {
        return visit([&](const auto &scheduler) { return scheduler.estimate(request, now); });
    }
    PoolStatus status(Instant now) const
    {
        return visit([&](const auto &scheduler) { return scheduler.status(now); });
    }
    std::size_t waitingCount() const
    {
        return visit([](const auto &scheduler) { return scheduler.waitingCount(); });
    }

private:
    using Scheduler =
        std::variant<PoolScheduler, LeastOutstandingScheduler, FifoRoundRobinScheduler>;

    static Scheduler make(QueuePolicy queuePolicy, const PoolPolicy &policy, std::uint64_t seed)
    {
        switch (queuePolicy) {
        case QueuePolicy::LeastOutstanding:
            return LeastOutstandingScheduler(policy, seed);
        case QueuePolicy::FifoRoundRobin:
            return FifoRoundRobinScheduler(policy, seed);
        case QueuePolicy::Holder:
        case QueuePolicy::Local:
            break;
        }
        return PoolScheduler(policy, seed);
    }

    Scheduler scheduler_;
};

} // namespace crocusport

#endif // CROCUSPORT_ANYSCHEDULER_H
