#include "crocusport/state/poolscheduler.h"

#include "crocusport/state/resultcode.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace crocusport {

namespace {

constexpr Duration kDefaultServiceTime = std::chrono::seconds(1);
constexpr std::size_t kCrashesToRefuse = 2;
constexpr Duration kCrashRefusalTime = std::chrono::minutes(10);

struct Server
{
    BackendServer server;
    bool listed = false;
    bool leaving = false;
    Instant unavailableUntil {};
    std::uint32_t running = 0;
};

struct Waiting
{
    SlotRequest request;
    Instant queued;
};

} // namespace

struct PoolScheduler::Private
{
    PoolPolicy policy;
    std::map<BackendServerName, Server> servers;
    std::vector<Waiting> waiting; //!< In the order of arrival.
    std::map<RequestId, SlotRequest> running;
    std::map<Fingerprint, std::set<std::string>> crashes;
    std::map<Fingerprint, Instant> refusedUntil;
    std::vector<SlotRefusal> refusals;

    bool usable(const Server &server, Instant now) const;
    std::uint32_t slots(Instant now) const;
    std::uint32_t freeSlots(Instant now) const;
    std::uint32_t lowerTierRunning() const;
    std::uint32_t waitingInTier(Tier tier) const;
    bool isMarked(const SlotRequest &request) const;
    Duration waitFor(Instant now) const;
    Server *place(const SlotRequest &request, Instant now);
    void refuse(const SlotRequest &request, ResultCode code, Duration retryAfter);
    void refuseHopeless(Instant now);
    bool startOne(SchedulerDecisions &decisions, Instant now);
    void start(std::size_t index, Server &server, SchedulerDecisions &decisions);
    void forgetRunning(std::map<RequestId, SlotRequest>::iterator found);
};

bool PoolScheduler::Private::usable(const Server &server, Instant now) const
{
    return server.listed && !server.leaving && server.unavailableUntil <= now;
}

std::uint32_t PoolScheduler::Private::slots(Instant now) const
{
    std::uint32_t sum = 0;
    for (const auto &[name, server] : servers)
        sum += usable(server, now) ? server.server.slots : 0;
    return sum;
}

std::uint32_t PoolScheduler::Private::freeSlots(Instant now) const
{
    std::uint32_t sum = 0;
    for (const auto &[name, server] : servers) {
        if (usable(server, now) && server.running < server.server.slots)
            sum += server.server.slots - server.running;
    }
    return sum;
}

std::uint32_t PoolScheduler::Private::lowerTierRunning() const
{
    return static_cast<std::uint32_t>(
        std::count_if(running.begin(), running.end(),
                      [](const auto &entry) { return entry.second.tier.value() > kUrgentTier; }));
}

std::uint32_t PoolScheduler::Private::waitingInTier(Tier tier) const
{
    return static_cast<std::uint32_t>(
        std::count_if(waiting.begin(), waiting.end(),
                      [&](const Waiting &entry) { return entry.request.tier == tier; }));
}

bool PoolScheduler::Private::isMarked(const SlotRequest &request) const
{
    return crashes.contains(request.fingerprint);
}

Duration PoolScheduler::Private::waitFor(Instant now) const
{
    const auto inSystem = static_cast<std::int64_t>(waiting.size() + running.size());
    return kDefaultServiceTime * (inSystem + 1) / std::max(1U, slots(now));
}

Server *PoolScheduler::Private::place(const SlotRequest &request, Instant now)
{
    std::set<BackendServerName> isolated;
    if (isMarked(request)) {
        for (const auto &[id, other] : running) {
            if (isMarked(other))
                isolated.insert(*other.runningOn);
        }
    }
    Server *best = nullptr;
    for (auto &[name, server] : servers) {
        const bool failedThere = std::find(request.excluded.begin(), request.excluded.end(), name)
            != request.excluded.end();
        if (!usable(server, now) || server.running >= server.server.slots || failedThere
            || isolated.contains(name))
            continue;
        if (best == nullptr
            || server.running * best->server.slots < best->running * server.server.slots)
            best = &server;
    }
    return best;
}

void PoolScheduler::Private::refuse(const SlotRequest &request, ResultCode code,
                                    Duration retryAfter)
{
    refusals.push_back({ .request = request.request,
                         .router = request.router,
                         .pool = request.pool,
                         .code = static_cast<int>(code),
                         .retryAfter = retryAfter });
}

void PoolScheduler::Private::refuseHopeless(Instant now)
{
    std::erase_if(waiting, [&](const Waiting &entry) {
        const auto refused = refusedUntil.find(entry.request.fingerprint);
        if (refused != refusedUntil.end() && refused->second > now) {
            refuse(entry.request, ResultCode::SuspectedCrashCause, refused->second - now);
            return true;
        }
        if (entry.request.deadline <= now) {
            refuse(entry.request, ResultCode::DeadlinePassed, waitFor(now));
            return true;
        }
        return false;
    });
}

void PoolScheduler::Private::start(std::size_t index, Server &server, SchedulerDecisions &decisions)
{
    auto request = waiting[index].request;
    waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
    request.runningOn = server.server.name;
    ++server.running;
    decisions.grants.push_back({ .request = request.request,
                                 .router = request.router,
                                 .pool = request.pool,
                                 .server = server.server.name });
    running.emplace(request.request, std::move(request));
}

bool PoolScheduler::Private::startOne(SchedulerDecisions &decisions, Instant now)
{
    const auto total = slots(now);
    const auto floor = std::max(1L, std::lround(policy.backgroundShare * total));
    const auto reserve = total < 4 ? 0L : std::max(1L, std::lround(policy.urgentReserve * total));
    const bool floorFree = lowerTierRunning() < floor;
    const bool headroomFree = freeSlots(now) > reserve;
    std::stable_sort(waiting.begin(), waiting.end(), [&](const auto &left, const auto &right) {
        const auto rank = [&](const Waiting &entry) {
            const bool due = now >= entry.queued + policy.floorAfter
                || now >= entry.request.deadline - 2 * kDefaultServiceTime;
            const bool first = entry.request.tier.value() > kUrgentTier && due && floorFree;
            return std::pair(first ? 0 : 1, entry.request.tier);
        };
        return rank(left) < rank(right);
    });
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        const auto &entry = waiting[i];
        const bool due = now >= entry.queued + policy.floorAfter
            || now >= entry.request.deadline - 2 * kDefaultServiceTime;
        const bool lower = entry.request.tier.value() > kUrgentTier;
        if (lower && !headroomFree && !(due && floorFree))
            continue;
        if (auto *server = place(entry.request, now)) {
            start(i, *server, decisions);
            return true;
        }
    }
    return false;
}

void PoolScheduler::Private::forgetRunning(std::map<RequestId, SlotRequest>::iterator found)
{
    --servers.at(*found->second.runningOn).running;
    running.erase(found);
}

PoolScheduler::PoolScheduler(const PoolPolicy &policy, std::uint64_t /*seed*/)
    : d_(std::make_unique<Private>())
{
    d_->policy = policy;
}

PoolScheduler::~PoolScheduler() = default;
PoolScheduler::PoolScheduler(PoolScheduler &&) noexcept = default;
PoolScheduler &PoolScheduler::operator=(PoolScheduler &&) noexcept = default;

void PoolScheduler::setPolicy(const PoolPolicy &policy)
{
    d_->policy = policy;
}

void PoolScheduler::setBackendServers(const std::vector<BackendServer> &servers, Instant /*now*/)
{
    for (auto &[name, server] : d_->servers)
        server.listed = false;
    for (const auto &listed : servers) {
        auto &server = d_->servers[listed.name];
        if (listed.start > server.server.start) {
            server.leaving = false;
            server.unavailableUntil = {};
        }
        server.server = listed;
        server.listed = true;
        server.leaving = server.leaving || listed.state == BackendServerState::Leaving;
    }
    std::erase_if(d_->servers, [](const auto &entry) {
        return !entry.second.listed && entry.second.running == 0;
    });
}

void PoolScheduler::markLeaving(const BackendServerName &server, StartNumber start)
{
    const auto found = d_->servers.find(server);
    if (found != d_->servers.end() && start >= found->second.server.start)
        found->second.leaving = true;
}

void PoolScheduler::markUnavailable(const BackendServerName &server, StartNumber start,
                                    Instant until)
{
    const auto found = d_->servers.find(server);
    if (found != d_->servers.end() && start >= found->second.server.start)
        found->second.unavailableUntil = until;
}

void PoolScheduler::addCrashMark(Fingerprint fingerprint, const std::string &crash, Instant now)
{
    auto &crashes = d_->crashes[fingerprint];
    if (crashes.insert(crash).second && crashes.size() >= kCrashesToRefuse)
        d_->refusedUntil[fingerprint] = now + kCrashRefusalTime;
}

void PoolScheduler::submit(const SlotRequest &request, Instant now)
{
    const bool known = d_->running.contains(request.request)
        || std::any_of(d_->waiting.begin(), d_->waiting.end(), [&](const Waiting &entry) {
                           return entry.request.request == request.request;
                       });
    if (known)
        return;
    if (request.runningOn) {
        auto &server = d_->servers[*request.runningOn];
        server.server.name = *request.runningOn;
        ++server.running;
        d_->running.emplace(request.request, request);
        return;
    }
    if (d_->waitingInTier(request.tier) >= d_->policy.maxQueuedPerTier) {
        d_->refuse(request, ResultCode::QueueFull, d_->waitFor(now));
        return;
    }
    d_->waiting.push_back({ .request = request, .queued = now });
}

void PoolScheduler::release(const SlotRelease &release, Instant now)
{
    const auto found = d_->running.find(release.request);
    if (found == d_->running.end())
        return;
    const auto fingerprint = found->second.fingerprint;
    if (release.reason == ReleaseReason::Completed)
        d_->crashes.erase(fingerprint);
    else if (release.reason == ReleaseReason::Crashed)
        addCrashMark(fingerprint, release.server.value() + "/" + release.request.value(), now);
    d_->forgetRunning(found);
}

void PoolScheduler::cancel(const RequestId &request, Instant /*now*/)
{
    if (const auto found = d_->running.find(request); found != d_->running.end())
        d_->forgetRunning(found);
    std::erase_if(d_->waiting,
                  [&](const Waiting &entry) { return entry.request.request == request; });
}

void PoolScheduler::removeRouter(const RouterName &router, Instant /*now*/)
{
    std::erase_if(d_->waiting,
                  [&](const Waiting &entry) { return entry.request.router == router; });
    for (auto it = d_->running.begin(); it != d_->running.end();) {
        const auto next = std::next(it);
        if (it->second.router == router)
            d_->forgetRunning(it);
        it = next;
    }
}

SchedulerDecisions PoolScheduler::decide(Instant now)
{
    SchedulerDecisions decisions;
    d_->refuseHopeless(now);
    while (d_->startOne(decisions, now)) {
    }
    decisions.refusals = std::exchange(d_->refusals, {});
    return decisions;
}

std::optional<Instant> PoolScheduler::nextDecisionTime(Instant now) const
{
    std::optional<Instant> next;
    const auto consider = [&](Instant time) {
        if (time > now && (!next || time < *next))
            next = time;
    };
    for (const auto &entry : d_->waiting) {
        consider(entry.queued + d_->policy.floorAfter);
        consider(entry.request.deadline - 2 * kDefaultServiceTime);
        consider(entry.request.deadline);
    }
    if (!d_->waiting.empty()) {
        for (const auto &[name, server] : d_->servers)
            consider(server.unavailableUntil);
    }
    return d_->refusals.empty() ? next : std::optional(now);
}

QueueEstimate PoolScheduler::estimate(const RequestId &request, Instant now) const
{
    for (std::size_t i = 0; i < d_->waiting.size(); ++i) {
        if (d_->waiting[i].request.request == request)
            return { .position = static_cast<std::uint32_t>(i), .wait = d_->waitFor(now) };
    }
    return {};
}

PoolStatus PoolScheduler::status(Instant now) const
{
    PoolStatus status { .pool = d_->policy.name,
                        .waitingByTier = std::vector<std::uint32_t>(kLowestTier),
                        .servers = {} };
    for (int tier = kUrgentTier; tier <= kLowestTier; ++tier)
        status.waitingByTier[static_cast<std::size_t>(tier) - 1] = d_->waitingInTier(Tier(tier));
    for (const auto &[name, server] : d_->servers) {
        const auto *const reason = !server.listed ? "not in the host list"
            : server.leaving                      ? "leaving"
            : server.unavailableUntil > now       ? "unavailable"
                                                  : "";
        status.servers.push_back({ .server = server.server,
                                   .running = server.running,
                                   .slowFactor = 1,
                                   .excludedBecause = reason });
    }
    return status;
}

std::size_t PoolScheduler::waitingCount() const
{
    return d_->waiting.size();
}

std::size_t PoolScheduler::runningCount() const
{
    return d_->running.size();
}

} // namespace crocusport
