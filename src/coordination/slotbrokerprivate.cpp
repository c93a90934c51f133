#include "slotbrokerprivate.h"

#include "crocusport/coordination/rendezvous.h"
#include "crocusport/state/resultcode.h"

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

//! A new holder waits this long for running requests to be repeated to it, before it schedules
//! requests of tiers below the most urgent one.
constexpr Duration kGraceTime = std::chrono::milliseconds(150);
//! Waiting requests are repeated to the holder at intervals that double from kFirstRepeat up to
//! kMaxRepeat, so that long queues need few messages.
constexpr Duration kFirstRepeat = std::chrono::seconds(1);
constexpr Duration kMaxRepeat = std::chrono::seconds(16);
//! Interval at which running requests are repeated to the holder. Must stay well below the time
//! after which a holder removes a request that was not repeated (kEntryLease of HeldPool).
constexpr Duration kRunningRepeat = std::chrono::seconds(10);
//! Interval at which a request is sent again to a holder that did not acknowledge it.
constexpr Duration kHolderRetry = std::chrono::seconds(1);
//! While the holder does not answer, each router starts requests on up to twice its even share of
//! the pool's slots. It cannot see whether the other routers are busy, and the backend servers' own
//! limits bound the total.
constexpr std::size_t kFallbackShare = 2;
constexpr std::size_t kMinFallbackLimit = 4;

} // namespace

const RouterName &SlotBroker::Private::holderOf(const PoolName &pool)
{
    const auto found = holders.find(pool);
    if (found != holders.end())
        return found->second;
    auto order = policy == QueuePolicy::Holder ? rendezvousOrder(pool.value(), liveMembers, 1)
                                               : std::vector<RouterName> {};
    return holders.emplace(pool, order.empty() ? self : std::move(order.front())).first->second;
}

HeldPool &SlotBroker::Private::heldPool(const PoolName &pool, Instant now)
{
    const auto found = heldPools.find(pool);
    if (found != heldPools.end())
        return found->second;
    // Caches the holder of the pool, so that changeHolders() detects when the holder changes.
    holderOf(pool);
    const auto graceUntil =
        policy == QueuePolicy::Holder && membersChangedAt ? *membersChangedAt + kGraceTime : now;
    return heldPools
        .emplace(pool, HeldPool(self, servers.makeScheduler(pool, policy, seed, now), graceUntil))
        .first->second;
}

FallbackPool &SlotBroker::Private::fallbackPool(const PoolName &pool, Instant now)
{
    const auto found = fallbacks.find(pool);
    if (found != fallbacks.end())
        return found->second;
    FallbackPool created(servers.makeScheduler(pool, policy, seed + 1, now), fallbackLimit(pool));
    for (const auto &id : requests.ids()) {
        const OwnRequest *const own = requests.find(id);
        if (own->request.pool == pool && !own->isWaiting())
            created.addRunning(own->request, now);
    }
    return fallbacks.emplace(pool, std::move(created)).first->second;
}

std::size_t SlotBroker::Private::fallbackLimit(const PoolName &pool) const
{
    const auto members = std::max<std::size_t>(liveMembers.size(), 1);
    return std::max(kMinFallbackLimit, kFallbackShare * servers.slotsOf(pool) / members);
}

void SlotBroker::Private::send(const RouterName &to, PeerMessage message)
{
    output.messages.push_back({ to, std::move(message) });
}

void SlotBroker::Private::submitToHolder(OwnRequest &own, Instant now)
{
    own.holder = holderOf(own.request.pool);
    own.repeatAfter = kFirstRepeat;
    if (own.holder == self) {
        heldPool(own.request.pool, now).submit(own.request, now);
        if (own.isWaiting())
            own.state = OwnRequestState::Queued;
        requests.setTimer(own,
                          own.isWaiting() ? std::optional(own.request.deadline) : std::nullopt);
        return;
    }
    sendRequest(own, now);
    if (!own.isWaiting()) {
        requests.setTimer(own, now + kRunningRepeat);
    } else if (own.state != OwnRequestState::Local) {
        own.state = OwnRequestState::Asked;
        requests.setTimer(own, std::min(now + acknowledgeTimeout, own.request.deadline));
    }
}

void SlotBroker::Private::sendRequest(const OwnRequest &own, Instant now)
{
    SlotRequestMessage message;
    message.request = own.request;
    message.waited = now - own.request.arrived;
    message.remaining = own.request.deadline - now;
    send(own.holder, std::move(message));
}

void SlotBroker::Private::decideLocally(OwnRequest &own, Instant now)
{
    own.state = OwnRequestState::Local;
    fallbackPool(own.request.pool, now).add(own.request, now);
    requests.setTimer(own, std::min(now + kHolderRetry, own.request.deadline));
}

void SlotBroker::Private::handleTimer(OwnRequest &own, Instant now)
{
    if (own.isWaiting() && now >= own.request.deadline) {
        cancelAtHolder(own, now);
        refuse(own, ResultCode::DeadlinePassed, own.estimatedWait, now);
        return;
    }
    switch (own.state) {
    case OwnRequestState::Asked:
        decideLocally(own, now);
        break;
    case OwnRequestState::Queued:
        // The grant may have been lost, or the holder may have been paused or restarted.
        own.state = OwnRequestState::Asked;
        sendRequest(own, now);
        requests.setTimer(own, std::min(now + acknowledgeTimeout, own.request.deadline));
        break;
    case OwnRequestState::Local:
        sendRequest(own, now);
        requests.setTimer(own, std::min(now + kHolderRetry, own.request.deadline));
        break;
    case OwnRequestState::Running:
        sendRequest(own, now);
        requests.setTimer(own, now + kRunningRepeat);
        break;
    }
}

void SlotBroker::Private::start(const RouterName &from, OwnRequest &own, const SlotGrant &grant,
                                Instant now)
{
    own.state = OwnRequestState::Running;
    own.request.runningOn = grant.server;
    const auto fallback = fallbacks.find(own.request.pool);
    if (fallback != fallbacks.end()) {
        fallback->second.remove(own.request.request, now);
        fallback->second.addRunning(own.request, now);
    }
    // If another router than the holder made the grant, the holder must be told to count the slot.
    if (own.holder == self && from != self)
        heldPool(own.request.pool, now).submit(own.request, now);
    else if (own.holder != from)
        sendRequest(own, now);
    requests.setTimer(own, own.holder == self ? std::nullopt : std::optional(now + kRunningRepeat));
    output.grants.push_back(grant);
}

void SlotBroker::Private::startLocally(FallbackPool &pool, const SlotGrant &grant, Instant now)
{
    OwnRequest *const own = requests.find(grant.request);
    if (!own || own->state != OwnRequestState::Local || now >= own->request.deadline) {
        pool.remove(grant.request, now);
        return;
    }
    own->state = OwnRequestState::Running;
    own->request.runningOn = grant.server;
    sendRequest(*own, now);
    requests.setTimer(*own, now + kRunningRepeat);
    output.grants.push_back(grant);
}

void SlotBroker::Private::refuse(OwnRequest &own, ResultCode code, Duration retryAfter, Instant now)
{
    const auto request = own.request.request;
    const auto fallback = fallbacks.find(own.request.pool);
    if (fallback != fallbacks.end())
        fallback->second.remove(request, now);
    output.refusals.push_back(
        { request, self, own.request.pool, static_cast<int>(code), retryAfter });
    requests.remove(request);
}

void SlotBroker::Private::releaseGrant(const RouterName &to, const SlotGrant &grant, Instant now)
{
    SlotRelease release;
    release.request = grant.request;
    release.pool = grant.pool;
    release.server = grant.server;
    release.reason = ReleaseReason::Cancelled;
    if (to == self)
        heldPool(grant.pool, now).release(self, release, now);
    else
        send(to, SlotReleaseMessage { std::move(release) });
}

void SlotBroker::Private::cancelAtHolder(const OwnRequest &own, Instant now)
{
    if (own.holder == self) {
        const auto pool = heldPools.find(own.request.pool);
        if (pool != heldPools.end())
            pool->second.cancel(self, own.request.request, now);
        return;
    }
    send(own.holder, SlotCancelMessage { own.request.request, own.request.pool });
}

void SlotBroker::Private::moveToHolder(OwnRequest &own, Instant now)
{
    const bool isOldHolderKnown = std::binary_search(known.begin(), known.end(), own.holder);
    if (own.holder == self || isOldHolderKnown)
        cancelAtHolder(own, now);
    submitToHolder(own, now);
}

void SlotBroker::Private::handleGrant(const RouterName &from, const SlotGrant &grant, Instant now)
{
    OwnRequest *const own = requests.find(grant.request);
    if (!own) {
        releaseGrant(from, grant, now);
        return;
    }
    if (!own->isWaiting()) {
        // The request already runs. A grant for the same server is a repeated message. A slot of
        // another server is not needed and is released.
        if (own->request.runningOn == grant.server)
            return;
        releaseGrant(from, grant, now);
        if (from == own->holder)
            sendRequest(*own, now);
        return;
    }
    if (now >= own->request.deadline) {
        releaseGrant(from, grant, now);
        if (from != own->holder)
            cancelAtHolder(*own, now);
        refuse(*own, ResultCode::DeadlinePassed, own->estimatedWait, now);
        return;
    }
    const auto &excluded = own->request.excluded;
    if (std::find(excluded.begin(), excluded.end(), grant.server) != excluded.end()) {
        // The grant was made for an earlier attempt; its message was repeated or delayed.
        releaseGrant(from, grant, now);
        if (from == own->holder)
            submitToHolder(*own, now);
        return;
    }
    start(from, *own, grant, now);
}

void SlotBroker::Private::handleRefusal(const RouterName &from, const SlotRefusal &refusal,
                                        Instant now)
{
    OwnRequest *const own = requests.find(refusal.request);
    if (!own || !own->isWaiting())
        return;
    const bool isLocal = from == self && own->holder != self;
    // A refusal of a former holder is ignored: it may not know all servers that the present holder
    // knows.
    if (!isLocal && from != own->holder)
        return;
    if (isLocal)
        cancelAtHolder(*own, now);
    refuse(*own, static_cast<ResultCode>(refusal.code), refusal.retryAfter, now);
}

void SlotBroker::Private::runHeld(HeldPool &pool, Instant now)
{
    auto decisions = pool.run(now);
    for (auto &grant : decisions.grants) {
        if (grant.router == self)
            handleGrant(self, grant, now);
        else
            send(grant.router, SlotGrantMessage { grant });
    }
    for (auto &refusal : decisions.refusals) {
        if (refusal.router == self)
            handleRefusal(self, refusal, now);
        else
            send(refusal.router, SlotRefusedMessage { refusal });
    }
    for (auto &[router, message] : decisions.queued)
        send(router, std::move(message));
}

void SlotBroker::Private::runFallback(FallbackPool &pool, Instant now)
{
    const auto decisions = pool.run(now);
    for (const auto &grant : decisions.grants)
        startLocally(pool, grant, now);
    for (const auto &refusal : decisions.refusals)
        handleRefusal(self, refusal, now);
}

void SlotBroker::Private::changeHolders(const std::map<PoolName, RouterName> &oldHolders,
                                        Instant now)
{
    for (const auto &[name, oldHolder] : oldHolders) {
        const auto &newHolder = holderOf(name);
        if (newHolder == oldHolder)
            continue;
        if (oldHolder == self)
            heldPools.erase(name);
        else if (newHolder == self)
            heldPool(name, now).setGrace(now + kGraceTime);
    }
    for (const auto &id : requests.ids()) {
        OwnRequest &own = *requests.find(id);
        if (holderOf(own.request.pool) != own.holder)
            moveToHolder(own, now);
    }
    std::erase_if(fallbacks, [&](const auto &entry) { return holderOf(entry.first) == self; });
    for (auto &[name, pool] : fallbacks)
        pool.setLimit(fallbackLimit(name));
}

void SlotBroker::Private::handle(const RouterName &from, const SlotRequestMessage &message,
                                 Instant now)
{
    auto request = message.request;
    request.router = from;
    request.arrived = now - message.waited;
    request.deadline = now + message.remaining;
    // The request is also accepted if this router considers another router the holder. The routers
    // will soon agree on the members, and until then this router's decision is based on more
    // knowledge than a decision of the sender by itself.
    heldPool(request.pool, now).submit(request, now);
}

void SlotBroker::Private::handle(const RouterName &from, const SlotQueuedMessage &message,
                                 Instant now)
{
    OwnRequest *const own = requests.find(message.request);
    if (!own || from != own->holder) {
        // The message does not name the pool, and this router may not have the request any more. So
        // the cancellation names no pool.
        send(from, SlotCancelMessage { message.request, PoolName() });
        return;
    }
    if (!own->isWaiting()) {
        // The message that told the holder that the request runs was lost or is late.
        sendRequest(*own, now);
        return;
    }
    own->estimatedWait = message.estimatedWait;
    if (own->state == OwnRequestState::Queued)
        return;
    if (own->state == OwnRequestState::Local)
        fallbackPool(own->request.pool, now).remove(message.request, now);
    own->state = OwnRequestState::Queued;
    requests.setTimer(*own, std::min(now + own->repeatAfter, own->request.deadline));
    own->repeatAfter = std::min(2 * own->repeatAfter, kMaxRepeat);
}

void SlotBroker::Private::handle(const RouterName &from, const SlotGrantMessage &message,
                                 Instant now)
{
    handleGrant(from, message.grant, now);
}

void SlotBroker::Private::handle(const RouterName &from, const SlotRefusedMessage &message,
                                 Instant now)
{
    handleRefusal(from, message.refusal, now);
}

void SlotBroker::Private::handle(const RouterName &from, const SlotReleaseMessage &message,
                                 Instant now)
{
    const auto pool = heldPools.find(message.release.pool);
    if (pool != heldPools.end())
        pool->second.release(from, message.release, now);
}

void SlotBroker::Private::handle(const RouterName &from, const SlotCancelMessage &message,
                                 Instant now)
{
    for (auto &[name, pool] : heldPools) {
        if (message.pool == name || message.pool.value().empty())
            pool.cancel(from, message.request, now);
    }
}

} // namespace crocusport
