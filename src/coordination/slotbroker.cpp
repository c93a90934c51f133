#include "crocusport/coordination/slotbroker.h"

#include "slotbrokerprivate.h"

#include <algorithm>
#include <utility>

namespace crocusport {

SlotBroker::SlotBroker(const RouterName &self, QueuePolicy policy, std::uint64_t seed)
    : d_(std::make_unique<Private>(self, policy, seed))
{ }

SlotBroker::~SlotBroker() = default;

void SlotBroker::setAcknowledgeTimeout(Duration timeout)
{
    d_->acknowledgeTimeout = timeout;
}

void SlotBroker::setConfiguration(std::shared_ptr<const Configuration> configuration,
                                  Instant /*now*/)
{
    d_->servers.setConfiguration(std::move(configuration));
    for (auto &[name, pool] : d_->heldPools) {
        pool.scheduler().setPolicy(d_->servers.policyOf(name));
        pool.markChanged();
    }
    for (auto &[name, pool] : d_->fallbacks)
        pool.scheduler().setPolicy(d_->servers.policyOf(name));
}

void SlotBroker::setMembers(const std::vector<RouterName> &liveMembers, Instant now)
{
    setMembers(liveMembers, {}, now);
}

void SlotBroker::setMembers(const std::vector<RouterName> &liveMembers,
                            const std::vector<RouterName> &leavingMembers, Instant now)
{
    const auto before = std::exchange(d_->known, liveMembers);
    d_->known.insert(d_->known.end(), leavingMembers.begin(), leavingMembers.end());
    std::sort(d_->known.begin(), d_->known.end());
    d_->liveMembers = liveMembers;
    d_->membersChangedAt = now;
    const auto oldHolders = std::exchange(d_->holders, {});

    for (const auto &member : before) {
        if (member == d_->self || std::binary_search(d_->known.begin(), d_->known.end(), member))
            continue;
        for (auto &[name, pool] : d_->heldPools)
            pool.removeRouter(member, now);
    }
    d_->changeHolders(oldHolders, now);
}

void SlotBroker::setBackendServers(const std::vector<BackendServer> &servers, Instant now)
{
    d_->servers.setServers(servers);
    for (auto &[name, pool] : d_->heldPools) {
        pool.scheduler().setBackendServers(d_->servers.serversOf(name), now);
        pool.markChanged();
    }
    for (auto &[name, pool] : d_->fallbacks) {
        pool.scheduler().setBackendServers(d_->servers.serversOf(name), now);
        pool.setLimit(d_->fallbackLimit(name));
    }
}

void SlotBroker::observe(const Observation &observation, Instant now)
{
    d_->servers.addObservation(observation, now);
    for (auto &[name, pool] : d_->heldPools) {
        BackendServers::apply(pool.scheduler(), observation, now, now);
        pool.markChanged();
    }
    for (auto &[name, pool] : d_->fallbacks)
        BackendServers::apply(pool.scheduler(), observation, now, now);
}

void SlotBroker::request(const SlotRequest &request, Instant now)
{
    if (d_->requests.find(request.request))
        return;
    OwnRequest &own = d_->requests.add(request);
    own.request.router = d_->self;
    own.request.runningOn.reset();
    d_->submitToHolder(own, now);
}

void SlotBroker::release(const SlotRelease &release, Instant now)
{
    OwnRequest *const own = d_->requests.find(release.request);
    if (!own || own->isWaiting())
        return;
    if (own->holder == d_->self)
        d_->heldPool(own->request.pool, now).release(d_->self, release, now);
    else
        d_->send(own->holder, SlotReleaseMessage { release });
    const auto fallback = d_->fallbacks.find(own->request.pool);
    if (fallback != d_->fallbacks.end())
        fallback->second.remove(release.request, now);
    d_->requests.remove(release.request);
}

void SlotBroker::cancel(const RequestId &request, Instant now)
{
    const auto isSame = [&](const auto &decision) { return decision.request == request; };
    std::erase_if(d_->output.refusals, isSame);
    OwnRequest *const own = d_->requests.find(request);
    if (!own)
        return;
    if (!own->isWaiting()) {
        // A slot that was granted since the last run() is freed here, because the owner does not
        // know of the grant yet. A slot whose grant run() has returned is freed by release().
        const auto &grants = d_->output.grants;
        const auto grant = std::find_if(grants.begin(), grants.end(), isSame);
        if (grant == grants.end())
            return;
        std::erase_if(d_->output.grants, isSame);
    }
    d_->cancelAtHolder(*own, now);
    const auto fallback = d_->fallbacks.find(own->request.pool);
    if (fallback != d_->fallbacks.end())
        fallback->second.remove(request, now);
    d_->requests.remove(request);
}

void SlotBroker::handleMessage(const RouterName &from, const PeerMessage &message, Instant now)
{
    std::visit([&](const auto &known) { d_->handle(from, known, now); }, message);
}

SlotBrokerOutput SlotBroker::run(Instant now)
{
    for (auto &[name, pool] : d_->heldPools)
        d_->runHeld(pool, now);
    while (OwnRequest *const own = d_->requests.takeDue(now))
        d_->handleTimer(*own, now);
    for (auto &[name, pool] : d_->fallbacks)
        d_->runFallback(pool, now);
    std::erase_if(d_->fallbacks, [now](const auto &entry) { return entry.second.isIdle(now); });
    std::erase_if(d_->heldPools, [&](const auto &entry) {
        return entry.second.isEmpty() && d_->holderOf(entry.first) != d_->self;
    });
    return std::exchange(d_->output, {});
}

std::optional<Instant> SlotBroker::nextRunTime(Instant now) const
{
    const auto &output = d_->output;
    if (!output.messages.empty() || !output.grants.empty() || !output.refusals.empty())
        return now;
    auto next = d_->requests.nextTimer();
    const auto consider = [&](std::optional<Instant> time) {
        if (time)
            next = next ? std::min(*next, *time) : *time;
    };
    for (const auto &[name, pool] : d_->heldPools)
        consider(pool.nextRunTime(now));
    for (const auto &[name, pool] : d_->fallbacks)
        consider(pool.nextRunTime(now));
    return next;
}

RouterName SlotBroker::holderOf(const PoolName &pool) const
{
    return d_->holderOf(pool);
}

std::vector<PoolStatus> SlotBroker::status(Instant now) const
{
    std::vector<PoolStatus> statuses;
    for (const auto &[name, pool] : d_->heldPools)
        statuses.push_back(pool.scheduler().status(now));
    return statuses;
}

} // namespace crocusport
