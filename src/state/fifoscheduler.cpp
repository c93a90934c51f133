#include "crocusport/state/fifoscheduler.h"

#include "crocusport/state/resultcode.h"
#include "serverstatus.h"
#include "servicetimeestimator.h"

#include <algorithm>
#include <list>
#include <unordered_map>
#include <utility>

namespace crocusport {

struct FifoScheduler::Private
{
    PoolPolicy policy;
    BackendServerTable servers;
    std::list<SlotRequest> queue;
    //! Of the records only the server is set; BackendServerTable needs them to count slots in use.
    std::unordered_map<RequestId, std::pair<SlotRequest, RequestRecord>> running;
    //! One estimate for all requests, because the baselines do not distinguish classes or teams.
    ServiceTimeEstimator serviceTimes;
    bool changed = false;

    bool isKnown(const RequestId &request) const;
    void occupy(const SlotRequest &request, ServerIndex server);
    void removeRunning(const RequestId &request);
    Duration waitAt(std::size_t position) const;
    std::vector<ServerCandidate> candidatesFor(const SlotRequest &request) const;
    SlotRefusal refusalOf(const SlotRequest &request, ResultCode code) const;
    void refuseExpiredAndExcess(SchedulerDecisions &decisions, Instant now);
};

bool FifoScheduler::Private::isKnown(const RequestId &request) const
{
    return running.contains(request)
        || std::any_of(queue.begin(), queue.end(),
                       [&](const SlotRequest &waiting) { return waiting.request == request; });
}

void FifoScheduler::Private::occupy(const SlotRequest &request, ServerIndex server)
{
    auto &entry = running[request.request];
    entry.first = request;
    entry.second.server = server;
    servers.occupy(entry.second);
}

void FifoScheduler::Private::removeRunning(const RequestId &request)
{
    if (const auto found = running.find(request); found != running.end()) {
        servers.vacate(found->second.second);
        running.erase(found);
    }
    changed = true;
}

Duration FifoScheduler::Private::waitAt(std::size_t position) const
{
    const auto mean = serviceTimes.estimate({}, {}).mean;
    return mean * static_cast<std::int64_t>(position + 1) / std::max(1U, servers.slots());
}

std::vector<ServerCandidate> FifoScheduler::Private::candidatesFor(const SlotRequest &request) const
{
    std::vector<ServerCandidate> candidates;
    const auto &withFreeSlot = servers.serversWithFreeSlot(RequestLength::Short);
    for (std::size_t i = 0; i < withFreeSlot.size(); ++i) {
        const auto &entry = servers.at(withFreeSlot.at(i));
        if (std::find(request.excluded.begin(), request.excluded.end(), entry.server.name)
            == request.excluded.end())
            candidates.push_back({ .index = withFreeSlot.at(i).value(), .running = entry.running });
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto &left, const auto &right) { return left.index < right.index; });
    return candidates;
}

SlotRefusal FifoScheduler::Private::refusalOf(const SlotRequest &request, ResultCode code) const
{
    return { .request = request.request,
             .router = request.router,
             .pool = policy.name,
             .code = static_cast<int>(code),
             .retryAfter = waitAt(queue.size()) };
}

void FifoScheduler::Private::refuseExpiredAndExcess(SchedulerDecisions &decisions, Instant now)
{
    queue.remove_if([&](const SlotRequest &request) {
        const bool expired = request.deadline <= now;
        if (expired)
            decisions.refusals.push_back(refusalOf(request, ResultCode::DeadlinePassed));
        return expired;
    });
    while (queue.size() > policy.maxQueuedPerTier) {
        decisions.refusals.push_back(refusalOf(queue.back(), ResultCode::QueueFull));
        queue.pop_back();
    }
}

FifoScheduler::FifoScheduler(const PoolPolicy &policy) : d_(std::make_unique<Private>())
{
    d_->policy = policy;
}

FifoScheduler::~FifoScheduler() = default;
FifoScheduler::FifoScheduler(FifoScheduler &&) noexcept = default;
FifoScheduler &FifoScheduler::operator=(FifoScheduler &&) noexcept = default;

void FifoScheduler::setPolicy(const PoolPolicy &policy)
{
    d_->policy = policy;
    d_->changed = true;
}

void FifoScheduler::setBackendServers(const std::vector<BackendServer> &servers, Instant now)
{
    d_->servers.setBackendServers(servers, now);
    d_->changed = true;
}

void FifoScheduler::markLeaving(const BackendServerName &server, StartNumber start)
{
    d_->servers.markLeaving(server, start);
}

void FifoScheduler::markUnavailable(const BackendServerName &server, StartNumber start,
                                    Instant until)
{
    d_->servers.markUnavailable(server, start, until);
}

void FifoScheduler::addCrashReport(Fingerprint /*fingerprint*/, const std::string & /*crash*/,
                                   Instant /*now*/)
{ }

void FifoScheduler::submit(const SlotRequest &request, Instant /*now*/)
{
    if (d_->isKnown(request.request))
        return;
    if (request.runningOn)
        d_->occupy(request, d_->servers.indexOf(*request.runningOn));
    else
        d_->queue.push_back(request);
    d_->changed = true;
}

void FifoScheduler::release(const SlotRelease &release, Instant /*now*/)
{
    if (!d_->running.contains(release.request))
        return;
    if (release.reason == ReleaseReason::Completed && release.serviceTime > Duration::zero())
        d_->serviceTimes.add({}, {}, release.serviceTime);
    d_->removeRunning(release.request);
}

void FifoScheduler::cancel(const RequestId &request, Instant /*now*/)
{
    d_->removeRunning(request);
    d_->queue.remove_if([&](const SlotRequest &waiting) { return waiting.request == request; });
}

void FifoScheduler::removeRouter(const RouterName &router, Instant /*now*/)
{
    d_->queue.remove_if([&](const SlotRequest &waiting) { return waiting.router == router; });
    std::vector<RequestId> routerRequests;
    for (const auto &[id, entry] : d_->running) {
        if (entry.first.router == router)
            routerRequests.push_back(id);
    }
    for (const auto &id : routerRequests)
        d_->removeRunning(id);
}

SchedulerDecisions FifoScheduler::decide(Instant now)
{
    SchedulerDecisions decisions;
    d_->servers.advance(now);
    for (auto it = d_->queue.begin(); it != d_->queue.end();) {
        const auto current = it++;
        if (d_->servers.serversWithFreeSlot(RequestLength::Short).empty())
            break;
        const auto candidates = d_->candidatesFor(*current);
        if (candidates.empty() || current->deadline <= now)
            continue;
        const ServerIndex server(choose(candidates).index);
        d_->occupy(*current, server);
        decisions.grants.push_back({ .request = current->request,
                                     .router = current->router,
                                     .pool = d_->policy.name,
                                     .server = d_->servers.at(server).server.name });
        d_->queue.erase(current);
    }
    d_->refuseExpiredAndExcess(decisions, now);
    d_->changed = false;
    return decisions;
}

std::optional<Instant> FifoScheduler::nextDecisionTime(Instant now) const
{
    if (d_->changed)
        return now;
    if (d_->queue.empty())
        return std::nullopt;
    const auto first = std::min_element(
        d_->queue.begin(), d_->queue.end(),
        [](const auto &left, const auto &right) { return left.deadline < right.deadline; });
    const auto wakeup = d_->servers.nextEventTime();
    return wakeup ? std::min(*wakeup, first->deadline) : first->deadline;
}

QueueEstimate FifoScheduler::estimate(const RequestId &request, Instant /*now*/) const
{
    std::size_t position = 0;
    for (const auto &waiting : d_->queue) {
        if (waiting.request == request)
            return { .position = static_cast<std::uint32_t>(position),
                     .wait = d_->waitAt(position) };
        ++position;
    }
    return {};
}

PoolStatus FifoScheduler::status(Instant now) const
{
    PoolStatus status { .pool = d_->policy.name,
                        .waitingByTier = std::vector<std::uint32_t>(kTierCount),
                        .servers = serverStatus(d_->servers, now) };
    for (const auto &waiting : d_->queue)
        ++status.waitingByTier.at(static_cast<std::size_t>(waiting.tier.value() - kUrgentTier));
    return status;
}

std::size_t FifoScheduler::waitingCount() const
{
    return d_->queue.size();
}

std::size_t FifoScheduler::runningCount() const
{
    return d_->running.size();
}

} // namespace crocusport
