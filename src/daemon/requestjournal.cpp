#include "requestjournal.h"

#include <utility>

namespace crocusport {

RequestJournal::RequestJournal(std::size_t maxRequests, std::size_t maxEventsPerRequest)
    : maxRequests_(maxRequests), maxEvents_(maxEventsPerRequest)
{ }

void RequestJournal::record(const RequestId &request, std::string line)
{
    const auto [entry, isNew] = events_.try_emplace(request);
    if (isNew)
        order_.push_back(request);
    if (entry->second.size() < maxEvents_)
        entry->second.push_back(std::move(line));
    if (order_.size() > maxRequests_) {
        events_.erase(order_.front());
        order_.pop_front();
    }
}

std::vector<std::string> RequestJournal::events(const RequestId &request) const
{
    const auto entry = events_.find(request);
    return entry == events_.end() ? std::vector<std::string> {} : entry->second;
}

} // namespace crocusport
