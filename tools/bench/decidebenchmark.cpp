#include "decidebenchmark.h"

#include "crocusport/state/poolscheduler.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace crocusport {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint32_t kSlotsPerServer = 8;
constexpr std::uint32_t kClasses = 8;
constexpr Duration kCycleTime = std::chrono::microseconds(300);

std::vector<BackendServer> makeServers(std::uint32_t count)
{
    std::vector<BackendServer> servers(count);
    for (std::uint32_t i = 0; i < count; ++i) {
        servers[i].name = BackendServerName("server-" + std::to_string(i));
        servers[i].zone = AvailabilityZone("zone-" + std::to_string(i % 13));
        servers[i].start = StartNumber(1);
        servers[i].slots = kSlotsPerServer;
    }
    return servers;
}

PoolPolicy makePolicy()
{
    PoolPolicy policy;
    policy.name = PoolName("assistant");
    return policy;
}

double elapsedMicroseconds(Clock::time_point since)
{
    return std::chrono::duration<double, std::micro>(Clock::now() - since).count();
}

TimeSummary summarize(std::vector<double> &values)
{
    const auto sum = std::accumulate(values.begin(), values.end(), 0.0);
    const auto rank = values.begin() + static_cast<std::ptrdiff_t>(values.size() * 99 / 100);
    std::nth_element(values.begin(), rank, values.end());
    return { .mean = sum / static_cast<double>(values.size()), .p99 = *rank };
}

//! Keeps a pool saturated: one request is submitted for each one that is released.
class SaturatedPool
{
public:
    explicit SaturatedPool(const DecideSize &size) : size_(size), scheduler_(makePolicy(), 1)
    {
        scheduler_.setBackendServers(makeServers(size.servers), now_);
        const auto slots = size.servers * kSlotsPerServer;
        for (std::uint32_t i = 0; i < slots; ++i)
            submit(1);
        note(scheduler_.decide(now_));
    }

    //! Fills the queue. Returns the memory that each waiting request takes.
    double fillQueue()
    {
        const auto before = mallinfo2().uordblks;
        for (std::uint32_t i = 0; i < size_.waiting; ++i)
            submit(tierOf(i));
        note(scheduler_.decide(now_));
        return static_cast<double>(mallinfo2().uordblks - before)
            / static_cast<double>(scheduler_.waitingCount());
    }

    //! Makes one cycle and returns its time and that of the decision.
    std::pair<double, double> cycle()
    {
        now_ += kCycleTime;
        // Requests are built outside the measured time, as a router receives them ready.
        const auto release = nextRelease();
        const auto request = makeRequest(lastTier_);
        const auto start = Clock::now();
        scheduler_.release(release, now_);
        scheduler_.submit(request, now_);
        const auto decisionStart = Clock::now();
        auto decisions = scheduler_.decide(now_);
        const auto decision = elapsedMicroseconds(decisionStart);
        const auto whole = elapsedMicroseconds(start);
        note(std::move(decisions));
        return { whole, decision };
    }

private:
    static int tierOf(std::uint32_t number) { return 1 + static_cast<int>(number % 4); }

    SlotRequest makeRequest(int tier)
    {
        SlotRequest request;
        const auto number = nextId_++;
        request.request = RequestId("router-17-request-" + std::to_string(number));
        request.router = RouterName("router-" + std::to_string(number % 330));
        request.pool = PoolName("assistant");
        request.requestClass = ClassName("class-" + std::to_string(number % kClasses));
        request.team = TeamName("team-" + std::to_string(random_() % size_.teams));
        request.tier = Tier(tier);
        request.arrived = now_;
        request.deadline = now_ + std::chrono::hours(1);
        request.prefix = PrefixHash(random_() % 50'000 + 1);
        request.fingerprint = Fingerprint(random_());
        request.zone = AvailabilityZone("zone-" + std::to_string(number % 13));
        return request;
    }

    void submit(int tier) { scheduler_.submit(makeRequest(tier), now_); }

    SlotRelease nextRelease()
    {
        std::swap(running_[random_() % running_.size()], running_.back());
        const auto grant = running_.back();
        running_.pop_back();
        lastTier_ = tierOf(nextId_);
        return { .request = grant.request,
                 .pool = grant.pool,
                 .server = grant.server,
                 .reason = ReleaseReason::Completed,
                 .firstToken = std::chrono::milliseconds(100 + random_() % 100),
                 .tokenGap = std::chrono::milliseconds(20 + random_() % 10),
                 .serviceTime = std::chrono::milliseconds(500 + random_() % 1000),
                 .outputTokens = 100 };
    }

    void note(SchedulerDecisions decisions)
    {
        for (auto &grant : decisions.grants)
            running_.push_back(std::move(grant));
    }

    DecideSize size_;
    PoolScheduler scheduler_;
    Instant now_ { std::chrono::hours(1) };
    std::mt19937_64 random_ { 1 };
    std::vector<SlotGrant> running_;
    std::uint64_t nextId_ = 0;
    int lastTier_ = 1;
};

} // namespace

DecideFigures measureDecide(const DecideSize &size, std::uint32_t decisions)
{
    SaturatedPool pool(size);
    DecideFigures figures { .size = size, .cycle = {}, .decide = {}, .bytesPerWaitingRequest = 0 };
    figures.bytesPerWaitingRequest = pool.fillQueue();
    std::vector<double> cycles;
    std::vector<double> decides;
    cycles.reserve(decisions);
    decides.reserve(decisions);
    for (std::uint32_t i = 0; i < decisions; ++i) {
        const auto [cycle, decide] = pool.cycle();
        cycles.push_back(cycle);
        decides.push_back(decide);
    }
    figures.cycle = summarize(cycles);
    figures.decide = summarize(decides);
    return figures;
}

} // namespace crocusport
