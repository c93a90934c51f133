#ifndef CROCUSPORT_RETRYBUDGETS_H
#define CROCUSPORT_RETRYBUDGETS_H

#include "crocusport/state/identifiers.h"
#include "crocusport/state/retrybudget.h"

#include <map>

namespace crocusport {

/*!
    One retry budget for each class, so that the retries of a class whose backend servers fail do
    not use up those of another.

    Thread safety: loop thread only.
*/
class RetryBudgets
{
public:
    void countFirstAttempt(const ClassName &requestClass);
    //! Takes one retry from the budget of \a requestClass, if there is one left.
    bool tryRetry(const ClassName &requestClass);

private:
    RetryBudget &budgetFor(const ClassName &requestClass);

    std::map<ClassName, RetryBudget> budgets_;
};

} // namespace crocusport

#endif // CROCUSPORT_RETRYBUDGETS_H
