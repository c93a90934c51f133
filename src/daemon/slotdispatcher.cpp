#include "slotdispatcher.h"

#include "crocusport/transport/eventloop.h"

#include <algorithm>
#include <utility>

namespace crocusport {

SlotDispatcher::SlotDispatcher(EventLoop &loop, const RouterName &self, QueuePolicy policy,
                               std::uint64_t seed, Sender send)
    : loop_(loop), broker_(self, policy, seed), send_(std::move(send)),
      runTimer_(loop, [this] { run(); })
{ }

void SlotDispatcher::request(const SlotRequest &request, const std::shared_ptr<SlotWaiter> &waiter)
{
    waiters_[request.request] = waiter;
    broker_.request(request, monotonicNow());
    scheduleRun();
}

void SlotDispatcher::cancel(const RequestId &request)
{
    waiters_.erase(request);
    broker_.cancel(request, monotonicNow());
    scheduleRun();
}

void SlotDispatcher::release(const SlotRelease &release)
{
    broker_.release(release, monotonicNow());
    scheduleRun();
}

void SlotDispatcher::handleMessage(const RouterName &from, const PeerMessage &message)
{
    broker_.handleMessage(from, message, monotonicNow());
    scheduleRun();
}

void SlotDispatcher::observe(const Observation &observation)
{
    broker_.observe(observation, monotonicNow());
    scheduleRun();
}

void SlotDispatcher::setConfiguration(const std::shared_ptr<const Configuration> &configuration)
{
    broker_.setConfiguration(configuration, monotonicNow());
    scheduleRun();
}

void SlotDispatcher::setMembers(const std::vector<RouterName> &liveMembers,
                                const std::vector<RouterName> &leavingMembers)
{
    broker_.setMembers(liveMembers, leavingMembers, monotonicNow());
    scheduleRun();
}

void SlotDispatcher::setBackendServers(const std::vector<BackendServer> &servers)
{
    broker_.setBackendServers(servers, monotonicNow());
    scheduleRun();
}

void SlotDispatcher::scheduleRun()
{
    if (isRunScheduled_)
        return;
    isRunScheduled_ = true;
    runTimer_.startOnce(Duration::zero());
}

void SlotDispatcher::run()
{
    isRunScheduled_ = false;
    const auto now = monotonicNow();
    deliver(broker_.run(now));
    if (isRunScheduled_)
        return;
    if (const auto next = broker_.nextRunTime(monotonicNow()))
        runTimer_.startOnce(std::max(*next - now, Duration::zero()));
}

void SlotDispatcher::deliver(const SlotBrokerOutput &output)
{
    for (const auto &message : output.messages)
        send_(message);
    for (const auto &grant : output.grants) {
        if (const auto waiter = takeWaiter(grant.request)) {
            waiter->onSlotGranted(grant);
            continue;
        }
        SlotRelease release;
        release.request = grant.request;
        release.pool = grant.pool;
        release.server = grant.server;
        release.reason = ReleaseReason::Cancelled;
        broker_.release(release, monotonicNow());
        scheduleRun();
    }
    for (const auto &refusal : output.refusals) {
        if (const auto waiter = takeWaiter(refusal.request))
            waiter->onSlotRefused(refusal);
    }
}

std::shared_ptr<SlotWaiter> SlotDispatcher::takeWaiter(const RequestId &request)
{
    const auto entry = waiters_.find(request);
    if (entry == waiters_.end())
        return nullptr;
    auto waiter = entry->second.lock();
    waiters_.erase(entry);
    return waiter;
}

} // namespace crocusport
