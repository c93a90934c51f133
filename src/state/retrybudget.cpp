#include "crocusport/state/retrybudget.h"

#include <algorithm>

namespace crocusport {

namespace {

//! Ten additions of 0.1 give slightly less than 1 and must still allow one retry.
constexpr double kRoundingError = 1e-9;

} // namespace

RetryBudget::RetryBudget(double share) : share_(share) { }

void RetryBudget::noteFirstAttempt()
{
    tokens_ = std::min(kMaxTokens, tokens_ + share_);
}

bool RetryBudget::tryRetry()
{
    if (tokens_ < 1 - kRoundingError)
        return false;
    tokens_ = std::max(0.0, tokens_ - 1);
    return true;
}

} // namespace crocusport
