#include "attemptpolicy.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace crocusport;

namespace {

BackendCallEnd anyEnd()
{
    return *rc::gen::element(BackendCallEnd::Completed, BackendCallEnd::NotRun,
                             BackendCallEnd::Overloaded, BackendCallEnd::Rejected,
                             BackendCallEnd::ServerError, BackendCallEnd::Lost,
                             BackendCallEnd::Malformed, BackendCallEnd::TooLarge);
}

AttemptContext anyContext()
{
    return { *rc::gen::element(RepeatRule::Repeatable, RepeatRule::Never),
             *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>() };
}

} // namespace

TEST_CASE("What follows the end of an attempt")
{
    // Guards against a second truck: a booking sent again although it may have run.
    rc::prop("a request that may not be repeated is sent again only if it was not run", [] {
        const auto end = anyEnd();
        auto context = anyContext();
        context.repeat = RepeatRule::Never;
        RC_PRE(end != BackendCallEnd::NotRun);
        RC_ASSERT(retryDecisionFor(end, context) == RetryDecision::Forbidden);
    });

    // Guards against two answers mixed into one.
    rc::prop("nothing is sent again once the caller has part of an answer", [] {
        auto context = anyContext();
        context.isResponseBegun = true;
        RC_ASSERT(retryDecisionFor(anyEnd(), context) == RetryDecision::Forbidden);
    });

    // Guards against "not run" for work that may have been done.
    rc::prop("a caller is told 'not run' only if no attempt can have run", [] {
        const auto end = anyEnd();
        const auto context = anyContext();
        const auto status = statusForAttempt(end, context);
        if (status.outcome == Outcome::NotRun) {
            RC_ASSERT(end == BackendCallEnd::NotRun);
            RC_ASSERT(context.isNotRunSoFar);
        }
    });

    // Guards against a deadline that passes while a retry waits and makes the first attempt
    // forgotten.
    rc::prop("no final status says 'not run' after an attempt that can have run", [] {
        const auto context = anyContext();
        const AnswerStatus waiting { Outcome::NotRun, ResultCode::DeadlinePassed, "", Duration(1) };
        const auto status = withCertainty(waiting, context);
        RC_ASSERT((status.outcome == Outcome::NotRun) == context.isNotRunSoFar);
        RC_ASSERT(context.isNotRunSoFar || !status.retryAfter);
    });

    // Guards against a claim that lets a booking run again after an uncertain end.
    rc::prop("a claim becomes free again only for a request that was not run", [] {
        const auto outcome = *rc::gen::element(Outcome::Completed, Outcome::NotRun,
                                               Outcome::Unknown, Outcome::Failed);
        RC_ASSERT((claimStateFor(outcome) == ClaimState::NotRun) == (outcome == Outcome::NotRun));
    });

    // Guards against a caller that is turned away without being told when to come back.
    rc::prop("'not run' always comes with a time for a new attempt", [] {
        const auto status = statusForAttempt(anyEnd(), anyContext());
        RC_ASSERT(status.outcome != Outcome::NotRun || status.retryAfter.has_value());
    });
}
