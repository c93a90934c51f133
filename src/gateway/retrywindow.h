#ifndef CROCUSPORT_RETRYWINDOW_H
#define CROCUSPORT_RETRYWINDOW_H

#include "crocusport/state/instant.h"

#include <cstddef>
#include <deque>

namespace crocusport {

//! Bounds on the repeats that all routers together may send to one pool.
struct RetryLimits
{
    double ratio = 0; //!< Repeats for each request of callers.
    double slack = 0; //!< Further repeats in each window, over all routers.
    Duration window {};
};

/*!
    The share of one pool's retry budget that this router may spend: the ratio of its own requests,
    and an equal part of half the slack. So the routers together stay within the budget without
    hearing each other, and also when all of them start again and have forgotten what they spent.

    Thread safety: none; use from one thread.
*/
class RetryWindow
{
public:
    explicit RetryWindow(const RetryLimits &limits) : limits_(limits) { }

    void noteRequest(Instant now);
    //! Returns whether one more repeat is in the budget of \a routerCount routers.
    bool canRepeat(std::size_t routerCount, Instant now);
    //! Takes one repeat out of the budget. Returns false if it is spent.
    bool tryRepeat(std::size_t routerCount, Instant now);

private:
    static void expire(std::deque<Instant> &times, Instant limit);

    RetryLimits limits_;
    std::deque<Instant> requests_;
    std::deque<Instant> repeats_;
};

} // namespace crocusport

#endif // CROCUSPORT_RETRYWINDOW_H
