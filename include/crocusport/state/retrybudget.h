#ifndef CROCUSPORT_RETRYBUDGET_H
#define CROCUSPORT_RETRYBUDGET_H

namespace crocusport {

//! Shares of a class's requests that may be sent again (docs/design.md section 4.6).
inline constexpr double kRetryShare = 0.10;
inline constexpr double kHedgeShare = 0.02;

/*!
    Token bucket that limits retries to a share of the first attempts, so that retries cannot
    multiply the load when many requests fail at the same time.

    Thread safety: none; use from one thread.
*/
class RetryBudget
{
public:
    //! Each first attempt adds \a share of a token. Starts full, with kMaxTokens.
    explicit RetryBudget(double share);

    void noteFirstAttempt();
    //! Takes a token for one retry. Returns false, and takes none, if the budget is used up.
    bool tryRetry();

    //! Limit of saved tokens: retries that a class may make at once after a quiet time.
    static constexpr double kMaxTokens = 10;

private:
    double share_;
    double tokens_ = kMaxTokens;
};

} // namespace crocusport

#endif // CROCUSPORT_RETRYBUDGET_H
