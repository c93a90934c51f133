#ifndef CROCUSPORT_TASKQUEUE_H
#define CROCUSPORT_TASKQUEUE_H

#include "crocusport/state/instant.h"
#include "crocusport/transport/timer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace crocusport {

class EventLoop;

/*!
    Runs tasks at given times, all with one timer. While suspended it runs none, like a process that
    is not scheduled.

    Thread safety: loop thread only.
*/
class TaskQueue
{
public:
    explicit TaskQueue(EventLoop &loop);

    void runAt(Instant due, std::function<void()> task);
    void runAfter(Duration delay, std::function<void()> task);
    //! Runs nothing before \a end; an \a end in the past resumes.
    void suspendUntil(Instant end);
    bool isSuspended() const;

private:
    void onTimer();
    void restartTimer();

    std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> tasks_;
    std::uint64_t sequence_ = 0;
    Instant suspendedUntil_ {};
    bool isRunning_ = false;
    Timer timer_;
};

} // namespace crocusport

#endif // CROCUSPORT_TASKQUEUE_H
