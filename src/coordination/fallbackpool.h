#ifndef CROCUSPORT_FALLBACKPOOL_H
#define CROCUSPORT_FALLBACKPOOL_H

#include "anyscheduler.h"

#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace crocusport {

/*!
    Local decisions for a pool whose holder does not answer. Knows only this router's own requests,
    so it starts no more than \a limit of them at a time; the others wait in order of tier.

    Thread safety: none; use from one thread.
*/
class FallbackPool
{
public:
    FallbackPool(AnyScheduler scheduler, std::size_t limit);

    AnyScheduler &scheduler() { return scheduler_; }
    void setLimit(std::size_t limit) { limit_ = limit; }
    //! True if no request waits here and none has for a while.
    bool isIdle(Instant now) const;

    //! Adds a waiting request.
    void add(const SlotRequest &request, Instant now);
    //! Counts a request that was started by the holder; runningOn is set.
    void addRunning(const SlotRequest &request, Instant now);
    //! Forgets a waiting or running request.
    void remove(const RequestId &request, Instant now);

    SchedulerDecisions run(Instant now);
    std::optional<Instant> nextRunTime(Instant now) const;

private:
    using Rank = std::tuple<Tier, Instant, RequestId>;

    AnyScheduler scheduler_;
    std::size_t limit_;
    std::map<Rank, SlotRequest> waiting_; //!< Not yet given to the scheduler.
    std::map<RequestId, Rank> ranks_;
    std::set<RequestId> started_; //!< Given to the scheduler; count towards the limit.
    Instant usedAt_;
    bool isChanged_ = true;
};

} // namespace crocusport

#endif // CROCUSPORT_FALLBACKPOOL_H
