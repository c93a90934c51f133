#ifndef CROCUSPORT_BACKENDSERVER_H
#define CROCUSPORT_BACKENDSERVER_H

#include "crocusport/state/identifiers.h"

#include <cstdint>

namespace crocusport {

enum class BackendServerState { Live, Leaving };

//! One entry of the platform's host list.
struct BackendServer
{
    BackendServerName name;
    SocketAddress address;
    AvailabilityZone zone;
    Region region;
    PoolName pool;
    BackendServerState state = BackendServerState::Live;
    StartNumber start;
    std::uint32_t slots = 1; //!< Requests that the server runs at the same time.

    bool operator==(const BackendServer &) const = default;
};

} // namespace crocusport

#endif // CROCUSPORT_BACKENDSERVER_H
