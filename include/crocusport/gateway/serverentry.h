#ifndef CROCUSPORT_SERVERENTRY_H
#define CROCUSPORT_SERVERENTRY_H

#include "crocusport/state/backendserver.h"
#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <cstdint>
#include <tuple>

namespace crocusport {

//! What a backend server says of itself where it registers.
struct ServerEntry
{
    BackendServerName name; //!< Of this start; a restart mostly has another.
    PoolName pool;
    SocketAddress address;
    AvailabilityZone zone;
    std::uint32_t slots = 1;
    BackendServerState state = BackendServerState::Live;
    Milliseconds coldRemaining {}; //!< Time for which it stays slow after its start.
    StartNumber start;             //!< Grows when the same name starts again.
    std::uint64_t sequence = 0;    //!< Grows with each entry of one start.

    //! Whether the entry differs from \a other, which has the same name, in no more than its age.
    bool hasSameUse(const ServerEntry &other) const
    {
        return std::tie(pool, address, zone, slots, state, start)
            == std::tie(other.pool, other.address, other.zone, other.slots, other.state,
                        other.start);
    }
    //! Whether the entry was written after \a other, which has the same name.
    bool isNewerThan(const ServerEntry &other) const
    {
        return std::tie(start, sequence) > std::tie(other.start, other.sequence);
    }
};

//! What a router says of itself where it registers.
struct RouterEntry
{
    RouterName name;
    SocketAddress address; //!< Of its datagrams.
    AvailabilityZone zone;

    bool operator==(const RouterEntry &) const = default;
};

} // namespace crocusport

#endif // CROCUSPORT_SERVERENTRY_H
