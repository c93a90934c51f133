#ifndef CROCUSPORT_CALLRATELIMITER_H
#define CROCUSPORT_CALLRATELIMITER_H

#include "crocusport/state/instant.h"

namespace crocusport {

/*!
    A token bucket that holds at most a quarter of a second's calls.

    Thread safety: none; use from one thread.
*/
class CallRateLimiter
{
public:
    //! A rate of 0 means no limit.
    explicit CallRateLimiter(double perSecond);

    //! Returns whether one more call is within the rate, and counts it then.
    bool take(Instant now);

private:
    double perSecond_;
    double available_;
    Instant filledAt_ {};
};

} // namespace crocusport

#endif // CROCUSPORT_CALLRATELIMITER_H
