#ifndef CROCUSPORT_TEAMSHARES_H
#define CROCUSPORT_TEAMSHARES_H

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <unordered_map>

namespace crocusport {

/*!
    The work that each team has recently sent, among teams of equal urgency.

    Load pattern: one team sends several times its usual load. All routers receive a similar part of
    each team's requests, so each of them finds the same team from its own requests.

    Thread safety: none; use from one thread.
*/
class TeamShares
{
public:
    //! Records that a request of \a team with this work arrived. The work decays over seconds.
    void note(const TeamName &team, Duration work, Instant now);
    /*!
        Returns the equal share of a team divided by the share that \a team has sent: 1 if the team
        has sent at most half as much again as its equal share, and at least kMinFactor.
    */
    double factor(const TeamName &team, Instant now) const;
    //! Drops teams that have sent nothing for some time. Linear in their number.
    void expire(Instant now);

    static constexpr double kMinFactor = 0.3;

private:
    struct Sum
    {
        double value = 0;
        Instant at {};

        double decayed(Instant now) const;
    };

    std::unordered_map<TeamName, Sum> sums_;
};

} // namespace crocusport

#endif // CROCUSPORT_TEAMSHARES_H
