#include "waitinglist.h"

#include <algorithm>
#include <utility>

namespace crocusport {

WaitingList::Ticket WaitingList::add(const PoolName &pool, int priority, Instant latestStart,
                                     TryStart tryStart, IsHeld isHeld, const TeamShare &share)
{
    const auto ticket = ++lastTicket_;
    auto &list = pools_[pool];
    auto entry = std::make_unique<Entry>();
    entry->record.sequence = ticket;
    entry->record.latestStart = latestStart;
    entry->record.team = list.teams.indexOf(share.team);
    entry->record.expected = share.work;
    entry->priority = priority;
    entry->tryStart = std::move(tryStart);
    entry->isHeld = std::move(isHeld);
    list.queues[priority].insert(entry->record);
    list.entries.emplace(ticket, std::move(entry));
    return ticket;
}

void WaitingList::remove(const PoolName &pool, Ticket ticket)
{
    const auto list = pools_.find(pool);
    if (list == pools_.end())
        return;
    const auto found = list->second.entries.find(ticket);
    if (found == list->second.entries.end())
        return;
    auto &entry = *found->second;
    if (!entry.isSkipped)
        list->second.queues[entry.priority].erase(entry.record);
    list->second.entries.erase(found);
}

void WaitingList::startAll()
{
    std::vector<PoolName> names;
    for (const auto &[name, pool] : pools_) {
        if (!pool.entries.empty())
            names.push_back(name);
    }
    for (const auto &name : names) {
        auto &pool = pools_[name];
        for (auto &[priority, queue] : pool.queues) {
            if (!startQueue(pool, queue))
                break;
        }
    }
}

bool WaitingList::startQueue(Pool &pool, FairQueue &queue)
{
    std::vector<Ticket> skipped;
    while (queue.size() > 0 && startNext(pool, queue, skipped)) {
    }
    const bool isBlocked = queue.size() > 0;
    for (const auto ticket : skipped) {
        const auto found = pool.entries.find(ticket);
        if (found == pool.entries.end())
            continue;
        found->second->isSkipped = false;
        queue.restore(found->second->record);
    }
    return !isBlocked;
}

// Starting a request may add others to the list or remove them.
bool WaitingList::startNext(Pool &pool, FairQueue &queue, std::vector<Ticket> &skipped)
{
    const auto ticket = queue.front(LaneFilter::Any)->sequence;
    auto &entry = *pool.entries.at(ticket);
    if (entry.isHeld && entry.isHeld()) {
        entry.isSkipped = true;
        queue.erase(entry.record);
        skipped.push_back(ticket);
        return true;
    }
    const auto tryStart = entry.tryStart;
    if (!tryStart())
        return false;
    if (const auto found = pool.entries.find(ticket); found != pool.entries.end()) {
        queue.start(found->second->record);
        pool.entries.erase(found);
    }
    return true;
}

std::size_t WaitingList::size(const PoolName &pool) const
{
    const auto list = pools_.find(pool);
    return list == pools_.end() ? 0 : list->second.entries.size();
}

std::size_t WaitingList::size() const
{
    std::size_t sum = 0;
    for (const auto &[name, pool] : pools_)
        sum += pool.entries.size();
    return sum;
}

bool WaitingList::empty() const
{
    return size() == 0;
}

} // namespace crocusport
