#include "schedulermodel.h"

#include "crocusport/state/resultcode.h"

#include <algorithm>
#include <cmath>

namespace crocusport {

namespace {

constexpr Duration kQuickTime = std::chrono::milliseconds(100);
constexpr Duration kReportTime = std::chrono::seconds(30);

template<typename Map>
auto nth(Map &map, std::uint32_t index)
{
    return std::next(map.begin(), static_cast<std::ptrdiff_t>(index % map.size()));
}

bool isLong(const SlotRequest &request)
{
    return request.requestClass.value() == "report";
}

bool isUrgent(const SlotRequest &request)
{
    return request.tier.value() == kUrgentTier;
}

} // namespace

SchedulerModel::SchedulerModel(const PoolPolicy &policy,
                               const std::vector<std::uint32_t> &serverSlots)
    : policy_(policy), scheduler_(policy, 1)
{
    for (std::size_t i = 0; i < serverSlots.size(); ++i) {
        const BackendServerName name("server-" + std::to_string(i));
        servers_[name].server = { .name = name,
                                  .address = {},
                                  .zone = {},
                                  .region = {},
                                  .pool = policy.name,
                                  .state = BackendServerState::Live,
                                  .start = StartNumber(1),
                                  .slots = serverSlots[i] };
    }
    setServers();
    // Completes a request of each class first, because the checks assume that the scheduler knows
    // the service time of both classes.
    for (const auto *const requestClass : { "quick", "report" }) {
        submit(makeRequest(kUrgentTier, "team-0", requestClass, std::chrono::hours(1)));
        decide({});
        release(running().front().request, ReleaseReason::Completed);
    }
}

PoolPolicy SchedulerModel::defaultPolicy()
{
    PoolPolicy policy;
    policy.name = PoolName("assistant");
    policy.maxQueuedPerTier = 12;
    return policy;
}

Duration SchedulerModel::serviceTime(const SlotRequest &request)
{
    return isLong(request) ? kReportTime : kQuickTime;
}

SlotRequest SchedulerModel::makeRequest(int tier, const std::string &team,
                                        const std::string &requestClass, Duration allowance)
{
    return { .request = RequestId("request-" + std::to_string(nextId_++)),
             .router = RouterName("router"),
             .pool = policy_.name,
             .requestClass = ClassName(requestClass),
             .team = TeamName(team),
             .tier = Tier(tier),
             .arrived = now_,
             .deadline = now_ + allowance,
             .prefix = {},
             .fingerprint = {},
             .zone = {},
             .excluded = {},
             .runningOn = {} };
}

void SchedulerModel::require(bool condition, const std::string &violation, const RequestId &request)
{
    if (!condition)
        violations_.push_back(violation + ": " + request.value());
}

void SchedulerModel::setServers()
{
    std::vector<BackendServer> list;
    for (const auto &[name, server] : servers_)
        list.push_back(server.server);
    scheduler_.setBackendServers(list, now_);
}

void SchedulerModel::apply(const Call &call)
{
    auto &server = nth(servers_, call.first)->second;
    switch (call.kind) {
    case Call::Kind::Submit: {
        auto request = makeRequest(
            1 + static_cast<int>(call.first % 4), "team-" + std::to_string(call.second % 3),
            call.second % 4 == 0 ? "report" : "quick", std::chrono::seconds(1 + call.second % 200));
        request.fingerprint = Fingerprint(call.second % 5 < 2 ? 1 + call.first % 3 : 0);
        if (call.second % 7 == 0)
            request.excluded = { nth(servers_, call.second)->first };
        if (call.second % 11 == 0) {
            request.runningOn = nth(servers_, call.second)->first;
            request.fingerprint = {};
        }
        submit(request);
        break;
    }
    case Call::Kind::Release:
    case Call::Kind::Crash: {
        const auto reason = call.kind == Call::Kind::Crash ? ReleaseReason::Crashed
            : call.second % 4 == 0                         ? ReleaseReason::Failed
                                                           : ReleaseReason::Completed;
        if (!running_.empty())
            release(nth(running_, call.first)->first, reason);
        break;
    }
    case Call::Kind::Cancel:
        if (!waiting_.empty()) {
            scheduler_.cancel(nth(waiting_, call.first)->first, now_);
            waiting_.erase(nth(waiting_, call.first));
        }
        break;
    case Call::Kind::Decide:
        decide(std::chrono::milliseconds(call.first % 8000));
        break;
    case Call::Kind::Leave:
        server.leaving = true;
        scheduler_.markLeaving(server.server.name, server.server.start);
        break;
    case Call::Kind::Fail:
        server.unavailableUntil = std::max(server.unavailableUntil,
                                           now_ + Duration(std::chrono::seconds(call.second % 10)));
        scheduler_.markUnavailable(server.server.name, server.server.start,
                                   server.unavailableUntil);
        break;
    case Call::Kind::Restart:
        server.server.start = StartNumber(server.server.start.value() + 1);
        server.leaving = false;
        server.unavailableUntil = {};
        setServers();
        break;
    case Call::Kind::Resize:
        server.server.slots = 1 + call.second % 6;
        setServers();
        break;
    case Call::Kind::CrashReport: {
        const Fingerprint fingerprint(1 + call.first % 3);
        const auto crash = "crash-" + std::to_string(call.second % 20);
        crashes_.add(fingerprint, crash, now_);
        scheduler_.addCrashReport(fingerprint, crash, now_);
        break;
    }
    }
}

void SchedulerModel::submit(SlotRequest request)
{
    scheduler_.submit(request, now_);
    if (request.runningOn)
        running_.emplace(
            request.request,
            Request { .request = request, .start = servers_.at(*request.runningOn).server.start });
    else
        waiting_.emplace(request.request, std::move(request));
}

void SchedulerModel::recordCrash(const Request &request)
{
    const auto &server = *request.request.runningOn;
    const auto crash = crashId(server, request.start);
    const auto others = runningOn(server);
    const bool suspectOnServer =
        std::any_of(others.begin(), others.end(), [&](const Request *other) {
            return crashes_.isCrashSuspect(other->request.fingerprint);
        });
    if (crashes_.isCrashSuspect(request.request.fingerprint))
        crashes_.attribute(request.request.fingerprint, crash, now_);
    else if (!suspectOnServer)
        crashes_.add(request.request.fingerprint, crash, now_);
}

void SchedulerModel::release(const RequestId &request, ReleaseReason reason)
{
    const auto found = running_.find(request);
    scheduler_.release({ .request = request,
                         .pool = policy_.name,
                         .server = *found->second.request.runningOn,
                         .reason = reason,
                         .firstToken = kQuickTime,
                         .tokenGap = {},
                         .serviceTime = serviceTime(found->second.request),
                         .outputTokens = 1 },
                       now_);
    if (reason == ReleaseReason::Crashed)
        recordCrash(found->second);
    else if (reason == ReleaseReason::Completed)
        crashes_.clear(found->second.request.fingerprint);
    running_.erase(found);
}

bool SchedulerModel::usable(const Server &server) const
{
    return !server.leaving && server.unavailableUntil <= now_;
}

std::vector<const SchedulerModel::Request *>
SchedulerModel::runningOn(const BackendServerName &server) const
{
    std::vector<const Request *> found;
    for (const auto &[id, request] : running_) {
        if (request.request.runningOn == server)
            found.push_back(&request);
    }
    return found;
}

std::uint32_t SchedulerModel::slots() const
{
    std::uint32_t sum = 0;
    for (const auto &[name, server] : servers_)
        sum += usable(server) ? server.server.slots : 0;
    return sum;
}

std::uint32_t SchedulerModel::freeSlots() const
{
    std::uint32_t sum = 0;
    for (const auto &[name, server] : servers_) {
        const auto used = static_cast<std::uint32_t>(runningOn(name).size());
        sum += usable(server) && used < server.server.slots ? server.server.slots - used : 0;
    }
    return sum;
}

std::uint32_t SchedulerModel::lowerRunning() const
{
    return static_cast<std::uint32_t>(
        std::count_if(running_.begin(), running_.end(),
                      [](const auto &entry) { return !isUrgent(entry.second.request); }));
}

bool SchedulerModel::isDue(const SlotRequest &request) const
{
    return now_ >= request.deadline - 2 * serviceTime(request)
        || now_ >= request.arrived + policy_.floorAfter;
}

bool SchedulerModel::couldUse(const SlotRequest &request, const Server &server) const
{
    const auto others = runningOn(server.server.name);
    const auto longRunning = std::count_if(
        others.begin(), others.end(), [](const auto *other) { return isLong(other->request); });
    const auto suspectsRunning =
        std::count_if(others.begin(), others.end(), [&](const auto *other) {
            return crashes_.isCrashSuspect(other->request.fingerprint);
        });
    const auto longLimit = std::max(1.0, std::floor(policy_.longShare * server.server.slots));
    return usable(server) && others.size() < server.server.slots
        && std::find(request.excluded.begin(), request.excluded.end(), server.server.name)
        == request.excluded.end()
        && (!isLong(request) || static_cast<double>(longRunning) < longLimit)
        && (suspectsRunning == 0 || !crashes_.isCrashSuspect(request.fingerprint))
        && !crashes_.refusedUntil(request.fingerprint, now_);
}

void SchedulerModel::checkGrant(const SlotRequest &request, const Server &server,
                                const std::vector<SlotRequest> &urgentWaiting)
{
    require(couldUse(request, server), "started on a server that may not run it", request.request);
    if (isUrgent(request))
        return;
    const auto dueSlots = std::max(1L, std::lround(policy_.backgroundShare * slots()));
    const auto reservedSlots =
        slots() < 4 ? 0L : std::max(1L, std::lround(policy_.urgentReserve * slots()));
    if (isDue(request) && lowerRunning() < dueSlots)
        return;
    require(freeSlots() > reservedSlots, "lower tier used the slots kept for tier 1",
            request.request);
    for (const auto &urgent : urgentWaiting)
        require(!couldUse(urgent, server), "lower tier started before a waiting tier-1 request",
                request.request);
}

void SchedulerModel::applyGrant(const SlotGrant &grant,
                                const std::vector<SlotRequest> &urgentWaiting)
{
    const auto found = waiting_.find(grant.request);
    require(found != waiting_.end(), "granted a request that was not waiting", grant.request);
    if (found == waiting_.end())
        return;
    auto request = found->second;
    waiting_.erase(found);
    checkGrant(request, servers_.at(grant.server), urgentWaiting);
    request.runningOn = grant.server;
    running_.emplace(
        grant.request,
        Request { .request = request, .start = servers_.at(grant.server).server.start });
}

void SchedulerModel::applyRefusal(const SlotRefusal &refusal)
{
    const auto found = waiting_.find(refusal.request);
    require(found != waiting_.end(), "refused a request that was not waiting", refusal.request);
    require(refusal.retryAfter > Duration::zero(), "refused without a retry time", refusal.request);
    if (found != waiting_.end())
        waiting_.erase(found);
}

void SchedulerModel::checkWaiting()
{
    for (const auto &[id, request] : waiting_) {
        const auto needed =
            std::min(serviceTime(request), (request.deadline - request.arrived) / 2);
        require(now_ < request.deadline - needed,
                "kept a request waiting that cannot meet its deadline", id);
        require(!crashes_.refusedUntil(request.fingerprint, now_),
                "kept a request waiting whose fingerprint is refused", id);
    }
}

SchedulerDecisions SchedulerModel::decide(Duration elapsed)
{
    now_ += elapsed;
    auto decisions = scheduler_.decide(now_);
    // A request that still waits after the decision waited during the whole decision.
    std::vector<SlotRequest> urgentWaiting;
    auto stillWaiting = waiting_;
    for (const auto &grant : decisions.grants)
        stillWaiting.erase(grant.request);
    for (const auto &refusal : decisions.refusals)
        stillWaiting.erase(refusal.request);
    for (const auto &[id, request] : stillWaiting) {
        if (isUrgent(request))
            urgentWaiting.push_back(request);
    }
    for (const auto &grant : decisions.grants)
        applyGrant(grant, urgentWaiting);
    for (const auto &refusal : decisions.refusals)
        applyRefusal(refusal);
    checkWaiting();
    require(scheduler_.runningCount() == running_.size(), "wrong number of running requests", {});
    require(scheduler_.waitingCount() == waiting_.size(), "wrong number of waiting requests", {});
    return decisions;
}

void SchedulerModel::drain()
{
    constexpr int kMaxRounds = 500;
    for (int round = 0; round < kMaxRounds && !(waiting_.empty() && running_.empty()); ++round) {
        for (const auto &request : running())
            release(request.request, ReleaseReason::Completed);
        decide(std::chrono::seconds(1));
    }
    require(waiting_.empty() && running_.empty(), "some requests did not end", {});
}

std::vector<SlotRequest> SchedulerModel::running() const
{
    std::vector<SlotRequest> requests;
    for (const auto &[id, entry] : running_)
        requests.push_back(entry.request);
    return requests;
}

std::vector<SlotRequest> SchedulerModel::waiting() const
{
    std::vector<SlotRequest> requests;
    for (const auto &[id, request] : waiting_)
        requests.push_back(request);
    return requests;
}

} // namespace crocusport
