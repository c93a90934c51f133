#include "backendservers.h"

#include <numeric>
#include <utility>

namespace crocusport {

namespace {

//! A backend server that has crashed gets no new requests for this long. A server that is back
//! sooner is used as soon as its newer start number is known.
constexpr Duration kCrashExclusion = std::chrono::seconds(30);
//! A suspected backend server gets no new requests for this long, which is enough for a probe on a
//! new connection to show whether the server has failed.
constexpr Duration kSuspicionExclusion = std::chrono::seconds(5);
//! Observations are kept for 10 minutes, because crash marks are valid for that long
//! (docs/design.md section 4.5). Older ones are removed when another one is added.
constexpr Duration kMaxObservationAge = std::chrono::minutes(10);
constexpr std::size_t kMaxObservations = 4096;

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

void BackendServers::addObservation(const Observation &observation, Instant now)
{
    observations_.emplace_back(now, observation);
    while (observations_.size() > kMaxObservations
           || now - observations_.front().first > kMaxObservationAge)
        observations_.pop_front();
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
    for (const auto &[observedAt, observation] : observations_)
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
        if (observedAt + kCrashExclusion > now)
            scheduler.markUnavailable(observation.server, observation.start,
                                      observedAt + kCrashExclusion);
        scheduler.addCrashReport(observation.fingerprint, observation.crash, now);
        break;
    case ObservationKind::Suspected:
        if (observedAt + kSuspicionExclusion > now)
            scheduler.markUnavailable(observation.server, observation.start,
                                      observedAt + kSuspicionExclusion);
        break;
    }
}

} // namespace crocusport
