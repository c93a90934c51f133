#ifndef CROCUSPORT_LATENCYTRACKER_H
#define CROCUSPORT_LATENCYTRACKER_H

#include "backendservertable.h"
#include "crocusport/state/slotrequest.h"
#include "nametable.h"

#include <unordered_map>
#include <vector>

namespace crocusport {

/*!
    Compares the latency of backend servers (docs/design.md section 4.6).

    Each value is first divided by the median of its class, so that a server that happens to run
    long prompts does not appear slow. Requests without tokens are compared by service time.

    Thread safety: none; use from one thread.
*/
class LatencyTracker
{
public:
    //! Learns from \a release of a request of \a requestClass that ran on \a server.
    void add(ServerIndex server, StartNumber start, ClassIndex requestClass,
             const SlotRelease &release);
    //! Recomputes the medians, at most once a second. Returns whether it did. Linear when it does.
    bool refreshMedians(const BackendServerTable &servers, Instant now);
    //! Returns the latency of \a server relative to the pool's median; 1 when it is unknown.
    double slowFactor(ServerIndex server) const;

private:
    //! Exponentially weighted mean.
    struct Mean
    {
        double value = 0;
        std::uint32_t samples = 0;

        void add(double sample);
    };
    //! Median by stochastic approximation; unlike a mean, a few slow servers do not shift it.
    struct Median
    {
        double value = 0;
        std::uint32_t samples = 0;

        void add(double sample);
    };
    struct Latency
    {
        Mean firstToken;
        Mean tokenGap;
        Mean firstTokenExcess; //!< Microseconds above the median of the class.
        Mean tokenGapExcess;
    };
    struct ClassLatency
    {
        Median firstToken;
        Median tokenGap;
    };
    struct Server
    {
        StartNumber start;
        Latency latency; //!< Relative to the medians of the classes.
    };

    static void learn(Median &ofClass, Mean &ofServer, Mean &excess, Duration value);
    double median(const BackendServerTable &servers, Mean Latency::*mean);

    std::vector<Server> servers_;
    std::unordered_map<ClassIndex, ClassLatency> classes_;
    std::vector<double> scratch_;
    double medianFirstToken_ = 0;
    double medianTokenGap_ = 0;
    Instant nextRefresh_ {};
    bool changed_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_LATENCYTRACKER_H
