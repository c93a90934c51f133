#ifndef CROCUSPORT_SERVICETIMEESTIMATOR_H
#define CROCUSPORT_SERVICETIMEESTIMATOR_H

#include "crocusport/state/instant.h"
#include "nametable.h"

#include <cstdint>
#include <unordered_map>

namespace crocusport {

//! What is known about the service time of a class and team.
struct ServiceTimeEstimate
{
    Duration mean {};
    Duration p90 {};
    bool learned = false; //!< False when nothing of the class has completed yet.
};

/*!
    Learns the service time of each class and team from completed requests: an exponentially
    weighted mean, and a p90 that follows recent values by stochastic approximation. A team without
    measurements has the estimate of its class.

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
        double mean = 0; //!< In microseconds, like the others.
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
