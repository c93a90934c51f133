#ifndef CROCUSPORT_WAITINGQUEUE_H
#define CROCUSPORT_WAITINGQUEUE_H

#include "fairqueue.h"
#include "requestrecord.h"

#include <boost/intrusive/set.hpp>

#include <array>
#include <cstddef>
#include <optional>

namespace crocusport {

/*!
    The waiting requests of all tiers, with the times at which they become due and at which they can
    no longer meet their deadlines. Tiers 2 to 4 share the slots 4:2:1 by expected service time.

    Thread safety: none; use from one thread.
*/
class WaitingQueue
{
public:
    ~WaitingQueue();

    void insert(RequestRecord &record);
    //! Removes \a record. Precondition: \a record is in the queue and not set aside.
    void erase(RequestRecord &record);
    //! Removes \a record because it starts, and adds its expected service time to what its team and
    //! tier have used. Precondition: \a record is in the queue and not set aside.
    void start(RequestRecord &record);
    //! Hides \a record from frontUrgent() and frontLower() until restore() is called for it; it
    //! still becomes due and expires. Precondition: \a record is in the queue.
    void setAside(RequestRecord &record);
    void restore(RequestRecord &record);

    //! Marks as due the requests whose dueAt is at or before \a now.
    void advance(Instant now);
    //! Returns a request that can no longer meet its deadline at \a now, or nullptr.
    RequestRecord *firstExpired(Instant now);
    //! Returns the next time at which advance() or firstExpired() has something to do; nothing if
    //! the queue is empty.
    std::optional<Instant> nextEventTime() const;

    //! Returns the first tier-1 request that passes \a filter, or nullptr.
    RequestRecord *frontUrgent(LaneFilter filter);
    //! Returns the first request of tiers 2 to 4 that passes \a filter, or nullptr.
    RequestRecord *frontLower(LaneFilter filter);

    //! Returns the last request, by latestStart, of the team that has the most requests in the
    //! tier; nullptr if the tier has none.
    RequestRecord *lastOfLargestTeam(std::size_t tierIndex)
    {
        return tiers_[tierIndex].lastOfLargestTeam();
    }
    const FairQueue &tier(std::size_t tierIndex) const { return tiers_[tierIndex]; }
    std::size_t size() const { return expiryTimes_.size(); }

private:
    struct EarlierDue
    {
        bool operator()(const RequestRecord &left, const RequestRecord &right) const;
    };
    struct EarlierExpiry
    {
        bool operator()(const RequestRecord &left, const RequestRecord &right) const;
    };
    using DueTimes = boost::intrusive::set<
        RequestRecord,
        boost::intrusive::member_hook<RequestRecord, RequestRecord::Hook, &RequestRecord::dueHook>,
        boost::intrusive::compare<EarlierDue>>;
    using ExpiryTimes =
        boost::intrusive::set<RequestRecord,
                              boost::intrusive::member_hook<RequestRecord, RequestRecord::Hook,
                                                            &RequestRecord::expiryHook>,
                              boost::intrusive::compare<EarlierExpiry>>;

    void eraseTimes(RequestRecord &record);

    std::array<FairQueue, kTierCount> tiers_;
    std::array<Duration, kTierCount> tierTags_ {};
    Duration tierVirtualTime_ {};
    DueTimes dueTimes_;
    ExpiryTimes expiryTimes_;
};

} // namespace crocusport

#endif // CROCUSPORT_WAITINGQUEUE_H
