#ifndef CROCUSPORT_SILENCELIMITS_H
#define CROCUSPORT_SILENCELIMITS_H

#include "crocusport/gateway/routingtable.h"
#include "crocusport/state/instant.h"

#include <string>
#include <unordered_map>

namespace crocusport {

/*!
    How long a backend server may be silent before its attempt is given to another one.

    Answers the load pattern of a burst in which requests queue at all servers: there, silence means
    waiting, and a repeat loses the place in the queue and reads the prompt once more. So the limit
    follows the time that answers of the same route take to begin.

    Thread safety: none; use from one thread.
*/
class SilenceLimits
{
public:
    //! An answer on \a route began after \a waited.
    void noteBegin(const std::string &route, Duration waited);
    //! Returns the limit for an attempt on \a route; Duration::max() where it must not run again.
    Duration limit(const Route &route) const;
    /*!
        Returns the limit for a stream whose events have come with pauses of up to
        \a longestPause: one that is slow from its begin is not taken for one that has stopped.
    */
    Duration limit(const Route &route, Duration longestPause) const;

private:
    std::unordered_map<std::string, double> meanSeconds_; //!< By route, recent answers foremost.
};

} // namespace crocusport

#endif // CROCUSPORT_SILENCELIMITS_H
