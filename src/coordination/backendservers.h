#ifndef CROCUSPORT_BACKENDSERVERS_H
#define CROCUSPORT_BACKENDSERVERS_H

#include "anyscheduler.h"
#include "crocusport/coordination/observation.h"
#include "crocusport/state/configuration.h"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace crocusport {

/*!
    The data from which schedulers are made: the configuration, the backend servers and the recent
    observations about them.

    Thread safety: none; use from one thread.
*/
class BackendServers
{
public:
    void setConfiguration(std::shared_ptr<const Configuration> configuration);
    void setServers(const std::vector<BackendServer> &servers);
    //! Stores \a observation for schedulers that are made later.
    void addObservation(const Observation &observation, Instant now);

    //! Returns the configured policy of \a pool, or a default one if none is configured.
    PoolPolicy policyOf(const PoolName &pool) const;
    const std::vector<BackendServer> &serversOf(const PoolName &pool) const;
    //! Returns the total number of slots of the servers of \a pool.
    std::size_t slotsOf(const PoolName &pool) const;
    //! Returns a scheduler for \a pool with its policy, servers and stored observations.
    AnyScheduler makeScheduler(const PoolName &pool, QueuePolicy queuePolicy, std::uint64_t seed,
                               Instant now) const;

    //! Applies \a observation, which was added at \a observedAt, to \a scheduler.
    static void apply(AnyScheduler &scheduler, const Observation &observation, Instant observedAt,
                      Instant now);

private:
    std::shared_ptr<const Configuration> configuration_;
    std::map<PoolName, std::vector<BackendServer>> servers_;
    std::deque<std::pair<Instant, Observation>> observations_;
};

} // namespace crocusport

#endif // CROCUSPORT_BACKENDSERVERS_H
