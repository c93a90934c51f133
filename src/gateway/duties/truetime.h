#ifndef CROCUSPORT_TRUETIME_H
#define CROCUSPORT_TRUETIME_H

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <map>

namespace crocusport {

/*!
    The time since the start of 1970 on which the routers agree: the wall clock at the start,
    advanced by the boot clock and corrected by the median of the other routers' clocks. So a jump
    of the wall clock on some hosts moves no window.

    Memory: one sample for each router that reports to this one. Thread safety: none; use from one
    thread.
*/
class TrueTime
{
public:
    //! \a wallClock and \a boot are the clocks of this host at the same moment.
    TrueTime(Duration wallClock, Duration boot) : start_(wallClock - boot) { }

    //! Returns this host's uncorrected clock, for reports to other routers.
    Duration own(Duration boot) const { return start_ + boot; }
    //! Records that the uncorrected clock of \a router has just been reported as \a clock.
    void noteClock(const RouterName &router, Duration clock, Duration boot);
    //! Returns the true time.
    Duration now(Duration boot) const { return own(boot) + correction_; }
    Duration correction() const { return correction_; }

private:
    struct Sample
    {
        Duration offset {}; //!< The other clock minus this one.
        Duration at {};
    };

    void correct(Duration boot);

    Duration start_;
    Duration correction_ {};
    std::map<RouterName, Sample> samples_;
};

} // namespace crocusport

#endif // CROCUSPORT_TRUETIME_H
