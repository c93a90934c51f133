#ifndef CROCUSPORT_SERVERKIND_H
#define CROCUSPORT_SERVERKIND_H

#include "crocusport/state/identifiers.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace crocusport {

//! Whether the platform may take a server away at short notice (Spot) or not.
enum class ServerKind : std::uint8_t { Regular, Spot };

inline constexpr std::array<ServerKind, 2> kServerKinds { ServerKind::Regular, ServerKind::Spot };
inline constexpr std::array<std::string_view, 2> kServerKindNames { "regular", "spot" };

//! Safe from any thread.
constexpr ServerKind otherKind(ServerKind kind)
{
    return kind == ServerKind::Spot ? ServerKind::Regular : ServerKind::Spot;
}

//! One value for each kind of server. Thread safety: that of \a T.
template<typename T>
struct PerKind
{
    std::array<T, kServerKinds.size()> values {};

    T &operator[](ServerKind kind) { return values[static_cast<std::size_t>(kind)]; }
    const T &operator[](ServerKind kind) const { return values[static_cast<std::size_t>(kind)]; }
    bool operator==(const PerKind &) const = default;
};

//! Numbers of servers by zone and kind.
using ServerCounts = std::map<AvailabilityZone, PerKind<std::uint32_t>>;

//! The servers of a pool in one zone, as the directory shows them.
struct ZoneServers
{
    PerKind<std::uint32_t> live;
    PerKind<std::uint32_t> leaving;
    PerKind<std::uint32_t> due; //!< Live servers with those that are starting; at least live.
    PerKind<bool> isRefused; //!< The platform had no servers of the kind within the last seconds.
};

using PresentServers = std::map<AvailabilityZone, ZoneServers>;

} // namespace crocusport

#endif // CROCUSPORT_SERVERKIND_H
