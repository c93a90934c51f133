#include "crocusport/state/poolscheduler.h"

#include "poolschedulerprivate.h"
#include "serverstatus.h"

namespace crocusport {

PoolScheduler::PoolScheduler(const PoolPolicy &policy, std::uint64_t seed)
    : d_(std::make_unique<Private>(policy, seed))
{ }

PoolScheduler::~PoolScheduler() = default;
PoolScheduler::PoolScheduler(PoolScheduler &&) noexcept = default;
PoolScheduler &PoolScheduler::operator=(PoolScheduler &&) noexcept = default;

void PoolScheduler::setPolicy(const PoolPolicy &policy)
{
    d_->setPolicy(policy);
}

void PoolScheduler::setBackendServers(const std::vector<BackendServer> &servers, Instant now)
{
    if (d_->servers.setBackendServers(servers, now))
        d_->capacityFell = true;
    d_->changed = true;
}

void PoolScheduler::markLeaving(const BackendServerName &server, StartNumber start)
{
    d_->servers.markLeaving(server, start);
    d_->capacityFell = d_->changed = true;
}

void PoolScheduler::markUnavailable(const BackendServerName &server, StartNumber start,
                                    Instant until)
{
    d_->servers.markUnavailable(server, start, until);
    d_->capacityFell = d_->changed = true;
}

void PoolScheduler::addCrashReport(Fingerprint fingerprint, const std::string &crash, Instant now)
{
    d_->addCrashReport(fingerprint, crash, now);
}

void PoolScheduler::submit(const SlotRequest &request, Instant now)
{
    d_->submit(request, now);
}

void PoolScheduler::release(const SlotRelease &release, Instant now)
{
    d_->release(release, now);
}

void PoolScheduler::cancel(const RequestId &request, Instant /*now*/)
{
    if (auto *const record = d_->requests.find(request))
        d_->remove(*record);
}

void PoolScheduler::removeRouter(const RouterName &router, Instant /*now*/)
{
    const auto belongsToRouter = [&](const RequestRecord &record) {
        return record.router == router;
    };
    for (auto *const record : d_->requests.select(belongsToRouter))
        d_->remove(*record);
}

SchedulerDecisions PoolScheduler::decide(Instant now)
{
    return d_->decide(now);
}

std::optional<Instant> PoolScheduler::nextDecisionTime(Instant now) const
{
    return d_->nextDecisionTime(now);
}

QueueEstimate PoolScheduler::estimate(const RequestId &request, Instant now) const
{
    const auto *const record = d_->requests.find(request);
    return record == nullptr ? QueueEstimate {} : d_->estimate(*record, now);
}

PoolStatus PoolScheduler::status(Instant now) const
{
    PoolStatus status { .pool = d_->policy.name,
                        .waitingByTier = {},
                        .servers = serverStatus(d_->servers, now) };
    for (std::size_t tier = 0; tier < kTierCount; ++tier)
        status.waitingByTier.push_back(d_->waitingInTier(tier));
    return status;
}

std::size_t PoolScheduler::waitingCount() const
{
    return d_->waitingCount();
}

std::size_t PoolScheduler::runningCount() const
{
    return d_->requests.size() - d_->waitingCount();
}

} // namespace crocusport
