#ifndef CROCUSPORT_OBSERVATIONLOG_H
#define CROCUSPORT_OBSERVATIONLOG_H

#include "crocusport/coordination/observation.h"
#include "crocusport/state/instant.h"
#include "gossipqueue.h"

#include <cstddef>
#include <map>
#include <vector>

namespace crocusport {

/*!
    The observations that this router knows, and their gossip.

    Thread safety: none; use from one thread.
*/
class ObservationLog
{
public:
    //! Returns false if \a observation was known.
    bool add(const Observation &observation, Instant now);
    //! Observations for one message: the newest first, then older ones in rotation.
    std::vector<Observation> take(std::size_t count, std::size_t memberCount, Instant now);
    void tick(Instant now);

private:
    std::map<Observation, Instant> known_; //!< With the time at which each was learned.
    GossipQueue<Observation> news_;
    Observation lastFilled_;
};

} // namespace crocusport

#endif // CROCUSPORT_OBSERVATIONLOG_H
