#include "ownrequests.h"

#include <algorithm>

namespace crocusport {

OwnRequest *OwnRequests::find(const RequestId &request)
{
    const auto found = requests_.find(request);
    return found == requests_.end() ? nullptr : &found->second;
}

OwnRequest &OwnRequests::add(const SlotRequest &request)
{
    OwnRequest &own = requests_[request.request];
    own.request = request;
    return own;
}

void OwnRequests::remove(const RequestId &request)
{
    const auto found = requests_.find(request);
    if (found == requests_.end())
        return;
    setTimer(found->second, std::nullopt);
    requests_.erase(found);
}

std::vector<RequestId> OwnRequests::ids() const
{
    std::vector<RequestId> ids;
    ids.reserve(requests_.size());
    for (const auto &[id, own] : requests_)
        ids.push_back(id);
    // Sorted, so that decisions do not depend on the order of the hash table.
    std::sort(ids.begin(), ids.end());
    return ids;
}

void OwnRequests::setTimer(OwnRequest &own, std::optional<Instant> dueAt)
{
    if (own.dueAt)
        timers_.erase({ *own.dueAt, own.request.request });
    own.dueAt = dueAt;
    if (dueAt)
        timers_.emplace(*dueAt, own.request.request);
}

OwnRequest *OwnRequests::takeDue(Instant now)
{
    if (timers_.empty() || timers_.begin()->first > now)
        return nullptr;
    OwnRequest *const own = find(timers_.begin()->second);
    timers_.erase(timers_.begin());
    own->dueAt.reset();
    return own;
}

std::optional<Instant> OwnRequests::nextTimer() const
{
    return timers_.empty() ? std::nullopt : std::optional(timers_.begin()->first);
}

} // namespace crocusport
