#ifndef CROCUSPORT_TIMER_H
#define CROCUSPORT_TIMER_H

#include "crocusport/state/instant.h"

#include <functional>

struct event;

namespace crocusport {

class EventLoop;

/*!
    Calls a handler once or periodically. Destroying the timer stops it.

    Thread safety: loop thread only. The loop must outlive the timer.
*/
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> handler);
    ~Timer();

    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    //! Calls the handler once after \a delay. Replaces an earlier start.
    void startOnce(Duration delay);
    //! Calls the handler every \a period. Replaces an earlier start. Precondition: period > 0.
    void startPeriodic(Duration period);
    void stop();
    bool isActive() const;

private:
    static void onEvent(int fileDescriptor, short what, void *timer);

    event *event_ = nullptr;
    std::function<void()> handler_;
    Duration period_ {};
};

} // namespace crocusport

#endif // CROCUSPORT_TIMER_H
