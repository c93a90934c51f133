#ifndef CROCUSPORT_SERVICETIMEESTIMATOR_H
#define CROCUSPORT_SERVICETIMEESTIMATOR_H

#include "crocusport/state/instant.h"
#include "nametable.h"

#include <cstdint>
#include <unordered_map>

namespace crocusport {

//! The estimated service time of the requests of a class and team.
struct ServiceTimeEstimate
{
    Duration mean {};
    Duration p90 {};
    bool measured = false; //!< False if no request of the class has completed yet.
};

/*!
    Estimates the service time for each class and team from completed requests: an exponentially
    weighted mean, and a p90 that follows recent values by stochastic approximation. A team without
    completed requests of a class gets the estimate of the class over all teams.

    Thread safety: none; use from one thread.
*/
class ServiceTimeEstimator
{
public:
    void add(ClassIndex requestClass, TeamIndex team, Duration serviceTime);
    ServiceTimeEstimate estimate(ClassIndex requestClass, TeamIndex team) const;

private:
    struct Entry
    {
        double mean = 0; //!< In microseconds, like p90 and deviation.
        double p90 = 0;
        double deviation = 0;
        std::uint32_t samples = 0;

        void add(double value);
        ServiceTimeEstimate estimate() const;
    };

    std::unordered_map<std::uint64_t, Entry> teams_;
    std::unordered_map<ClassIndex, Entry> classes_;
};

} // namespace crocusport

#endif // CROCUSPORT_SERVICETIMEESTIMATOR_H
