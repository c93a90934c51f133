#ifndef CROCUSPORT_DECIDEBENCHMARK_H
#define CROCUSPORT_DECIDEBENCHMARK_H

#include <cstdint>

namespace crocusport {

//! Size of the measured pool.
struct DecideSize
{
    std::uint32_t servers = 0;
    std::uint32_t teams = 0;
    std::uint32_t waiting = 8'000; //!< Requests that wait throughout, over all tiers.
};

//! Distribution of a time in microseconds.
struct TimeSummary
{
    double mean = 0;
    double p99 = 0;
};

//! What was measured for one size.
struct DecideFigures
{
    DecideSize size;
    TimeSummary cycle;  //!< One release, one submit and the decision that follows.
    TimeSummary decide; //!< The decision alone.
    double bytesPerWaitingRequest = 0;
};

/*!
    Measures \a decisions cycles of a saturated PoolScheduler, in which each decision starts one
    request. The reading of the clock, about 0.03 microseconds, is included.
*/
DecideFigures measureDecide(const DecideSize &size, std::uint32_t decisions);

} // namespace crocusport

#endif // CROCUSPORT_DECIDEBENCHMARK_H
