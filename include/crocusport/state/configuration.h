#ifndef CROCUSPORT_CONFIGURATION_H
#define CROCUSPORT_CONFIGURATION_H

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"
#include "crocusport/state/repeatrule.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusport {

//! The kind of the backend servers of a pool.
enum class PoolKind { Engine, Service };

//! One class of requests, from a class file.
struct RequestClass
{
    ClassName name;
    PoolName pool;
    Tier tier { kLowestTier };
    RepeatRule repeat = RepeatRule::Never;
    std::optional<Milliseconds> firstTokenTarget;
    std::optional<Milliseconds> answerTarget;
    Milliseconds deadline { 60'000 };
    std::vector<TeamName> teams;               //!< Teams that may use the class; empty means all.
    std::string path = "/v1/chat/completions"; //!< Path prefix of the requests.

    bool operator==(const RequestClass &) const = default;
};

//! Policy of one pool of backend servers; see docs/design.md section 4.1.
struct PoolPolicy
{
    PoolName name;
    PoolKind kind = PoolKind::Engine;
    Region region;
    //! Due requests of tiers 2 to 4 start before tier-1 requests while fewer requests of tiers 2 to
    //! 4 run than this share of the pool's slots; at least one slot.
    double backgroundShare = 0.125;
    //! Share of the pool's slots that tiers 2 to 4 leave free, except for due requests within
    //! backgroundShare; at least one slot, but none in pools with fewer than 4 slots.
    double urgentReserve = 0.2;
    //! Share of each backend server's slots that long requests may use; at least one slot.
    double longShare = 0.5;
    //! A request is long if the mean service time of its class and team is above this, or their
    //! p90 above twice this.
    Milliseconds longThreshold { 10'000 };
    //! A request of tiers 2 to 4 is due after waiting this long, or when only twice its expected
    //! service time is left until its deadline, if that is earlier.
    Milliseconds floorAfter { 60'000 };
    std::uint32_t maxQueuedPerTier = 10'000;

    bool operator==(const PoolPolicy &) const = default;
};

//! One team of callers.
struct Team
{
    TeamName name;
    std::string credentialSha256; //!< Lower-case hex; empty if the team needs no credential.
    double requestsPerSecond = 0; //!< Limit on each router; 0 means no limit.

    bool operator==(const Team &) const = default;
};

//! The published configuration: one immutable version.
struct Configuration
{
    ConfigurationVersion version;
    std::string publishId;
    std::map<ClassName, RequestClass> classes;
    std::map<PoolName, PoolPolicy> pools;
    std::map<TeamName, Team> teams;

    bool operator==(const Configuration &) const = default;
};

} // namespace crocusport

#endif // CROCUSPORT_CONFIGURATION_H
