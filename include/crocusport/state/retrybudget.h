#ifndef CROCUSPORT_RETRYBUDGET_H
#define CROCUSPORT_RETRYBUDGET_H

namespace crocusport {

//! Number of retries and of hedged requests that are allowed for each first attempt of a class
//! (docs/design.md section 4.6). The router sends no hedged requests.
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
    //! Each first attempt adds \a share of a token. The bucket starts full, with kMaxTokens.
    explicit RetryBudget(double share);

    void noteFirstAttempt();
    //! Takes one token for a retry. Returns false, and takes none, if less than a token is left.
    bool tryRetry();

    //! Size of the bucket: retries that may be made at once when nothing was retried for some time.
    static constexpr double kMaxTokens = 10;

private:
    double share_;
    double tokens_ = kMaxTokens;
};

} // namespace crocusport

#endif // CROCUSPORT_RETRYBUDGET_H
