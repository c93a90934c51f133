#include "crocusport/state/fiforoundrobinscheduler.h"
#include "crocusport/state/leastoutstandingscheduler.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace crocusport;

namespace {

constexpr std::uint32_t kSlots = 2;

//! Returns three servers. The last one is leaving.
std::vector<BackendServer> threeServers()
{
    std::vector<BackendServer> servers(3);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].name = BackendServerName("server-" + std::to_string(i));
        servers[i].slots = kSlots;
    }
    servers.back().state = BackendServerState::Leaving;
    return servers;
}

SlotRequest makeRequest(int number, Instant now)
{
    SlotRequest request;
    request.request = RequestId("request-" + std::to_string(number));
    request.arrived = now;
    request.deadline = now + std::chrono::seconds(3);
    return request;
}

} // namespace

TEMPLATE_TEST_CASE("Baseline schedulers respect slots and end each request once", "",
                   LeastOutstandingScheduler, FifoRoundRobinScheduler)
{
    // Guards against baselines that measure better because they overload servers or lose requests.
    rc::prop("slots, order of arrival and one result per request hold over random calls", [] {
        TestType scheduler(PoolPolicy {}, 1);
        Instant now { std::chrono::hours(1) };
        scheduler.setBackendServers(threeServers(), now);
        std::map<RequestId, BackendServerName> running;
        std::set<RequestId> waiting;
        std::map<BackendServerName, std::uint32_t> used;
        int submitted = 0;
        int lastStarted = -1;
        for (const auto call : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100))) {
            if (call < 50) {
                const auto request = makeRequest(submitted++, now);
                scheduler.submit(request, now);
                waiting.insert(request.request);
            } else if (call < 80 && !running.empty()) {
                const auto found = running.begin();
                scheduler.release({ .request = found->first, .pool = {}, .server = found->second },
                                  now);
                --used[found->second];
                running.erase(found);
            }
            now += std::chrono::milliseconds(call * 10);
            const auto decisions = scheduler.decide(now);
            for (const auto &grant : decisions.grants) {
                RC_ASSERT(waiting.erase(grant.request) == 1U);
                RC_ASSERT(++used[grant.server] <= kSlots);
                RC_ASSERT(grant.server != threeServers().back().name);
                const auto number = std::stoi(grant.request.value().substr(8));
                RC_ASSERT(number > lastStarted);
                lastStarted = number;
                running.emplace(grant.request, grant.server);
            }
            for (const auto &refusal : decisions.refusals)
                RC_ASSERT(waiting.erase(refusal.request) == 1U);
            RC_ASSERT(scheduler.waitingCount() == waiting.size());
            RC_ASSERT(scheduler.runningCount() == running.size());
        }
    });
}
