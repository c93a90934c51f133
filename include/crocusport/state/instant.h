#ifndef CROCUSPORT_INSTANT_H
#define CROCUSPORT_INSTANT_H

#include <chrono>

namespace crocusport {

using Duration = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
//! Time of the router's monotonic clock. Code that makes decisions receives it as an argument.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

//! Returns the current time of the monotonic clock. Safe from any thread.
inline Instant monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

//! Returns \a duration in seconds. Safe from any thread.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace crocusport

#endif // CROCUSPORT_INSTANT_H
