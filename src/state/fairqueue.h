#ifndef CROCUSPORT_FAIRQUEUE_H
#define CROCUSPORT_FAIRQUEUE_H

#include "requestrecord.h"

#include <boost/intrusive/set.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace crocusport {

//! Which waiting requests are considered.
enum class LaneFilter : std::uint8_t { Any, Short, Due, DueShort };

/*!
    The waiting requests of one tier. Teams share by start-time fair queueing over expected service
    time (P. Goyal, H. Vin, H. Cheng: Start-time Fair Queueing, SIGCOMM 1996, section 2); within a
    team the earliest latest start comes first.

    Each team's requests are split into lanes by length and by whether they are due, and each
    filter keeps its own order of teams, so that no call scans teams or requests.

    Thread safety: none; use from one thread.
*/
class FairQueue
{
public:
    FairQueue();
    ~FairQueue();
    FairQueue(const FairQueue &) = delete;
    FairQueue &operator=(const FairQueue &) = delete;

    void insert(RequestRecord &record);
    //! Puts \a record back after erase(), as if it had never been removed.
    void restore(RequestRecord &record);
    //! Precondition: inserted and not yet removed.
    void erase(RequestRecord &record);
    //! Removes \a record because it starts, and charges its team. Precondition: as for erase().
    void start(RequestRecord &record);
    //! Moves \a record to the due requests. Precondition: inserted.
    void makeDue(RequestRecord &record);

    //! Returns the request that comes first among those that pass \a filter, or nullptr.
    RequestRecord *front(LaneFilter filter);
    //! Returns the request with the latest start of the team with the most, or nullptr.
    RequestRecord *lastOfLargestTeam();
    std::size_t size() const { return size_; }

    /*!
        Returns the expected service time of the requests of \a record's team and length that
        start before \a record. Walks at most kMaxSteps; counts requests beyond that as earlier.
    */
    Duration workAheadInTeam(const RequestRecord &record, Duration teamWork) const;

private:
    static constexpr std::size_t kFilterCount = 4;
    static constexpr std::size_t kLaneCount = 4;
    static constexpr int kMaxSteps = 64;

    struct EarlierStart
    {
        bool operator()(const RequestRecord &left, const RequestRecord &right) const;
    };
    using Lane = boost::intrusive::set<
        RequestRecord,
        boost::intrusive::member_hook<RequestRecord, RequestRecord::Hook, &RequestRecord::laneHook>,
        boost::intrusive::compare<EarlierStart>>;

    struct TeamQueue
    {
        std::array<Lane, kLaneCount> lanes;
        Duration startTag {}; //!< Virtual time at which its next request may start.
        TeamIndex team;
        RequestRecord::Hook anyHook;
        RequestRecord::Hook shortHook;
        RequestRecord::Hook dueHook;
        RequestRecord::Hook dueShortHook;

        //! Returns whether no request of the team waits.
        bool empty() const;
        RequestRecord *front(LaneFilter filter);
    };
    struct EarlierTag
    {
        bool operator()(const TeamQueue &left, const TeamQueue &right) const;
    };
    template<RequestRecord::Hook TeamQueue::*hook>
    using TeamOrder =
        boost::intrusive::set<TeamQueue,
                              boost::intrusive::member_hook<TeamQueue, RequestRecord::Hook, hook>,
                              boost::intrusive::compare<EarlierTag>>;

    static std::size_t laneOf(const RequestRecord &record);
    TeamQueue &teamQueue(TeamIndex team);
    void link(TeamQueue &team);
    void unlink(TeamQueue &team);
    TeamQueue *firstTeam(LaneFilter filter);

    std::vector<std::unique_ptr<TeamQueue>> teams_;
    //! By team; apart from the queues, so that the largest is found in a few cache lines.
    std::vector<std::uint32_t> sizes_;
    TeamOrder<&TeamQueue::anyHook> any_;
    TeamOrder<&TeamQueue::shortHook> short_;
    TeamOrder<&TeamQueue::dueHook> due_;
    TeamOrder<&TeamQueue::dueShortHook> dueShort_;
    Duration virtualTime_ {};
    Duration latestFinish_ {};
    std::size_t size_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_FAIRQUEUE_H
