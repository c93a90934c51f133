#ifndef CROCUSPORT_REQUESTJOURNAL_H
#define CROCUSPORT_REQUESTJOURNAL_H

#include "crocusport/state/identifiers.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusport {

/*!
    Keeps the recent events of recent requests in memory, so that an operator can ask why a request
    went where it went. Bounded: the oldest request is dropped first.

    Thread safety: loop thread only.
*/
class RequestJournal
{
public:
    RequestJournal(std::size_t maxRequests, std::size_t maxEventsPerRequest);

    //! Records one key=value line; beyond the limit for a request, lines are dropped.
    void record(const RequestId &request, std::string line);
    //! Events of \a request, oldest first; empty when unknown.
    std::vector<std::string> events(const RequestId &request) const;
    std::size_t size() const { return order_.size(); }

private:
    std::size_t maxRequests_;
    std::size_t maxEvents_;
    std::unordered_map<RequestId, std::vector<std::string>> events_;
    std::deque<RequestId> order_;
};

} // namespace crocusport

#endif // CROCUSPORT_REQUESTJOURNAL_H
