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

//! What the backend servers of a pool are.
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
    double backgroundShare = 0.125; //!< Share of slots kept for due requests of tiers 2 to 4.
    double urgentReserve = 0.2;     //!< Share of slots that tiers 2 to 4 leave free.
    double longShare = 0.5;         //!< Share of a backend server's slots open to long requests.
    Milliseconds longThreshold { 10'000 }; //!< Expected service time from which work is long.
    Milliseconds floorAfter { 60'000 };    //!< Wait after which a lower-tier request is due.
    std::uint32_t maxQueuedPerTier = 10'000;

    bool operator==(const PoolPolicy &) const = default;
};

//! One team of callers.
struct Team
{
    TeamName name;
    std::string credentialSha256; //!< Lower-case hex; empty: no credential is asked for.
    double requestsPerSecond = 0; //!< Limit for each router; 0 means none.

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
