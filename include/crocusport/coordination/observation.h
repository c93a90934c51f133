#ifndef CROCUSPORT_OBSERVATION_H
#define CROCUSPORT_OBSERVATION_H

#include "crocusport/state/identifiers.h"

#include <compare>
#include <string>

namespace crocusport {

//! What a router saw happen at a backend server.
enum class ObservationKind { Leaving, Crashed, Suspected };

/*!
    First-hand evidence about a backend server, spread by gossip.

    Observations only ever accumulate, so replicas merge them by set union in any order.
*/
struct Observation
{
    ObservationKind kind = ObservationKind::Suspected;
    BackendServerName server;
    StartNumber start;       //!< The start it speaks of; a newer start makes it void.
    std::string crash;       //!< Unique id of the crash, for Crashed.
    Fingerprint fingerprint; //!< One request that was running there, for Crashed.

    auto operator<=>(const Observation &) const = default;
};

} // namespace crocusport

#endif // CROCUSPORT_OBSERVATION_H
