#ifndef CROCUSPORT_TIMEVALUE_H
#define CROCUSPORT_TIMEVALUE_H

#include "crocusport/state/instant.h"

#include <sys/time.h>

#include <algorithm>

namespace crocusport {

//! Converts \a duration for libevent; a negative one becomes zero. Safe from any thread.
inline timeval toTimeval(Duration duration)
{
    const auto clamped = std::max(duration, Duration::zero());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(clamped);
    return { static_cast<time_t>(seconds.count()),
             static_cast<suseconds_t>((clamped - seconds).count()) };
}

} // namespace crocusport

#endif // CROCUSPORT_TIMEVALUE_H
