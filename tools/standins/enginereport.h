#ifndef CROCUSPORT_ENGINEREPORT_H
#define CROCUSPORT_ENGINEREPORT_H

#include "crocusport/state/instant.h"

#include <cstdint>
#include <deque>
#include <string>

namespace crocusport {

//! What an engine reports about itself.
struct EngineCounts
{
    std::uint64_t slots = 0;
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t resumed = 0;
    std::uint64_t tokens = 0;
    std::uint64_t wastedTokens = 0; //!< Generated for requests that were cancelled later.
    double prefixHits = 0;          //!< Sum over requests of the cached share of the prompt.
};

/*!
    Keeps samples of an engine's counts, so that its report can lag behind.

    Thread safety: none; use from one thread.
*/
class EngineReport
{
public:
    explicit EngineReport(Duration lag) : lag_(lag) { }

    void sample(const EngineCounts &counts, Instant now);
    //! Prometheus text of the newest sample that is at least as old as the lag.
    std::string text(Instant now) const;
    //! Prometheus text of \a counts.
    static std::string textOf(const EngineCounts &counts);

private:
    struct Sample
    {
        Instant taken;
        EngineCounts counts;
    };

    Duration lag_;
    std::deque<Sample> samples_;
};

} // namespace crocusport

#endif // CROCUSPORT_ENGINEREPORT_H
