#ifndef CROCUSPORT_SLOTSCHEDULER_H
#define CROCUSPORT_SLOTSCHEDULER_H

#include "crocusport/state/poolscheduler.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocusport {

/*!
    A class that decides which waiting request of a pool gets a slot: PoolScheduler, or a baseline
    with which measurements compare it. PoolScheduler documents the methods.
*/
template<typename Scheduler>
concept SlotScheduler =
    std::constructible_from<Scheduler, const PoolPolicy &, std::uint64_t> && std::movable<
        Scheduler> && requires(Scheduler scheduler, const Scheduler &constScheduler,
                               const PoolPolicy &policy, const std::vector<BackendServer> &servers,
                               const BackendServerName &server, const SlotRequest &request,
                               const SlotRelease &slotRelease, const RequestId &id,
                               const RouterName &router, const std::string &crash,
                               StartNumber start, Fingerprint fingerprint, Instant now)
{
    scheduler.setPolicy(policy);
    scheduler.setBackendServers(servers, now);
    scheduler.markLeaving(server, start);
    scheduler.markUnavailable(server, start, now);
    scheduler.addCrashReport(fingerprint, crash, now);
    scheduler.submit(request, now);
    scheduler.release(slotRelease, now);
    scheduler.cancel(id, now);
    scheduler.removeRouter(router, now);
    {
        scheduler.decide(now)
        } -> std::same_as<SchedulerDecisions>;
    {
        constScheduler.nextDecisionTime(now)
        } -> std::same_as<std::optional<Instant>>;
    {
        constScheduler.estimate(id, now)
        } -> std::same_as<QueueEstimate>;
    {
        constScheduler.status(now)
        } -> std::same_as<PoolStatus>;
    {
        constScheduler.waitingCount()
        } -> std::same_as<std::size_t>;
    {
        constScheduler.runningCount()
        } -> std::same_as<std::size_t>;
};

static_assert(SlotScheduler<PoolScheduler>);

} // namespace crocusport

#endif // CROCUSPORT_SLOTSCHEDULER_H
