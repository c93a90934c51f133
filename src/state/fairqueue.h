#ifndef CROCUSPORT_FAIRQUEUE_H
#define CROCUSPORT_FAIRQUEUE_H

#include "requestrecord.h"

#include <boost/intrusive/set.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace crocusport {

//! Which waiting requests a search considers.
enum class LaneFilter : std::uint8_t { Any, Short, Due, DueShort };

/*!
    The waiting requests of one tier. Teams share the slots by start-time fair queueing over
    expected service time (P. Goyal, H. Vin, H. Cheng: Start-time Fair Queueing, SIGCOMM 1996,
    section 2). Within a team, the request with the earliest latestStart comes first.

    Each team's requests are split into lanes by length and by whether they are due, and each
    LaneFilter has its own order of teams, so that front() scans neither teams nor requests.

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
    //! Puts \a record back after erase(), as if it had never been removed. Unlike insert(), this
    //! leaves the start tag of its team as it is.
    void restore(RequestRecord &record);
    //! Removes \a record. Precondition: \a record is in the queue.
    void erase(RequestRecord &record);
    //! Removes \a record because it starts, and adds its expected service time to the start tag of
    //! its team. Precondition: \a record is in the queue.
    void start(RequestRecord &record);
    //! Sets \a record as due and moves it to a lane of due requests. Precondition: \a record is in
    //! the queue and not due.
    void makeDue(RequestRecord &record);

    //! Returns the request that comes first among those that pass \a filter, or nullptr.
    RequestRecord *front(LaneFilter filter);
    //! Returns the last request, by latestStart, of the team that has the most requests in the
    //! queue; nullptr if the queue is empty. Linear in the number of teams.
    RequestRecord *lastOfLargestTeam();
    std::size_t size() const { return size_; }

    /*!
        Returns the expected service time of the requests of \a record's team that start before
        \a record. \a teamWork is the expected service time of all waiting requests of that team and
        length. Walks through the lane of \a record with two iterators, one from the front of the
        lane and one from the request behind \a record, at most kMaxSteps steps. If the first
        iterator reaches \a record, returns the sum over the requests in front of \a record.
        Otherwise subtracts \a record and the requests that the second iterator passed from
        \a teamWork, so that requests which neither iterator reached count as earlier.
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
        Duration startTag {}; //!< Virtual start time of the next request of the team.
        TeamIndex team;
        RequestRecord::Hook anyHook;
        RequestRecord::Hook shortHook;
        RequestRecord::Hook dueHook;
        RequestRecord::Hook dueShortHook;

        //! Returns whether the team has no waiting request.
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
    //! Number of waiting requests by team index. Kept apart from teams_, so that the search for the
    //! largest team reads few cache lines.
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
