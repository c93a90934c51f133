#ifndef CROCUSPORT_UPTIME_H
#define CROCUSPORT_UPTIME_H

#include "crocusport/state/instant.h"

#include <ctime>

namespace crocusport {

/*!
    Time since the host's start, including the time for which it was suspended. What a router has
    learned grows old while its host sleeps, which the monotonic clock does not count.
*/
inline Duration uptime()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec)
        + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace crocusport

#endif // CROCUSPORT_UPTIME_H
