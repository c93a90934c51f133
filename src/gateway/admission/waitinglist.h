#ifndef CROCUSPORT_WAITINGLIST_H
#define CROCUSPORT_WAITINGLIST_H

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <unordered_map>

namespace crocusport {

/*!
    Requests that wait for free capacity on a backend server. Each pool has its own queue, ordered
    by priority, then by the latest start that still meets the request's target.

    Load pattern: a burst of one class of requests arrives before urgent requests. The most urgent
    request starts next, and among equally urgent ones the request that would miss its target first.
    The order of arrival decides only between equals.

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
               IsHeld isHeld = {});
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
    using Key = std::tuple<int, Instant, Ticket>;

    struct Entry
    {
        TryStart tryStart;
        IsHeld isHeld;
    };
    struct Pool
    {
        std::map<Key, Entry> waiting;
        std::unordered_map<Ticket, Key> keys;
    };

    void startPool(const PoolName &name);

    std::unordered_map<PoolName, Pool> pools_;
    Ticket lastTicket_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_WAITINGLIST_H
