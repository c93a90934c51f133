#ifndef CROCUSPORT_REQUESTEXPLAINER_H
#define CROCUSPORT_REQUESTEXPLAINER_H

#include "requestjournal.h"

#include "crocusport/coordination/peermessage.h"
#include "crocusport/transport/timer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocusport {

class EventLoop;

/*!
    Collects the events of a request from this router and, when it does not know the request, from
    the router that the request id names.

    Thread safety: loop thread only.
*/
class RequestExplainer
{
public:
    using Reply = std::function<void(std::vector<std::string> events)>;
    using Sender = std::function<void(OutgoingMessage message)>;

    RequestExplainer(EventLoop &loop, const RouterName &self, const RequestJournal &journal,
                     Sender send);

    //! Calls \a reply once: at once, on the other router's answer, or after a second with nothing.
    void explain(const RequestId &request, Reply reply);
    //! Handles ExplainRequest and ExplainReply; ignores others.
    void handleMessage(const RouterName &from, const PeerMessage &message);

private:
    struct Pending
    {
        Reply reply;
        std::unique_ptr<Timer> timeout;
    };

    void finish(std::uint64_t sequence, std::vector<std::string> events);

    EventLoop &loop_;
    RouterName self_;
    const RequestJournal &journal_;
    Sender send_;
    std::uint64_t nextSequence_ = 1;
    std::map<std::uint64_t, Pending> pending_;
};

} // namespace crocusport

#endif // CROCUSPORT_REQUESTEXPLAINER_H
