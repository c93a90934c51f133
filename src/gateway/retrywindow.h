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
    and an equal part of the slack, which is saved up over time. So the routers together stay within
    the budget without hearing each other, however often they start again and forget what they have
    spent: a start gives nothing.

    Thread safety: none; use from one thread.
*/
class RetryWindow
{
public:
    //! Slack is saved up from \a start on, when the router started.
    RetryWindow(const RetryLimits &limits, Instant start) : limits_(limits), savedAt_(start) { }

    void noteRequest(Instant now);
    //! Returns whether one more repeat is in the budget of \a routerCount routers.
    bool canRepeat(std::size_t routerCount, Instant now);
    //! Takes one repeat out of the budget. Returns false if it is spent.
    bool tryRepeat(std::size_t routerCount, Instant now);

private:
    static void expire(std::deque<Instant> &times, Instant limit);
    bool isWithinRatio(Instant now);
    void saveSlack(std::size_t routerCount, Instant now);

    RetryLimits limits_;
    std::deque<Instant> requests_;
    std::deque<Instant> repeats_; //!< That the ratio allowed.
    double slack_ = 0;            //!< Further repeats that have been saved up.
    Instant savedAt_;
};

} // namespace crocusport

#endif // CROCUSPORT_RETRYWINDOW_H
