#ifndef CROCUSPORT_SILENCELIMITS_H
#define CROCUSPORT_SILENCELIMITS_H

#include "crocusport/gateway/routingtable.h"
#include "crocusport/state/instant.h"

#include <string>
#include <unordered_map>

namespace crocusport {

/*!
    Computes how long a backend server may make no progress before the attempt is abandoned and
    retried at another server.

    Load pattern: in a burst, requests queue at all servers. Silence then means that the request is
    waiting, and a retry would lose its position in the queue and prefill the prompt again. The
    limit therefore grows with the mean time until responses of the same route begin.

    Thread safety: none; use from one thread.
*/
class SilenceLimits
{
public:
    //! Records that a response on \a route began \a waited after the start of its attempt.
    void noteBegin(const std::string &route, Duration waited);
    //! Returns the limit for an attempt on \a route; Duration::max() if it must not be retried.
    Duration limit(const Route &route) const;
    /*!
        Returns the limit for a stream in which pauses up to \a longestPause have occurred: a stream
        that is slow from the start is not treated as stopped.
    */
    Duration limit(const Route &route, Duration longestPause) const;

private:
    std::unordered_map<std::string, double> meanSeconds_; //!< By route; moving mean.
};

} // namespace crocusport

#endif // CROCUSPORT_SILENCELIMITS_H
