#ifndef CROCUSPORT_RETRYWINDOW_H
#define CROCUSPORT_RETRYWINDOW_H

#include "crocusport/state/instant.h"

#include <cstddef>
#include <deque>

namespace crocusport {

//! Limits on the retries that all routers together may send to one pool.
struct RetryLimits
{
    double ratio = 0; //!< Retries per request of a caller.
    double slack = 0; //!< Additional retries per window, over all routers.
    Duration window {};
};

/*!
    This router's share of one pool's retry budget: the ratio applied to its own requests, and an
    equal part of the slack, which accrues over time. The routers together stay within the budget
    without communication. This also holds after restarts: a restarted router has lost its count of
    retries, but starts without slack.

    Thread safety: none; use from one thread.
*/
class RetryWindow
{
public:
    //! Slack accrues from \a start on, the time at which the router started.
    RetryWindow(const RetryLimits &limits, Instant start) : limits_(limits), accruedAt_(start) { }

    void noteRequest(Instant now);
    //! Returns whether one more retry is within this router's share, for a fleet of \a routerCount.
    bool canRetry(std::size_t routerCount, Instant now);
    //! Like canRetry(), but also takes the retry from the budget if it is allowed.
    bool tryRetry(std::size_t routerCount, Instant now);

private:
    static void expire(std::deque<Instant> &times, Instant limit);
    bool isWithinRatio(Instant now);
    void accrueSlack(std::size_t routerCount, Instant now);

    RetryLimits limits_;
    std::deque<Instant> requests_;
    std::deque<Instant> retries_; //!< Retries that the ratio allowed.
    double slack_ = 0;            //!< Additional retries that have accrued.
    Instant accruedAt_;
};

} // namespace crocusport

#endif // CROCUSPORT_RETRYWINDOW_H
