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
    Requests that wait for a free place on a backend server, by pool; the highest priority first,
    then the earliest latest start.

    Answers the load pattern of a burst of one class: what is urgent, and among equals what would
    miss its target first, takes the next place, whichever came first.

    Thread safety: none; use from one thread.
*/
class WaitingList
{
public:
    //! Tries to start the request; returns whether it found a place, and then leaves the list.
    using TryStart = std::function<bool()>;
    using Ticket = std::uint64_t;

    Ticket add(const PoolName &pool, int priority, Instant latestStart, TryStart tryStart);
    //! Removes a request, if it still waits.
    void remove(const PoolName &pool, Ticket ticket);
    //! Starts requests of all pools while there are places. A request that finds none blocks those
    //! after it in its pool.
    void startAll();
    std::size_t size(const PoolName &pool) const;
    bool empty() const;

private:
    using Key = std::tuple<int, Instant, Ticket>;

    struct Pool
    {
        std::map<Key, TryStart> waiting;
        std::unordered_map<Ticket, Key> keys;
    };

    std::unordered_map<PoolName, Pool> pools_;
    Ticket lastTicket_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_WAITINGLIST_H
