#include "requestexplainer.h"

#include "requestidgenerator.h"

#include "crocusport/transport/eventloop.h"

#include <utility>

namespace crocusport {

namespace {

constexpr Duration kExplainTimeout = std::chrono::seconds(1);

} // namespace

RequestExplainer::RequestExplainer(EventLoop &loop, const RouterName &self,
                                   const RequestJournal &journal, Sender send)
    : loop_(loop), self_(self), journal_(journal), send_(std::move(send))
{ }

void RequestExplainer::explain(const RequestId &request, Reply reply)
{
    auto events = journal_.events(request);
    const auto owner = RequestIdGenerator::routerOf(request);
    if (!events.empty() || !owner || *owner == self_) {
        reply(std::move(events));
        return;
    }
    const auto sequence = nextSequence_++;
    auto &pending = pending_[sequence];
    pending.reply = std::move(reply);
    pending.timeout = std::make_unique<Timer>(loop_, [this, sequence] { finish(sequence, {}); });
    pending.timeout->startOnce(kExplainTimeout);
    send_({ *owner, ExplainRequestMessage { sequence, request } });
}

void RequestExplainer::handleMessage(const RouterName &from, const PeerMessage &message)
{
    if (const auto *const request = std::get_if<ExplainRequestMessage>(&message)) {
        send_(
            { from, ExplainReplyMessage { request->sequence, journal_.events(request->request) } });
        return;
    }
    if (const auto *const answer = std::get_if<ExplainReplyMessage>(&message))
        finish(answer->sequence, answer->events);
}

void RequestExplainer::finish(std::uint64_t sequence, std::vector<std::string> events)
{
    const auto entry = pending_.find(sequence);
    if (entry == pending_.end())
        return;
    const auto reply = std::move(entry->second.reply);
    pending_.erase(entry);
    reply(std::move(events));
}

} // namespace crocusport
