#ifndef CROCUSPORT_SERVERENTRY_H
#define CROCUSPORT_SERVERENTRY_H

#include "crocusport/state/backendserver.h"
#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <compare>
#include <cstdint>
#include <tuple>

namespace crocusport {

//! The position of an entry among all that one backend server has written, over its starts.
struct WriteNumber
{
    StartNumber start;
    std::uint64_t sequence = 0;

    auto operator<=>(const WriteNumber &) const = default;
};

//! The entry with which a backend server registers in the store.
struct ServerEntry
{
    BackendServerName name; //!< Usually a new name after each restart.
    PoolName pool;
    SocketAddress address;
    AvailabilityZone zone;
    std::uint32_t slots = 1;
    BackendServerState state = BackendServerState::Live;
    Milliseconds coldRemaining {}; //!< Time until a server that has just started is at full speed.
    StartNumber start;             //!< Increases when a server of this name starts again.
    std::uint64_t sequence = 0;    //!< Increases with each entry that one start writes.
    bool isSpot = false;           //!< The platform may take the server away at short notice.

    WriteNumber writeNumber() const { return { start, sequence }; }

    //! Whether the entry equals \a other, an entry of the same name, in all fields except
    //! coldRemaining and sequence.
    bool hasSameUse(const ServerEntry &other) const
    {
        return std::tie(pool, address, zone, slots, state, start)
            == std::tie(other.pool, other.address, other.zone, other.slots, other.state,
                        other.start);
    }
};

//! A router's name and address, as it registers in the store and reports to other routers.
struct RouterEntry
{
    RouterName name;
    SocketAddress address; //!< Receives datagrams (UDP) and queries (TCP) of other routers.
    AvailabilityZone zone;

    bool operator==(const RouterEntry &) const = default;
};

} // namespace crocusport

#endif // CROCUSPORT_SERVERENTRY_H
