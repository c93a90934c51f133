#ifndef CROCUSPORT_ROUTINGTABLE_H
#define CROCUSPORT_ROUTINGTABLE_H

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"
#include "crocusport/transport/httpserver.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocusport {

//! What may be repeated of a request.
enum class RequestKind { Safe, Unsafe, Stream };

struct WeightedPool
{
    PoolName pool;
    double weight = 1;
};

//! One rule of the configuration: which requests it selects and how they are served.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::vector<WeightedPool> pools; //!< More than one while traffic moves between pools.
    RequestKind kind = RequestKind::Unsafe;
    Duration timeout {};  //!< Longest time that a caller is kept waiting.
    Duration target {};   //!< Latency objective, up to the first event for streams.
    Duration maxPause {}; //!< Longest pause between events that meets the objective; 0: none.
    int priority = 0;     //!< 0 is the highest.
    int maxAttempts = 1;  //!< Backend servers that may run one request.
    bool allowsAnonymous = false;
    bool isResumable = false;  //!< A stream may go on at another backend server.
    bool isGeneration = false; //!< Requests carry prompts for a model.

    //! Whether a request may run more than once.
    bool isIdempotent() const
    {
        return kind == RequestKind::Safe || (kind == RequestKind::Stream && isResumable);
    }
};

//! What the configuration says of the model engines of a pool.
struct EngineProfile
{
    std::uint32_t slots = 0;
    std::uint64_t memoryTokens = 0;
    std::uint32_t tokensPerEvent = 1;
};

struct PoolEntry
{
    PoolName name;
    std::string healthPath;
    int maxConnections = 0; //!< Of each backend server, over all routers.
    std::optional<EngineProfile> engine;
};

struct TeamEntry
{
    TeamName name;
    std::vector<std::string> keys;
    std::optional<int> priority; //!< 0 is the highest; counts before the route's.
};

//! One version of the configuration as the operators publish it.
struct RoutingConfiguration
{
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::vector<PoolEntry> pools;
    std::vector<TeamEntry> teams;           //!< Empty: requests need no key.
    std::optional<HttpServerLimits> limits; //!< Of callers; their number is not set here.
};

/*!
    A configuration, indexed for lookups.

    Thread safety: immutable; safe from any thread.
*/
class RoutingTable
{
public:
    explicit RoutingTable(RoutingConfiguration configuration);

    ConfigurationVersion version() const { return configuration_.version; }
    const RoutingConfiguration &configuration() const { return configuration_; }
    bool hasTeams() const { return !configuration_.teams.empty(); }

    //! Returns the route of \a host with the longest prefix of \a path, or nullptr.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const PoolEntry *findPool(const PoolName &pool) const;
    //! Returns the team that holds \a key, or nullptr.
    const TeamEntry *findTeam(const std::string &key) const;
    /*!
        Returns the rank of a request among all that the configuration tells apart, 0 for the most
        urgent: by the priority of its team first, then by that of its route. Teams without a
        priority, and callers without a team (nullptr), come last.
    */
    int urgency(const Route &route, const TeamEntry *team) const;
    //! Returns the rank of the route's priority among those of all routes, 0 for the highest.
    int tier(const Route &route) const;

private:
    RoutingConfiguration configuration_;
    //! By host in lower case; longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> routes_;
    std::unordered_map<PoolName, const PoolEntry *> pools_;
    std::unordered_map<std::string, const TeamEntry *> teams_;
    std::vector<int> teamPriorities_;  //!< Distinct, in order.
    std::vector<int> routePriorities_; //!< Distinct, in order.
};

} // namespace crocusport

#endif // CROCUSPORT_ROUTINGTABLE_H
