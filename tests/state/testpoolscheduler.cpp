#include "schedulermodel.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace crocusport;

namespace rc {

template<>
struct Arbitrary<Call>
{
    static Gen<Call> arbitrary()
    {
        using Kind = Call::Kind;
        const auto kind = gen::weightedElement<Kind>({ { 12, Kind::Submit },
                                                       { 5, Kind::Release },
                                                       { 1, Kind::Cancel },
                                                       { 6, Kind::Decide },
                                                       { 1, Kind::Leave },
                                                       { 1, Kind::Fail },
                                                       { 1, Kind::Restart },
                                                       { 1, Kind::Resize },
                                                       { 2, Kind::Crash },
                                                       { 1, Kind::Mark } });
        return gen::build<Call>(gen::set(&Call::kind, kind),
                                gen::set(&Call::first, gen::inRange(0U, 100'000U)),
                                gen::set(&Call::second, gen::inRange(0U, 100'000U)));
    }
};

} // namespace rc

namespace crocusport {

void showValue(const Call &call, std::ostream &stream)
{
    stream << '{' << static_cast<int>(call.kind) << ", " << call.first << ", " << call.second
           << '}';
}

} // namespace crocusport

namespace {

PoolPolicy smallPolicy()
{
    PoolPolicy policy;
    policy.name = PoolName("assistant");
    policy.maxQueuedPerTier = 12;
    return policy;
}

} // namespace

SCENARIO("The scheduler keeps its rules over random calls")
{
    // Guards against a lower tier ahead of tier 1 or in the headroom, an overloaded or excluded
    // server, long requests above their share, two suspects together, lost or double results.
    rc::prop("no rule is violated and everything ends once", [] {
        const auto slots =
            *rc::gen::resize(6,
                             rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint32_t>>(
                                 rc::gen::inRange(1U, 9U))));
        const auto calls = *rc::gen::resize(200, rc::gen::arbitrary<std::vector<Call>>());
        SchedulerModel model(smallPolicy(), slots);
        for (const auto &call : calls)
            model.apply(call);
        model.drain();
        RC_ASSERT(model.violations() == std::vector<std::string> {});
    });
}
