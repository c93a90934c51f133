#ifndef CROCUSPORT_RATELIMITER_H
#define CROCUSPORT_RATELIMITER_H

#include "crocusport/state/configuration.h"
#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace crocusport {

/*!
    Limits the requests per second of each team on this router with token buckets. A bucket holds
    at most the tokens of one second, but can always hold one token.

    Thread safety: none; use from one thread.
*/
class RateLimiter
{
public:
    //! Replaces the limits. Teams that keep a limit keep the tokens that are left in their bucket.
    void setTeams(const std::map<TeamName, Team> &teams);
    //! Takes a token of \a team. Returns nothing if the request may proceed, else the time to wait
    //! until the next token.
    std::optional<Duration> request(const TeamName &team, Instant now);

private:
    struct Bucket
    {
        double rate = 0; //!< Tokens per second.
        double tokens = 0;
        std::optional<Instant> updated;

        double size() const;
    };

    std::unordered_map<TeamName, Bucket> buckets_;
};

} // namespace crocusport

#endif // CROCUSPORT_RATELIMITER_H
