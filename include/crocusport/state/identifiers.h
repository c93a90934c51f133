#ifndef CROCUSPORT_IDENTIFIERS_H
#define CROCUSPORT_IDENTIFIERS_H

#include "crocusport/state/strongtype.h"

#include <cstdint>
#include <string>

namespace crocusport {

//! Unique id of one request, assigned by the router that received it.
using RequestId = StrongType<std::string, struct RequestIdTag>;
//! Name of a router, unique in the fleet; taken from its settings.
using RouterName = StrongType<std::string, struct RouterNameTag>;
//! Number that a router increases with each start and each time it refutes another router's
//! suspicion that it has failed.
using Incarnation = StrongType<std::uint64_t, struct IncarnationTag>;
//! Number that grows with each start of a backend server.
using StartNumber = StrongType<std::uint64_t, struct StartNumberTag>;
using BackendServerName = StrongType<std::string, struct BackendServerNameTag>;
using PoolName = StrongType<std::string, struct PoolNameTag>;
using ClassName = StrongType<std::string, struct ClassNameTag>;
using TeamName = StrongType<std::string, struct TeamNameTag>;
using AvailabilityZone = StrongType<std::string, struct AvailabilityZoneTag>;
using Region = StrongType<std::string, struct RegionTag>;
//! "ip:port" of a listening socket.
using SocketAddress = StrongType<std::string, struct SocketAddressTag>;
//! Priority tier; 1 is the most urgent, kLowestTier the least.
using Tier = StrongType<int, struct TierTag>;
//! Version of the published configuration; 0 means none.
using ConfigurationVersion = StrongType<std::uint64_t, struct ConfigurationVersionTag>;
//! Hash of a request's team, class, target and body; equal for repeats of the same request.
using Fingerprint = StrongType<std::uint64_t, struct FingerprintTag>;
//! Hash of a prompt's leading text, for prefix-cache affinity; 0 means none.
using PrefixHash = StrongType<std::uint64_t, struct PrefixHashTag>;
//! Fencing token: of two holders of the right to give orders to backend servers, the later one has
//! the larger token.
using FencingToken = StrongType<std::uint64_t, struct FencingTokenTag>;

inline constexpr int kUrgentTier = 1;
inline constexpr int kLowestTier = 4;

} // namespace crocusport

#endif // CROCUSPORT_IDENTIFIERS_H
