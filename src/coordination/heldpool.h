#ifndef CROCUSPORT_HELDPOOL_H
#define CROCUSPORT_HELDPOOL_H

#include "anyscheduler.h"
#include "crocusport/coordination/peermessage.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace crocusport {

//! What a HeldPool has decided since the last call.
struct HeldPoolDecisions
{
    std::vector<SlotGrant> grants;
    std::vector<SlotRefusal> refusals;
    //! Acknowledgements of requests that go on waiting.
    std::vector<std::pair<RouterName, SlotQueuedMessage>> queued;
};

/*!
    The queue of one pool at its holder: a scheduler, and what the holder must know to handle
    lost, repeated and reordered messages of other routers.

    Requests of other routers are forgotten when they have not been repeated for a while, which
    recovers the slots of lost SlotRelease messages.

    Thread safety: none; use from one thread.
*/
class HeldPool
{
public:
    //! Requests of lower tiers are not scheduled before \a graceUntil, because running requests
    //! that the previous holder knew may not have been repeated yet.
    HeldPool(const RouterName &self, AnyScheduler scheduler, Instant graceUntil);

    AnyScheduler &scheduler() { return scheduler_; }
    const AnyScheduler &scheduler() const { return scheduler_; }
    void markChanged() { isChanged_ = true; }
    void setGrace(Instant until) { graceUntil_ = until; }
    bool isEmpty() const { return entries_.empty(); }

    //! Takes a new or repeated request; with runningOn set, one that has started.
    void submit(const SlotRequest &request, Instant now);
    //! Does nothing unless the request holds a slot of that server.
    void release(const RouterName &from, const SlotRelease &release, Instant now);
    void cancel(const RouterName &from, const RequestId &request, Instant now);
    void removeRouter(const RouterName &router, Instant now);

    HeldPoolDecisions run(Instant now);
    std::optional<Instant> nextRunTime(Instant now) const;

private:
    struct Entry
    {
        RouterName router;
        std::optional<BackendServerName> server; //!< Set when granted or running.
        std::size_t excludedCount = 0;           //!< Grows with each new attempt of the request.
        Instant heardAt;
    };

    void queue(const SlotRequest &request, Instant now);
    void repeat(Entry &entry, const SlotRequest &request, Instant now);
    void withdraw(const RequestId &request, Instant now);
    void endGrace(Instant now);
    void dropSilent(Instant now);

    RouterName self_;
    AnyScheduler scheduler_;
    Instant graceUntil_;
    std::vector<SlotRequest> heldBack_; //!< Requests of lower tiers that wait for graceUntil_.
    std::unordered_map<RequestId, Entry> entries_;
    std::vector<RequestId> unacknowledged_;
    std::vector<SlotGrant> repeatedGrants_;
    std::optional<Instant> checkedAt_; //!< When silent entries were last looked for.
    bool isChanged_ = true;
};

} // namespace crocusport

#endif // CROCUSPORT_HELDPOOL_H
