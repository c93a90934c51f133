#include "generators.h"

#include <algorithm>
#include <map>

using namespace crocusport;

namespace {

constexpr Duration kHour = std::chrono::hours(1);

/*!
    Runs \a batches of \a size quick requests at the same time, one batch each 100 ms; server-0 is
    \a factor times slower than the others with their \a tokenGap. Returns how many requests each
   server got; those that find no slot are cancelled.
*/
std::map<BackendServerName, int> runBatches(SchedulerModel &model, int tier, int batches, int size,
                                            int factor,
                                            Duration tokenGap = std::chrono::milliseconds(20))
{
    std::map<BackendServerName, int> started;
    for (int batch = 0; batch < batches; ++batch) {
        // The model's own books do not cover slow servers, so the scheduler is used directly.
        auto &scheduler = model.scheduler();
        std::vector<RequestId> submitted;
        for (int i = 0; i < size; ++i) {
            const auto request = model.makeRequest(tier, "team-0", "quick", kHour);
            scheduler.submit(request, model.now());
            submitted.push_back(request.request);
        }
        for (const auto &grant : scheduler.decide(model.now()).grants) {
            ++started[grant.server];
            const bool isSlow = grant.server == BackendServerName("server-0");
            const Duration gap = tokenGap * (isSlow ? factor : 1);
            scheduler.release({ .request = grant.request,
                                .pool = {},
                                .server = grant.server,
                                .reason = ReleaseReason::Completed,
                                .firstToken = 5 * gap,
                                .tokenGap = gap,
                                .serviceTime = std::chrono::milliseconds(100),
                                .outputTokens = 10 },
                              model.now());
        }
        for (const auto &request : submitted)
            scheduler.cancel(request, model.now());
        model.decide(std::chrono::milliseconds(100));
    }
    return started;
}

double slowFactorOf(SchedulerModel &model, const std::string &server)
{
    for (const auto &status : model.scheduler().status(model.now()).servers) {
        if (status.server.name.value() == server)
            return status.slowFactor;
    }
    return 0;
}

} // namespace

SCENARIO("Slow backend servers get only probe requests until they recover")
{
    GIVEN("four backend servers, one of them ten times slower")
    {
        SchedulerModel model(SchedulerModel::defaultPolicy(), { 2, 2, 2, 2 });
        runBatches(model, kUrgentTier, 50, 8, 10);
        REQUIRE(slowFactorOf(model, "server-0") > 4);

        // Guards against stragglers in the tail latency, and against never trying them again.
        THEN("it gets at most one request each second, and some")
        {
            const auto lower = runBatches(model, 2, 100, 4, 10);
            REQUIRE(lower.at(BackendServerName("server-0")) <= 11);
            REQUIRE(lower.at(BackendServerName("server-0")) >= 5);
        }

        // Guards against using it like any other as soon as the others are full.
        THEN("that holds also when no other slot is free")
        {
            const auto urgent = runBatches(model, kUrgentTier, 100, 8, 10);
            REQUIRE(urgent.at(BackendServerName("server-0")) <= 11);
        }

        // Guards against probing with the requests that are least able to wait.
        THEN("tier-1 requests probe it less often")
        {
            REQUIRE(runBatches(model, kUrgentTier, 100, 4, 10)[BackendServerName("server-0")] <= 2);
        }

        THEN("it takes its share again when it has recovered")
        {
            runBatches(model, 2, 600, 4, 1);
            REQUIRE(slowFactorOf(model, "server-0") < 2);
            REQUIRE(runBatches(model, 2, 100, 4, 1)[BackendServerName("server-0")] > 11);
        }
    }
}

SCENARIO("A pool whose latency jumps as a whole keeps its backend servers")
{
    GIVEN("a pool with a single backend server")
    {
        SchedulerModel model(SchedulerModel::defaultPolicy(), { 8 });
        runBatches(model, kUrgentTier, 50, 8, 1);

        WHEN("a few requests in a row take ten times as long")
        {
            runBatches(model, kUrgentTier, 3, 8, 10);

            // Guards against comparing a server's newest values with an older median: the only
            // server was excluded for up to a second while tier-1 requests waited.
            THEN("the server goes on taking requests")
            {
                REQUIRE(slowFactorOf(model, "server-0") <= 1);
                REQUIRE(runBatches(model, kUrgentTier, 1, 8, 10).at(BackendServerName("server-0"))
                        == 8);
            }
        }
    }
}

SCENARIO("Differences of a millisecond do not make a backend server slow")
{
    GIVEN("three backend servers that answer within 2 ms, one of them ten times slower")
    {
        SchedulerModel model(SchedulerModel::defaultPolicy(), { 4, 4, 4 });
        const Duration gap = std::chrono::microseconds(40);
        runBatches(model, kUrgentTier, 50, 12, 10, gap);

        // Guards against losing a third of a small pool of fast services to noise.
        THEN("all of them are used")
        {
            REQUIRE(slowFactorOf(model, "server-0") <= 1);
            REQUIRE(
                runBatches(model, kUrgentTier, 10, 12, 10, gap).at(BackendServerName("server-0"))
                == 40);
        }
    }
}

SCENARIO("A prompt prefix stays on the backend server that has it cached")
{
    GIVEN("four backend servers and requests with the same prefix")
    {
        SchedulerModel model(SchedulerModel::defaultPolicy(), { 4, 4, 4, 4 });
        const auto submitOne = [&] {
            auto request = model.makeRequest(kUrgentTier, "team-0", "quick", kHour);
            request.prefix = PrefixHash(99);
            model.submit(request);
            return model.decide({}).grants.front().server;
        };
        const auto first = submitOne();

        // Guards against losing the cached prefix, and against overloading its server for it.
        THEN("the next request goes there, but not all of them")
        {
            REQUIRE(submitOne() == first);
            std::map<BackendServerName, int> counts;
            for (int i = 0; i < 8; ++i)
                ++counts[submitOne()];
            REQUIRE(counts.size() > 1);
        }
    }
}
