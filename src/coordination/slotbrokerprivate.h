#ifndef CROCUSPORT_SLOTBROKERPRIVATE_H
#define CROCUSPORT_SLOTBROKERPRIVATE_H

#include "backendservers.h"
#include "crocusport/coordination/slotbroker.h"
#include "crocusport/state/resultcode.h"
#include "fallbackpool.h"
#include "heldpool.h"
#include "ownrequests.h"

#include <map>
#include <utility>
#include <vector>

namespace crocusport {

//! State and message handling of a SlotBroker.
struct SlotBroker::Private
{
    Private(RouterName name, QueuePolicy queuePolicy, std::uint64_t randomSeed)
        : self(std::move(name)), policy(queuePolicy), seed(randomSeed)
    { }

    const RouterName &holderOf(const PoolName &pool);
    HeldPool &heldPool(const PoolName &pool, Instant now);
    FallbackPool &fallbackPool(const PoolName &pool, Instant now);
    std::size_t fallbackLimit(const PoolName &pool) const;
    void send(const RouterName &to, PeerMessage message);

    // Requests of this router.
    void submitToHolder(OwnRequest &own, Instant now);
    void sendRequest(const OwnRequest &own, Instant now);
    void decideLocally(OwnRequest &own, Instant now);
    void start(const RouterName &from, OwnRequest &own, const SlotGrant &grant, Instant now);
    void startLocally(FallbackPool &pool, const SlotGrant &grant, Instant now);
    void refuse(OwnRequest &own, ResultCode code, Duration retryAfter, Instant now);
    void releaseGrant(const RouterName &to, const SlotGrant &grant, Instant now);
    void cancelAtHolder(const OwnRequest &own, Instant now);
    void handleTimer(OwnRequest &own, Instant now);
    void moveToHolder(OwnRequest &own, Instant now);

    // Decisions, made by this router's own schedulers or received in messages.
    void handleGrant(const RouterName &from, const SlotGrant &grant, Instant now);
    void handleRefusal(const RouterName &from, const SlotRefusal &refusal, Instant now);
    void runHeld(HeldPool &pool, Instant now);
    void runFallback(FallbackPool &pool, Instant now);
    void changeHolders(const std::map<PoolName, RouterName> &oldHolders, Instant now);

    void handle(const RouterName &from, const SlotRequestMessage &message, Instant now);
    void handle(const RouterName &from, const SlotQueuedMessage &message, Instant now);
    void handle(const RouterName &from, const SlotGrantMessage &message, Instant now);
    void handle(const RouterName &from, const SlotRefusedMessage &message, Instant now);
    void handle(const RouterName &from, const SlotReleaseMessage &message, Instant now);
    void handle(const RouterName &from, const SlotCancelMessage &message, Instant now);
    template<typename Other>
    void handle(const RouterName & /*from*/, const Other & /*message*/, Instant /*now*/)
    { }

    RouterName self;
    QueuePolicy policy;
    std::uint64_t seed;
    Duration acknowledgeTimeout = kDefaultAcknowledgeTimeout;
    BackendServers servers;
    std::vector<RouterName> liveMembers;
    std::vector<RouterName> known;          //!< Live and leaving members.
    std::map<PoolName, RouterName> holders; //!< Cache of holderOf() for liveMembers.
    std::optional<Instant> membersChangedAt;
    OwnRequests requests;
    std::map<PoolName, HeldPool> heldPools;
    std::map<PoolName, FallbackPool> fallbacks;
    SlotBrokerOutput output;
};

} // namespace crocusport

#endif // CROCUSPORT_SLOTBROKERPRIVATE_H
