#include "retrybudgets.h"

namespace crocusport {

void RetryBudgets::countFirstAttempt(const ClassName &requestClass)
{
    budgetFor(requestClass).noteFirstAttempt();
}

bool RetryBudgets::tryRetry(const ClassName &requestClass)
{
    return budgetFor(requestClass).tryRetry();
}

RetryBudget &RetryBudgets::budgetFor(const ClassName &requestClass)
{
    return budgets_.try_emplace(requestClass, kRetryShare).first->second;
}

} // namespace crocusport
