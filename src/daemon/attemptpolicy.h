#ifndef CROCUSPORT_ATTEMPTPOLICY_H
#define CROCUSPORT_ATTEMPTPOLICY_H

#include "answer.h"
#include "backendcallresult.h"

#include "crocusport/coordination/claim.h"
#include "crocusport/state/repeatrule.h"
#include "crocusport/state/slotrequest.h"

namespace crocusport {

//! What is known of a request when one of its attempts ends.
struct AttemptContext
{
    RepeatRule repeat = RepeatRule::Never;
    bool isNotRunSoFar = true;    //!< No attempt can have run, this one included.
    bool isResponseBegun = false; //!< The caller has part of an answer.
};

//! Whether another attempt may follow, and on what condition.
enum class RetryDecision {
    Forbidden,
    Allowed,      //!< Nothing has run.
    WithinBudget, //!< Repeats work, so the class's retry budget must allow it.
};

/*!
    Decides about a further attempt: a request is sent again only if it certainly did not run, or
    if its class is Repeatable and the caller has no part of an answer. Safe from any thread.
*/
RetryDecision retryDecisionFor(BackendCallEnd end, const AttemptContext &context);

//! What the caller is told when no further attempt follows. Safe from any thread.
AnswerStatus statusForAttempt(BackendCallEnd end, const AttemptContext &context);

/*!
    Returns \a status, or Failed or Unknown in place of NotRun when an attempt can have run: a
    deadline that passes while a retry waits does not undo the attempt before. Safe from any thread.
*/
AnswerStatus withCertainty(AnswerStatus status, const AttemptContext &context);

//! What the caller is told when its claim was not granted. Precondition: not Granted.
AnswerStatus statusForClaim(ClaimResult result);

//! The final state of the claim of a request that ended with \a outcome. Safe from any thread.
ClaimState claimStateFor(Outcome outcome);

//! How the use of the slot ended, for the scheduler. Safe from any thread.
ReleaseReason releaseReasonFor(const BackendCallResult &result);

} // namespace crocusport

#endif // CROCUSPORT_ATTEMPTPOLICY_H
