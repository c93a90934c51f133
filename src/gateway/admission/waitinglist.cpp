#include "waitinglist.h"

#include <algorithm>
#include <vector>

namespace crocusport {

WaitingList::Ticket WaitingList::add(const PoolName &pool, int priority, Instant latestStart,
                                     TryStart tryStart, IsHeld isHeld)
{
    const auto ticket = ++lastTicket_;
    const Key key { priority, latestStart, ticket };
    auto &list = pools_[pool];
    list.waiting.emplace(key, Entry { std::move(tryStart), std::move(isHeld) });
    list.keys.emplace(ticket, key);
    return ticket;
}

void WaitingList::remove(const PoolName &pool, Ticket ticket)
{
    const auto list = pools_.find(pool);
    if (list == pools_.end())
        return;
    const auto key = list->second.keys.find(ticket);
    if (key == list->second.keys.end())
        return;
    list->second.waiting.erase(key->second);
    list->second.keys.erase(key);
}

void WaitingList::startAll()
{
    std::vector<PoolName> names;
    for (const auto &[name, pool] : pools_) {
        if (!pool.waiting.empty())
            names.push_back(name);
    }
    for (const auto &name : names)
        startPool(name);
}

// Starting a request may add others to the list or remove them.
void WaitingList::startPool(const PoolName &name)
{
    auto next = pools_[name].waiting.begin();
    while (next != pools_[name].waiting.end()) {
        const auto [key, entry] = *next;
        if (!entry.isHeld || !entry.isHeld()) {
            if (!entry.tryStart())
                return;
            remove(name, std::get<Ticket>(key));
        }
        next = pools_[name].waiting.upper_bound(key);
    }
}

std::size_t WaitingList::size(const PoolName &pool) const
{
    const auto list = pools_.find(pool);
    return list == pools_.end() ? 0 : list->second.waiting.size();
}

std::size_t WaitingList::size() const
{
    std::size_t sum = 0;
    for (const auto &[name, pool] : pools_)
        sum += pool.waiting.size();
    return sum;
}

bool WaitingList::empty() const
{
    return std::all_of(pools_.begin(), pools_.end(),
                       [](const auto &item) { return item.second.waiting.empty(); });
}

} // namespace crocusport
