#ifndef CROCUSPORT_WAITINGLIST_H
#define CROCUSPORT_WAITINGLIST_H

#include "fairqueue.h"
#include "nametable.h"

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace crocusport {

//! By which a waiting request shares capacity with those of other teams.
struct TeamShare
{
    TeamName team;    //!< Empty for requests that belong to no team.
    Duration work {}; //!< Expected work, divided by the weight of the team.
};

/*!
    Requests that wait for free capacity on a backend server. Each pool has its own queue, ordered
    by priority, then fairly among teams by their work, then by the latest start that still meets
    the request's target.

    Load pattern: a burst of one class of requests arrives before urgent requests. The most urgent
    request starts next, and among equally urgent ones the request that would miss its target first.
    The order of arrival decides only between equals. A team that sends much more than the others
    delays its own requests, but not theirs.

    Thread safety: none; use from one thread.
*/
class WaitingList
{
public:
    //! Tries to start the request. Returns true if the request has started or ended, so that the
    //! list removes it.
    using TryStart = std::function<bool()>;
    using Ticket = std::uint64_t;

    //! Returns whether the request must not start now for a reason of its own, so that the requests
    //! behind it may start. Must not change the list.
    using IsHeld = std::function<bool()>;

    Ticket add(const PoolName &pool, int priority, Instant latestStart, TryStart tryStart,
               IsHeld isHeld = {}, const TeamShare &share = {});
    //! Removes a request. Does nothing if the request is no longer in the list.
    void remove(const PoolName &pool, Ticket ticket);
    //! Starts requests of all pools in order, except held ones. The first other request of a pool
    //! that cannot start blocks the requests behind it in the same pool.
    void startAll();
    std::size_t size(const PoolName &pool) const;
    //! Returns the number of waiting requests of all pools.
    std::size_t size() const;
    bool empty() const;

private:
    struct Entry
    {
        RequestRecord record; //!< Its sequence is the ticket.
        int priority = 0;
        TryStart tryStart;
        IsHeld isHeld;
        bool isSkipped = false; //!< Held, and out of its queue while others are started.
    };
    struct Pool
    {
        std::unordered_map<Ticket, std::unique_ptr<Entry>> entries;
        // Destroyed before the entries, which the queues link.
        std::map<int, FairQueue> queues; //!< By priority.
        NameTable<TeamName, TeamIndex> teams;
    };

    //! Starts requests of one priority. Returns false if one could not start.
    static bool startQueue(Pool &pool, FairQueue &queue);
    static bool startNext(Pool &pool, FairQueue &queue, std::vector<Ticket> &skipped);

    std::unordered_map<PoolName, Pool> pools_;
    Ticket lastTicket_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_WAITINGLIST_H
