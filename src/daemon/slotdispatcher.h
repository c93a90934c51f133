#ifndef CROCUSPORT_SLOTDISPATCHER_H
#define CROCUSPORT_SLOTDISPATCHER_H

#include "crocusport/coordination/slotbroker.h"
#include "crocusport/transport/timer.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace crocusport {

class EventLoop;

//! Receives the broker's decision about a request for a slot.
class SlotWaiter
{
public:
    SlotWaiter() = default;
    virtual ~SlotWaiter() = default;
    SlotWaiter(const SlotWaiter &) = delete;
    SlotWaiter &operator=(const SlotWaiter &) = delete;

    virtual void onSlotGranted(const SlotGrant &grant) = 0;
    virtual void onSlotRefused(const SlotRefusal &refusal) = 0;
};

/*!
    Runs the SlotBroker on the event loop: one run for all calls of a loop iteration, a timer for
    decisions that are due later, and delivery of decisions to the waiting requests.

    Thread safety: loop thread only.
*/
class SlotDispatcher
{
public:
    using Sender = std::function<void(OutgoingMessage message)>;

    SlotDispatcher(EventLoop &loop, const RouterName &self, QueuePolicy policy, std::uint64_t seed,
                   Sender send);

    void setAcknowledgeTimeout(Duration timeout) { broker_.setAcknowledgeTimeout(timeout); }
    //! Asks for a slot for \a request; \a waiter hears the decision unless it is gone by then.
    void request(const SlotRequest &request, const std::shared_ptr<SlotWaiter> &waiter);
    void cancel(const RequestId &request);
    void release(const SlotRelease &release);
    void handleMessage(const RouterName &from, const PeerMessage &message);
    void observe(const Observation &observation);
    void setConfiguration(const std::shared_ptr<const Configuration> &configuration);
    void setMembers(const std::vector<RouterName> &liveMembers,
                    const std::vector<RouterName> &leavingMembers);
    void setBackendServers(const std::vector<BackendServer> &servers);

    const SlotBroker &broker() const { return broker_; }

private:
    void scheduleRun();
    void run();
    void deliver(const SlotBrokerOutput &output);
    std::shared_ptr<SlotWaiter> takeWaiter(const RequestId &request);

    EventLoop &loop_;
    SlotBroker broker_;
    Sender send_;
    Timer runTimer_;
    std::unordered_map<RequestId, std::weak_ptr<SlotWaiter>> waiters_;
    bool isRunScheduled_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_SLOTDISPATCHER_H
