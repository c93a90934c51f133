#ifndef CROCUSPORT_HELDPOOL_H
#define CROCUSPORT_HELDPOOL_H

#include "anyscheduler.h"
#include "crocusport/coordination/peermessage.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace crocusport {

//! The decisions of a HeldPool since the last call of run().
struct HeldPoolDecisions
{
    std::vector<SlotGrant> grants;
    std::vector<SlotRefusal> refusals;
    //! Acknowledgements of requests that are still waiting, with the routers to send them to.
    std::vector<std::pair<RouterName, SlotQueuedMessage>> queued;
};

/*!
    The queue of one pool at its holder: a scheduler, and the state with which the holder handles
    lost, repeated and reordered messages of other routers.

    Requests of other routers are removed when they have not been repeated for 40 s. This frees the
    slots of requests whose SlotReleaseMessage was lost.

    Thread safety: none; use from one thread.
*/
class HeldPool
{
public:
    //! Requests of tiers below the most urgent one are not scheduled before \a graceUntil, because
    //! routers may not have repeated the running requests that the previous holder knew.
    HeldPool(const RouterName &self, AnyScheduler scheduler, Instant graceUntil);

    AnyScheduler &scheduler() { return scheduler_; }
    const AnyScheduler &scheduler() const { return scheduler_; }
    void markChanged() { isChanged_ = true; }
    //! Sets the time before which lower tiers are not scheduled; see the constructor.
    void setGrace(Instant until) { graceUntil_ = until; }
    bool isEmpty() const { return entries_.empty(); }

    //! Adds a new request or processes a repeated one. One with runningOn set has already started.
    void submit(const SlotRequest &request, Instant now);
    //! Frees the slot of a request. Does nothing unless the request is from router \a from and has
    //! a slot of release.server.
    void release(const RouterName &from, const SlotRelease &release, Instant now);
    //! Removes a waiting or running request. Does nothing unless it is from router \a from.
    void cancel(const RouterName &from, const RequestId &request, Instant now);
    //! Removes all requests of \a router.
    void removeRouter(const RouterName &router, Instant now);

    //! Removes requests that were not repeated, and makes the decisions that are due.
    HeldPoolDecisions run(Instant now);
    std::optional<Instant> nextRunTime(Instant now) const;

private:
    struct Entry
    {
        RouterName router;
        std::optional<BackendServerName> server; //!< Set when granted or running.
        std::size_t excludedCount = 0;           //!< Excluded servers; higher for each new attempt.
        Instant refreshedAt;                     //!< When it was last received, plus later pauses.
    };

    void queue(const SlotRequest &request, Instant now);
    void repeat(Entry &entry, const SlotRequest &request, Instant now);
    void withdraw(const RequestId &request, Instant now);
    void endGrace(Instant now);
    void expireEntries(Instant now);

    RouterName self_;
    AnyScheduler scheduler_;
    Instant graceUntil_;
    std::vector<SlotRequest> deferred_; //!< Requests of lower tiers that wait for graceUntil_.
    std::unordered_map<RequestId, Entry> entries_;
    std::vector<RequestId> unacknowledged_; //!< Requests whose routers need a SlotQueuedMessage.
    //! Grants to send again, for requests that were repeated as waiting.
    std::vector<SlotGrant> repeatedGrants_;
    std::optional<Instant> checkedAt_; //!< When entries were last checked for missing repeats.
    bool isChanged_ = true;
};

} // namespace crocusport

#endif // CROCUSPORT_HELDPOOL_H
