#include "generators.h"

#include <algorithm>
#include <map>

using namespace crocusport;

namespace {

constexpr Duration kHour = std::chrono::hours(1);

/*!
    Runs \a batches batches of \a size quick requests each, one batch every 100 ms. The requests of
    a batch run at the same time; those that get no slot are cancelled. The time between tokens is
    \a tokenGap, on server-0 \a factor times as much. Returns how many requests each server got.
*/
std::map<BackendServerName, int> runBatches(SchedulerModel &model, int tier, int batches, int size,
                                            int factor,
                                            Duration tokenGap = std::chrono::milliseconds(20))
{
    std::map<BackendServerName, int> started;
    for (int batch = 0; batch < batches; ++batch) {
        // SchedulerModel does not model slow servers, so the scheduler is called directly.
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

        // Guards against a slow server that raises the tail latency, and against a slow server that
        // is never tried again.
        THEN("the slow server gets some requests, but at most one per second")
        {
            const auto lower = runBatches(model, 2, 100, 4, 10);
            REQUIRE(lower.at(BackendServerName("server-0")) <= 11);
            REQUIRE(lower.at(BackendServerName("server-0")) >= 5);
        }

        // Guards against using the slow server like the others as soon as these are full.
        THEN("the slow server gets at most one request per second also when no other slot is free")
        {
            const auto urgent = runBatches(model, kUrgentTier, 100, 8, 10);
            REQUIRE(urgent.at(BackendServerName("server-0")) <= 11);
        }

        // Guards against using the most urgent requests as probe requests.
        THEN("tier-1 requests probe the slow server less often")
        {
            REQUIRE(runBatches(model, kUrgentTier, 100, 4, 10)[BackendServerName("server-0")] <= 2);
        }

        THEN("the slow server gets its share of requests again when it has recovered")
        {
            runBatches(model, 2, 600, 4, 1);
            REQUIRE(slowFactorOf(model, "server-0") < 2);
            REQUIRE(runBatches(model, 2, 100, 4, 1)[BackendServerName("server-0")] > 11);
        }
    }
}

SCENARIO("A pool whose latency rises on all backend servers excludes none of them")
{
    GIVEN("a pool with a single backend server")
    {
        SchedulerModel model(SchedulerModel::defaultPolicy(), { 8 });
        runBatches(model, kUrgentTier, 50, 8, 1);

        WHEN("a few requests in a row take ten times as long")
        {
            runBatches(model, kUrgentTier, 3, 8, 10);

            // Guards against comparing new values of a server with an older median, which excluded
            // the only server for up to a second while tier-1 requests waited.
            THEN("the server still gets requests")
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

        // Guards against excluding a third of a small pool of fast services because of noise.
        THEN("all of them are used")
        {
            REQUIRE(slowFactorOf(model, "server-0") <= 1);
            REQUIRE(
                runBatches(model, kUrgentTier, 10, 12, 10, gap).at(BackendServerName("server-0"))
                == 40);
        }
    }
}

SCENARIO("Requests prefer the backend server that has their prompt prefix cached")
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

        // Guards against not using the cached prefix, and against overloading the server that has
        // it.
        THEN("the next request goes to the same server, but not all of them")
        {
            REQUIRE(submitOne() == first);
            std::map<BackendServerName, int> counts;
            for (int i = 0; i < 8; ++i)
                ++counts[submitOne()];
            REQUIRE(counts.size() > 1);
        }
    }
}
