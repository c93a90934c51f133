#include "waitinglist.h"

#include <algorithm>
#include <vector>

namespace crocusport {

WaitingList::Ticket WaitingList::add(const PoolName &pool, int priority, Instant latestStart,
                                     TryStart tryStart)
{
    const auto ticket = ++lastTicket_;
    const Key key { priority, latestStart, ticket };
    auto &list = pools_[pool];
    list.waiting.emplace(key, std::move(tryStart));
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
    for (const auto &name : names) {
        while (true) {
            auto &list = pools_[name];
            if (list.waiting.empty())
                break;
            const auto ticket = std::get<Ticket>(list.waiting.begin()->first);
            const auto tryStart = list.waiting.begin()->second;
            if (!tryStart())
                break;
            remove(name, ticket);
        }
    }
}

std::size_t WaitingList::size(const PoolName &pool) const
{
    const auto list = pools_.find(pool);
    return list == pools_.end() ? 0 : list->second.waiting.size();
}

bool WaitingList::empty() const
{
    return std::all_of(pools_.begin(), pools_.end(),
                       [](const auto &item) { return item.second.waiting.empty(); });
}

} // namespace crocusport
