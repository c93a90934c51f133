#ifndef CROCUSPORT_EVENTLOOP_H
#define CROCUSPORT_EVENTLOOP_H

#include "crocusport/state/error.h"
#include "crocusport/state/instant.h"

#include <functional>
#include <memory>

struct event_base;

namespace crocusport {

/*!
    The only event loop of a process. All work of the process runs on the thread that calls run().

    Thread safety: loop thread only.
*/
class EventLoop
{
public:
    //! Creates a loop and makes the whole process ignore SIGPIPE. Fails with InternalError.
    static Result<std::unique_ptr<EventLoop>> create();
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    //! Runs until stop(). Precondition: not running.
    void run();
    //! Makes run() return after the current callback.
    void stop();
    //! Runs \a task once, in the next iteration of the loop.
    void post(std::function<void()> task);
    //! Calls \a handler each time the process receives \a signalNumber. Fails with InternalError.
    Result<void> onSignal(int signalNumber, std::function<void()> handler);

    event_base *base() const { return base_; }

private:
    EventLoop() = default;

    struct SignalHandlers;

    event_base *base_ = nullptr;
    std::unique_ptr<SignalHandlers> signals_;
};

} // namespace crocusport

#endif // CROCUSPORT_EVENTLOOP_H
