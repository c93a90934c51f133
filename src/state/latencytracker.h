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
    many long prompts does not appear slow. For a request without a first token, the service time
    takes the place of the time to the first token.

    Thread safety: none; use from one thread.
*/
class LatencyTracker
{
public:
    //! Adds the latencies that \a release reports for a request of \a requestClass that ran on
    //! \a server with start number \a start. Discards the values of the server from another start.
    void add(ServerIndex server, StartNumber start, ClassIndex requestClass,
             const SlotRelease &release);
    //! Recomputes the medians over all listed servers, at most once a second and only if values
    //! were added. Returns whether it recomputed them, which is linear in the number of servers.
    bool refreshMedians(const BackendServerTable &servers, Instant now);
    //! Returns the larger of the server's relative time to the first token and relative time
    //! between tokens, each compared with the pool's median. Counts a value as 1 if it is unknown
    //! or the difference is negligible.
    double slowFactor(ServerIndex server) const;

private:
    //! Exponentially weighted mean.
    struct Mean
    {
        double value = 0;
        std::uint32_t samples = 0;

        void add(double sample);
    };
    //! Median by stochastic approximation. Used in place of a mean, which a few slow servers shift.
    struct Median
    {
        double value = 0;
        std::uint32_t samples = 0;

        void add(double sample);
    };
    struct Latency
    {
        Mean firstToken;       //!< Divided by the median of the class.
        Mean tokenGap;         //!< Divided by the median of the class.
        Mean firstTokenExcess; //!< Microseconds above the median of the class.
        Mean tokenGapExcess;   //!< Microseconds above the median of the class.
    };
    struct ClassLatency
    {
        Median firstToken;
        Median tokenGap;
    };
    struct Server
    {
        StartNumber start;
        Latency latency;
    };

    static void addSample(Median &classMedian, Mean &serverMean, Mean &excess, Duration value);
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
