#include "crocusport/transport/eventloop.h"

#include "crocusport/transport/callbackguard.h"

#include <event2/event.h>

#include <csignal>
#include <utility>
#include <vector>

namespace crocusport {

namespace {

struct SignalHandler
{
    std::function<void()> handler;
    event *registration = nullptr;
};

void onSignalEvent(evutil_socket_t /*signalNumber*/, short /*what*/, void *argument)
{
    guardCallback("signal", [&] { static_cast<SignalHandler *>(argument)->handler(); });
}

void onPostedEvent(evutil_socket_t /*unused*/, short /*what*/, void *argument)
{
    const std::unique_ptr<std::function<void()>> task(
        static_cast<std::function<void()> *>(argument));
    guardCallback("task", [&] { (*task)(); });
}

} // namespace

struct EventLoop::SignalHandlers
{
    std::vector<std::unique_ptr<SignalHandler>> handlers;
};

Result<std::unique_ptr<EventLoop>> EventLoop::create()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::unique_ptr<EventLoop> loop(new EventLoop);
    loop->signals_ = std::make_unique<SignalHandlers>();
    // With libevent's default coarse clock, timers fire up to 4 ms late. That is too late for the
    // timeout of 20 ms within which a pool holder has to acknowledge.
    const std::unique_ptr<event_config, decltype(&event_config_free)> config(event_config_new(),
                                                                             &event_config_free);
    if (config && event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER) == 0)
        loop->base_ = event_base_new_with_config(config.get());
    if (!loop->base_)
        return makeError(ResultCode::InternalError, "cannot create the event loop");
    return loop;
}

EventLoop::~EventLoop()
{
    for (auto &handler : signals_->handlers)
        event_free(handler->registration);
    if (base_)
        event_base_free(base_);
}

void EventLoop::run()
{
    event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    event_base_loopbreak(base_);
}

void EventLoop::post(std::function<void()> task)
{
    auto owned = std::make_unique<std::function<void()>>(std::move(task));
    const timeval immediately { 0, 0 };
    if (event_base_once(base_, -1, EV_TIMEOUT, onPostedEvent, owned.get(), &immediately) == 0)
        static_cast<void>(owned.release()); // Freed by onPostedEvent.
}

Result<void> EventLoop::onSignal(int signalNumber, std::function<void()> handler)
{
    auto entry = std::make_unique<SignalHandler>();
    entry->handler = std::move(handler);
    entry->registration = evsignal_new(base_, signalNumber, onSignalEvent, entry.get());
    if (!entry->registration || event_add(entry->registration, nullptr) != 0)
        return makeError(ResultCode::InternalError,
                         "cannot handle signal " + std::to_string(signalNumber));
    signals_->handlers.push_back(std::move(entry));
    return {};
}

} // namespace crocusport
