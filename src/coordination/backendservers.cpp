#include "backendservers.h"

#include <numeric>
#include <utility>

namespace crocusport {

namespace {

//! A crashed backend server that is back sooner is used as soon as its newer start number is seen.
constexpr Duration kCrashedFor = std::chrono::seconds(30);
//! Long enough for a probe on a new connection to settle the suspicion.
constexpr Duration kSuspectedFor = std::chrono::seconds(5);
//! Crash marks hold for 10 minutes (docs/design.md section 4.5).
constexpr Duration kEvidenceAge = std::chrono::minutes(10);
constexpr std::size_t kMaxEvidence = 4096;

} // namespace

void BackendServers::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    configuration_ = std::move(configuration);
}

void BackendServers::setServers(const std::vector<BackendServer> &servers)
{
    servers_.clear();
    for (const auto &server : servers)
        servers_[server.pool].push_back(server);
}

void BackendServers::addEvidence(const Observation &observation, Instant now)
{
    evidence_.emplace_back(now, observation);
    while (evidence_.size() > kMaxEvidence || now - evidence_.front().first > kEvidenceAge)
        evidence_.pop_front();
}

PoolPolicy BackendServers::policyOf(const PoolName &pool) const
{
    if (configuration_) {
        const auto found = configuration_->pools.find(pool);
        if (found != configuration_->pools.end())
            return found->second;
    }
    PoolPolicy policy;
    policy.name = pool;
    return policy;
}

const std::vector<BackendServer> &BackendServers::serversOf(const PoolName &pool) const
{
    static const std::vector<BackendServer> kNone;
    const auto found = servers_.find(pool);
    return found == servers_.end() ? kNone : found->second;
}

std::size_t BackendServers::slotsOf(const PoolName &pool) const
{
    const auto &servers = serversOf(pool);
    return std::accumulate(servers.begin(), servers.end(), std::size_t { 0 },
                           [](std::size_t sum, const auto &server) { return sum + server.slots; });
}

AnyScheduler BackendServers::makeScheduler(const PoolName &pool, QueuePolicy queuePolicy,
                                           std::uint64_t seed, Instant now) const
{
    AnyScheduler scheduler(queuePolicy, policyOf(pool), seed);
    scheduler.setBackendServers(serversOf(pool), now);
    for (const auto &[observedAt, observation] : evidence_)
        apply(scheduler, observation, observedAt, now);
    return scheduler;
}

void BackendServers::apply(AnyScheduler &scheduler, const Observation &observation,
                           Instant observedAt, Instant now)
{
    switch (observation.kind) {
    case ObservationKind::Leaving:
        scheduler.markLeaving(observation.server, observation.start);
        break;
    case ObservationKind::Crashed:
        if (observedAt + kCrashedFor > now)
            scheduler.markUnavailable(observation.server, observation.start,
                                      observedAt + kCrashedFor);
        scheduler.addCrashReport(observation.fingerprint, observation.crash, now);
        break;
    case ObservationKind::Suspected:
        if (observedAt + kSuspectedFor > now)
            scheduler.markUnavailable(observation.server, observation.start,
                                      observedAt + kSuspectedFor);
        break;
    }
}

} // namespace crocusport
