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
    the tokens of one second, at least one.

    Thread safety: none; use from one thread.
*/
class RateLimiter
{
public:
    //! Replaces the limits; what teams have used up stays used up.
    void setTeams(const std::map<TeamName, Team> &teams);
    //! Takes a token of \a team. Returns nothing if it may proceed, else when to try again.
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
