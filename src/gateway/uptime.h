#ifndef CROCUSPORT_UPTIME_H
#define CROCUSPORT_UPTIME_H

#include "crocusport/state/instant.h"

#include <ctime>

namespace crocusport {

/*!
    Returns the time since the host booted, including time spent suspended. A router's data becomes
    stale while its host is suspended, but the monotonic clock does not count that time.
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
