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
    The observations that this router knows, and the queue of those to send by gossip.

    Thread safety: none; use from one thread.
*/
class ObservationLog
{
public:
    //! Adds and queues \a observation; returns false if it was already known.
    bool add(const Observation &observation, Instant now);
    //! Returns observations for one message: first the queued ones that were sent least often, then
    //! older ones in rotation.
    std::vector<Observation> take(std::size_t count, std::size_t memberCount, Instant now);
    //! Removes observations that were added 20 minutes ago or earlier.
    void tick(Instant now);

private:
    std::map<Observation, Instant> known_; //!< With the time of add().
    GossipQueue<Observation> gossipQueue_;
    Observation rotationCursor_; //!< Observation last considered in rotation.
};

} // namespace crocusport

#endif // CROCUSPORT_OBSERVATIONLOG_H
