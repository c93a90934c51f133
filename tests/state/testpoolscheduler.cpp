#include "crocusport/state/resultcode.h"
#include "generators.h"

#include <algorithm>
#include <map>
#include <numeric>

using namespace crocusport;

namespace {

constexpr Duration kHour = std::chrono::hours(1);

std::vector<RequestId> idsOf(const std::vector<SlotRefusal> &refusals, ResultCode code)
{
    std::vector<RequestId> ids;
    for (const auto &refusal : refusals) {
        if (refusal.code == static_cast<int>(code))
            ids.push_back(refusal.request);
    }
    return ids;
}

bool isUrgent(const SlotRequest &request)
{
    return request.tier.value() == kUrgentTier;
}

std::int64_t countUrgent(const std::vector<SlotRequest> &requests)
{
    return std::count_if(requests.begin(), requests.end(), isUrgent);
}

//! The tier-1 requests of a pool before a decision. All of them are quick requests of one team.
class UrgentRequests
{
public:
    UrgentRequests(const SchedulerModel &model, const std::vector<std::uint32_t> &slots,
                   std::uint32_t bound)
        : bound_(bound), slots_(std::accumulate(slots.begin(), slots.end(), std::int64_t { 0 })),
          running_(countUrgent(model.running()))
    {
        for (const auto &request : model.waiting()) {
            if (isUrgent(request))
                waiting_.emplace(request.request, request);
        }
    }

    /*!
        Returns whether \a refusal would also happen without the lower tiers. Assumes the worst
        case: all running tier-1 requests have just started, and all waiting ones with the same or
        an earlier deadline are ahead.
    */
    bool justifies(const SlotRefusal &refusal, Instant now) const
    {
        const auto found = waiting_.find(refusal.request);
        if (found == waiting_.end() || refusal.code == static_cast<int>(ResultCode::DeadlinePassed))
            return true;
        const auto count = static_cast<std::int64_t>(waiting_.size()) + running_;
        if (refusal.code == static_cast<int>(ResultCode::QueueFull))
            return count - slots_ > bound_;
        const auto &request = found->second;
        const auto ahead = std::count_if(waiting_.begin(), waiting_.end(), [&](const auto &other) {
            return other.first != request.request && other.second.deadline <= request.deadline;
        });
        const auto service = SchedulerModel::serviceTime(request);
        const auto needed = std::min(service, (request.deadline - request.arrived) / 2);
        return now + (ahead + running_) / slots_ * service + needed > request.deadline;
    }

private:
    std::int64_t bound_;
    std::int64_t slots_;
    std::int64_t running_;
    std::map<RequestId, SlotRequest> waiting_;
};

void submitQuickRequests(SchedulerModel &model, int count, int tier = kUrgentTier)
{
    for (int i = 0; i < count; ++i)
        model.submit(model.makeRequest(tier, "team-0", "quick", kHour));
}

} // namespace

SCENARIO("The scheduler keeps its rules over random calls")
{
    // Guards against starting a lower-tier request before tier 1 or in the slots kept free for tier
    // 1, using an overloaded or excluded server, more long requests than their share, two crash
    // suspects on one server, and requests with no result or with two.
    rc::prop("no rule is violated and each request ends once", [] {
        SchedulerModel model(SchedulerModel::defaultPolicy(), anySlots());
        for (const auto &call : anyCalls())
            model.apply(call);
        model.drain();
        RC_ASSERT(model.violations() == std::vector<std::string> {});
    });

    // Guards against refusing tier-1 requests because of requests of the lower tiers.
    rc::prop("a tier-1 request is refused only if it also would be without the lower tiers", [] {
        const auto slots = anySlots();
        auto policy = SchedulerModel::defaultPolicy();
        policy.maxQueuedPerTier = *rc::gen::inRange(1U, 13U);
        SchedulerModel model(policy, slots);
        for (auto call : anyCalls()) {
            if (call.kind == Call::Kind::Submit) {
                const auto tier = 1 + static_cast<int>(call.first % 3);
                const bool isReport = tier > kUrgentTier && call.second % 2 == 0;
                model.submit(
                    model.makeRequest(tier, "team-0", isReport ? "report" : "quick",
                                      std::chrono::milliseconds(150 + call.second % 3000)));
            } else if (call.kind != Call::Kind::Decide) {
                call.kind = Call::Kind::Release;
                model.apply(call);
            } else {
                const UrgentRequests urgentRequests(model, slots, policy.maxQueuedPerTier);
                const auto elapsed = std::chrono::milliseconds(call.first % 300);
                for (const auto &refusal : model.decide(elapsed).refusals)
                    RC_ASSERT(urgentRequests.justifies(refusal, model.now()));
            }
        }
    });
}

SCENARIO("A request is refused as soon as it is known that it cannot succeed")
{
    auto policy = SchedulerModel::defaultPolicy();
    policy.maxQueuedPerTier = 1000;

    GIVEN("two backend servers whose 8 slots are in use and 80 waiting quick requests")
    {
        SchedulerModel model(policy, { 4, 4 });
        submitQuickRequests(model, 88);
        model.decide({});
        REQUIRE(model.waiting().size() == 80);

        THEN("the estimate for the last one is near 80 requests of 100 ms over 8 slots")
        {
            const auto request = model.makeRequest(kUrgentTier, "team-0", "quick", kHour);
            model.submit(request);
            const auto estimate = model.scheduler().estimate(request.request, model.now());
            REQUIRE(estimate.wait > std::chrono::milliseconds(800));
            REQUIRE(estimate.wait < std::chrono::milliseconds(1250));
            REQUIRE(estimate.position >= 70);
        }

        // Guards against an estimate that counts the work of requests which start after the
        // request.
        WHEN("a request arrives whose deadline is in about half of the estimated wait")
        {
            const Duration allowance = std::chrono::milliseconds(600);
            const auto request = model.makeRequest(kUrgentTier, "team-0", "quick", allowance);
            model.submit(model.makeRequest(kUrgentTier, "team-0", "quick", kHour));
            submitQuickRequests(model, 1);
            model.submit(request);
            const auto refusals = model.decide({}).refusals;

            THEN("it is not refused, because its latestStart is the earliest of its team")
            {
                REQUIRE(refusals.empty());
            }
        }

        // Guards against keeping a request waiting until its caller has no time left for another
        // attempt.
        WHEN("100 requests arrive whose deadline is earlier than the estimated wait")
        {
            for (int i = 0; i < 100; ++i)
                model.submit(model.makeRequest(kUrgentTier, "team-0", "quick",
                                               std::chrono::milliseconds(600)));
            const auto refusals = model.decide({}).refusals;

            THEN("the requests that cannot be served in time are refused at once")
            {
                const auto refused = idsOf(refusals, ResultCode::DeadlineUnreachable);
                REQUIRE(refused.size() > 40);
                REQUIRE(refused.size() < 75);
            }
        }

        // Guards against noticing the loss of capacity only when deadlines expire.
        WHEN("one backend server leaves, so that some deadlines become unreachable")
        {
            for (int i = 0; i < 30; ++i)
                model.submit(model.makeRequest(kUrgentTier, "team-0", "quick",
                                               std::chrono::milliseconds(600)));
            REQUIRE(model.decide({}).refusals.empty());
            model.apply({ .kind = Call::Kind::Leave, .first = 0, .second = 0 });

            THEN("the requests with these deadlines are refused in the next decision")
            {
                const auto refusals = model.decide({}).refusals;
                REQUIRE_FALSE(idsOf(refusals, ResultCode::DeadlineUnreachable).empty());
            }
        }

        WHEN("the last backend server has left")
        {
            model.apply({ .kind = Call::Kind::Leave, .first = 0, .second = 0 });
            model.apply({ .kind = Call::Kind::Leave, .first = 1, .second = 0 });

            THEN("all waiting requests are refused")
            {
                REQUIRE(idsOf(model.decide({}).refusals, ResultCode::NoBackendServer).size() == 80);
            }
        }
    }

    // Guards against a constant Retry-After, which makes all callers retry at the same time.
    GIVEN("full queues of different lengths")
    {
        const auto retryAfterOf = [&](std::uint32_t bound) {
            policy.maxQueuedPerTier = bound;
            SchedulerModel model(policy, { 4 });
            submitQuickRequests(model, static_cast<int>(bound) + 5);
            const auto refusals = model.decide({}).refusals;
            REQUIRE(refusals.size() == 1);
            REQUIRE(refusals.front().code == static_cast<int>(ResultCode::QueueFull));
            return refusals.front().retryAfter;
        };

        THEN("Retry-After grows with the length of the queue")
        {
            REQUIRE(retryAfterOf(400) > 5 * retryAfterOf(40));
        }
    }
}

SCENARIO("A large team does not keep a small one out of a full queue")
{
    GIVEN("a queue that one team has filled")
    {
        SchedulerModel model(SchedulerModel::defaultPolicy(), { 2 });
        submitQuickRequests(model, 14);
        REQUIRE(model.decide({}).refusals.empty());

        // Guards against a bound that refuses the request that arrives last, whatever its team.
        THEN("a request of another team is accepted and one of the large team is refused")
        {
            const auto request = model.makeRequest(kUrgentTier, "team-1", "quick", kHour);
            model.submit(request);
            const auto refusals = model.decide({}).refusals;
            REQUIRE(refusals.size() == 1);
            REQUIRE(refusals.front().request != request.request);
        }
    }
}

SCENARIO("Within a team the request with the earliest latestStart is served first")
{
    GIVEN("a full backend server, a waiting long report and a quick request that arrives later")
    {
        SchedulerModel model(SchedulerModel::defaultPolicy(), { 2 });
        submitQuickRequests(model, 2);
        model.decide({});
        model.submit(model.makeRequest(kUrgentTier, "team-0", "report", kHour));
        const auto quick =
            model.makeRequest(kUrgentTier, "team-0", "quick", std::chrono::seconds(10));
        model.submit(quick);
        model.decide({});

        // Guards against head-of-line blocking of a short request by an earlier report.
        THEN("the quick request gets the next slot")
        {
            model.release(model.running().front().request, ReleaseReason::Completed);
            const auto grants = model.decide({}).grants;
            REQUIRE(grants.size() == 1);
            REQUIRE(grants.front().request == quick.request);
        }
    }
}
