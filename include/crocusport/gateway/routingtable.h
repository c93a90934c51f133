#ifndef CROCUSPORT_ROUTINGTABLE_H
#define CROCUSPORT_ROUTINGTABLE_H

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"
#include "crocusport/transport/httpserver.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace crocusport {

//! Whether a request may run twice: Safe always, Unsafe never, Stream if its route is resumable.
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
    std::vector<WeightedPool> pools; //!< More than one while traffic is shifted between pools.
    RequestKind kind = RequestKind::Unsafe;
    Duration timeout {};  //!< Longest time until the response is complete; 0: a default.
    Duration target {};   //!< Latency objective; for streams, until the first event.
    Duration maxPause {}; //!< Longest pause between events within the objective; 0: no limit.
    int priority = 0;     //!< 0 is the highest.
    int maxAttempts = 1;  //!< Maximum number of backend servers that may run one request.
    bool allowsAnonymous = false;
    bool isResumable = false;  //!< Another backend server may continue a stream that broke.
    bool isGeneration = false; //!< Requests carry prompts for a language model.

    //! Whether a request may run more than once.
    bool isIdempotent() const
    {
        return kind == RequestKind::Safe || (kind == RequestKind::Stream && isResumable);
    }
};

//! Properties of the model engines of a pool, from the configuration.
struct EngineProfile
{
    std::uint32_t slots = 0;
    std::uint64_t memoryTokens = 0;
    std::uint32_t tokensPerEvent = 1;
};

//! Limits and prices of the servers that can be ordered for a pool.
struct PoolScaling
{
    std::uint32_t min = 0; //!< Fewest servers of each zone, of both kinds together.
    std::uint32_t max = 0; //!< Most servers of each zone, of both kinds together.
    Duration bootTime {};  //!< Time from an order until the new servers serve.
    //! Price of a spot server as a share of that of a regular one; none: there are no spot servers.
    std::optional<double> spotCost;
    std::map<AvailabilityZone, double> zoneCosts; //!< Price of a server second; others cost 1.
};

struct PoolEntry
{
    PoolName name;
    std::string healthPath;
    int maxConnections = 0; //!< Limit for each backend server, over all routers.
    std::optional<EngineProfile> engine;
    std::optional<PoolScaling> scaling; //!< None: the pool's servers cannot be ordered.
};

struct TeamEntry
{
    TeamName name;
    std::vector<std::string> keys;
    std::optional<int> priority; //!< 0 is the highest; ranks before the route's priority.
};

//! One version of the configuration that the operators publish.
struct RoutingConfiguration
{
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::vector<PoolEntry> pools;
    //! None: requests need no key. A list, also an empty one: only keys of its teams are valid.
    std::optional<std::vector<TeamEntry>> teams;
    std::optional<HttpServerLimits> limits; //!< For callers; maxConnections is ignored.
};

//! Whether a configuration allows a request, and for which team.
struct Access
{
    bool isAllowed = false;
    const TeamEntry *team = nullptr; //!< None: the request is anonymous.
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
    //! Whether requests need a key, except on routes that allow anonymous callers.
    bool requiresKeys() const { return configuration_.teams.has_value(); }

    //! Returns the route of \a host with the longest prefix of \a path, or nullptr.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const PoolEntry *findPool(const PoolName &pool) const;
    std::unordered_set<PoolName> poolNames() const;
    //! Returns the team that holds \a key, or nullptr.
    const TeamEntry *findTeam(const std::string &key) const;
    /*!
        Decides whether a request with \a key may use \a route of this table. If keys are required,
        a request that has one is allowed only if a team holds it, also on a route that allows
        anonymous callers: those are the callers that send no key. No team holds an empty key.
    */
    Access access(const Route &route, const std::optional<std::string> &key) const;
    /*!
        Returns the urgency rank of a request, 0 for the most urgent. The priority of the team
        decides first, then the priority of the route. Teams without a priority and callers without
        a team (nullptr) rank like the team with the lowest priority.
    */
    int urgency(const Route &route, const TeamEntry *team) const;
    //! Returns the rank of the route's priority among those of all routes, 0 for the highest.
    int tier(const Route &route) const;

private:
    RoutingConfiguration configuration_;
    //! Keyed by host in lower case; routes with longer prefixes come first.
    std::unordered_map<std::string, std::vector<const Route *>> routes_;
    std::unordered_map<PoolName, const PoolEntry *> pools_;
    std::unordered_map<std::string, const TeamEntry *> teams_;
    std::vector<int> teamPriorities_;  //!< Distinct, ascending.
    std::vector<int> routePriorities_; //!< Distinct, ascending.
};

} // namespace crocusport

#endif // CROCUSPORT_ROUTINGTABLE_H
