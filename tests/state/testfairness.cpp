#include "generators.h"

#include <algorithm>
#include <cmath>
#include <map>

using namespace crocusport;

namespace {

constexpr Duration kHour = std::chrono::hours(1);
constexpr Duration kStep = std::chrono::milliseconds(100);

PoolPolicy largeQueuePolicy()
{
    auto policy = SchedulerModel::defaultPolicy();
    policy.maxQueuedPerTier = 100'000;
    policy.floorAfter = std::chrono::seconds(5);
    return policy;
}

//! Runs a SchedulerModel in steps of kStep; each running request completes after its service time.
class Simulation
{
public:
    explicit Simulation(const std::vector<std::uint32_t> &slots) : model_(largeQueuePolicy(), slots)
    { }

    void submit(int count, int tier, const std::string &team)
    {
        for (int i = 0; i < count; ++i) {
            auto request = model_.makeRequest(tier, team, "quick", kHour);
            requests_.emplace(request.request, request);
            model_.submit(request);
        }
    }

    //! Advances the time by kStep. Returns the requests that start, in the order of their starts.
    std::vector<SlotRequest> step()
    {
        std::vector<SlotRequest> started;
        const auto recordStarts = [&](const SchedulerDecisions &decisions) {
            for (const auto &grant : decisions.grants) {
                started.push_back(requests_.at(grant.request));
                finish_[grant.request] = model_.now() + SchedulerModel::serviceTime(started.back());
            }
        };
        recordStarts(model_.decide(kStep));
        for (const auto &request : model_.running()) {
            if (finish_.at(request.request) <= model_.now())
                model_.release(request.request, ReleaseReason::Completed);
        }
        recordStarts(model_.decide({}));
        return started;
    }

    SchedulerModel &model() { return model_; }

private:
    SchedulerModel model_;
    std::map<RequestId, SlotRequest> requests_;
    std::map<RequestId, Instant> finish_;
};

} // namespace

SCENARIO("Lower tiers make progress under permanent tier-1 load")
{
    // Guards against starvation of lower tiers, such as tags and reports, during a long burst of
    // chat requests, and of a small team by a large one.
    rc::prop("each lower-tier request starts in bounded time", [] {
        const auto slots = anySlots();
        Simulation simulation(slots);
        std::uint32_t total = 0;
        for (const auto count : slots)
            total += count;
        int lower = 0;
        for (int tier = 2; tier <= kLowestTier; ++tier) {
            for (const auto *const team : { "team-0", "team-1" }) {
                const auto count = *rc::gen::inRange(0, 30);
                simulation.submit(count, tier, team);
                lower += count;
            }
        }
        const auto dueSlots = std::max(1L, std::lround(largeQueuePolicy().backgroundShare * total));
        const auto steps = largeQueuePolicy().floorAfter / kStep + lower / dueSlots + 3;
        for (std::int64_t i = 0; i < steps; ++i) {
            simulation.submit(static_cast<int>(total) + 1, kUrgentTier, "team-2");
            for (const auto &request : simulation.step())
                lower -= request.tier.value() == kUrgentTier ? 0 : 1;
        }
        RC_ASSERT(lower == 0);
        RC_ASSERT(simulation.model().violations() == std::vector<std::string> {});
    });
}

SCENARIO("Teams and tiers share the slots")
{
    // Guards against a team that gains by sending more requests at once.
    rc::prop("teams of a tier start the same amount of work while both wait", [] {
        Simulation simulation(anySlots());
        const auto tier = *rc::gen::inRange(kUrgentTier, kLowestTier + 1);
        std::map<std::string, int> waiting { { "team-0", *rc::gen::inRange(1, 400) },
                                             { "team-1", *rc::gen::inRange(1, 40) } };
        for (const auto &[team, count] : waiting)
            simulation.submit(count, tier, team);
        std::map<std::string, int> started;
        while (waiting["team-0"] > 0 && waiting["team-1"] > 0) {
            for (const auto &request : simulation.step()) {
                if (waiting["team-0"] == 0 || waiting["team-1"] == 0)
                    break;
                ++started[request.team.value()];
                --waiting[request.team.value()];
                RC_ASSERT(std::abs(started["team-0"] - started["team-1"]) <= 1);
            }
        }
    });

    // Guards against serving tiers 2 to 4 in strict order, which would starve tier 4.
    rc::prop("tiers 2 to 4 share 4:2:1 while all wait", [] {
        Simulation simulation(anySlots());
        for (int tier = 2; tier <= kLowestTier; ++tier)
            simulation.submit(120, tier, "team-" + std::to_string(*rc::gen::inRange(0, 3)));
        std::map<int, double> started;
        double all = 0;
        while (all < 100) {
            for (const auto &request : simulation.step()) {
                ++started[request.tier.value()];
                ++all;
                RC_ASSERT(std::abs(started[2] - all * 4 / 7) <= 4);
                RC_ASSERT(std::abs(started[3] - all * 2 / 7) <= 4);
                RC_ASSERT(std::abs(started[4] - all * 1 / 7) <= 4);
            }
        }
    });
}
