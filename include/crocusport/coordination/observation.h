#ifndef CROCUSPORT_OBSERVATION_H
#define CROCUSPORT_OBSERVATION_H

#include "crocusport/state/identifiers.h"

#include <compare>
#include <string>

namespace crocusport {

//! What a router has observed about a backend server.
enum class ObservationKind { Leaving, Crashed, Suspected };

/*!
    An event at a backend server that a router has observed itself, distributed by gossip.

    Observations are added but never changed or withdrawn, so routers merge them by set union in any
    order.
*/
struct Observation
{
    ObservationKind kind = ObservationKind::Suspected;
    BackendServerName server;
    //! Start of the server to which the observation applies; it does not apply to newer starts.
    StartNumber start;
    std::string crash;       //!< For Crashed: unique id of the crash.
    Fingerprint fingerprint; //!< For Crashed: of one request that was running there.

    auto operator<=>(const Observation &) const = default;
};

} // namespace crocusport

#endif // CROCUSPORT_OBSERVATION_H
