#include "crocusport/transport/timer.h"

#include "crocusport/transport/callbackguard.h"
#include "crocusport/transport/eventloop.h"

#include "timevalue.h"

#include <event2/event.h>

#include <cassert>
#include <utility>

namespace crocusport {

Timer::Timer(EventLoop &loop, std::function<void()> handler)
    : event_(event_new(loop.base(), -1, EV_PERSIST, &Timer::onEvent, this)),
      handler_(std::move(handler))
{ }

Timer::~Timer()
{
    event_free(event_);
}

void Timer::startOnce(Duration delay)
{
    period_ = Duration::zero();
    const auto interval = toTimeval(delay);
    event_add(event_, &interval);
}

void Timer::startPeriodic(Duration period)
{
    assert(period > Duration::zero());
    period_ = period;
    const auto interval = toTimeval(period);
    event_add(event_, &interval);
}

void Timer::stop()
{
    event_del(event_);
}

bool Timer::isActive() const
{
    return event_pending(event_, EV_TIMEOUT, nullptr) != 0;
}

void Timer::onEvent(int /*fileDescriptor*/, short /*what*/, void *timer)
{
    auto *const self = static_cast<Timer *>(timer);
    if (self->period_ == Duration::zero())
        event_del(self->event_);
    // The handler may destroy the timer, so no code may follow it.
    guardCallback("timer", [handler = self->handler_] { handler(); });
}

} // namespace crocusport
