#ifndef CROCUSPORT_FALLBACKPOOL_H
#define CROCUSPORT_FALLBACKPOOL_H

#include "anyscheduler.h"

#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace crocusport {

/*!
    Decides this router's own requests for a pool whose holder does not answer. It does not know the
    requests of other routers, so it starts at most a limited number of its own at a time. The
    others wait in order of tier and arrival.

    Thread safety: none; use from one thread.
*/
class FallbackPool
{
public:
    //! \a limit is the maximum number of requests that run() has passed to the scheduler and that
    //! are not yet removed or refused.
    FallbackPool(AnyScheduler scheduler, std::size_t limit);

    AnyScheduler &scheduler() { return scheduler_; }
    void setLimit(std::size_t limit) { limit_ = limit; }
    //! Returns true if no request waits here and none has been added for 10 s.
    bool isIdle(Instant now) const;

    //! Adds a waiting request.
    void add(const SlotRequest &request, Instant now);
    //! Adds a request that already has a slot. Precondition: runningOn is set.
    void addRunning(const SlotRequest &request, Instant now);
    //! Removes a waiting or running request.
    void remove(const RequestId &request, Instant now);

    SchedulerDecisions run(Instant now);
    std::optional<Instant> nextRunTime(Instant now) const;

private:
    using Rank = std::tuple<Tier, Instant, RequestId>;

    AnyScheduler scheduler_;
    std::size_t limit_;
    std::map<Rank, SlotRequest> waiting_; //!< Not yet passed to the scheduler.
    std::map<RequestId, Rank> ranks_;
    std::set<RequestId> scheduled_; //!< Passed to the scheduler; they count towards limit_.
    Instant usedAt_;
    bool isChanged_ = true;
};

} // namespace crocusport

#endif // CROCUSPORT_FALLBACKPOOL_H
