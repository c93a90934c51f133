#include "crocusport/gateway/routingtable.h"

#include <algorithm>
#include <cctype>

namespace crocusport {

namespace {

// Host names compare without case, and a port does not select a route.
std::string normalizedHost(std::string_view host)
{
    std::string normalized(host.substr(0, host.find(':')));
    std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return normalized;
}

void sortDistinct(std::vector<int> &values)
{
    std::sort(values.begin(), values.end());
    values.erase(std::unique(values.begin(), values.end()), values.end());
}

int rankIn(const std::vector<int> &values, int value)
{
    return static_cast<int>(std::lower_bound(values.begin(), values.end(), value) - values.begin());
}

} // namespace

RoutingTable::RoutingTable(RoutingConfiguration configuration)
    : configuration_(std::move(configuration))
{
    for (const auto &route : configuration_.routes)
        routes_[normalizedHost(route.host)].push_back(&route);
    for (auto &[host, routes] : routes_) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto *left, const auto *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
    for (const auto &pool : configuration_.pools)
        pools_.emplace(pool.name, &pool);
    if (configuration_.teams) {
        for (const auto &team : *configuration_.teams) {
            for (const auto &key : team.keys) {
                if (!key.empty())
                    teams_.emplace(key, &team);
            }
            if (team.priority)
                teamPriorities_.push_back(*team.priority);
        }
    }
    for (const auto &route : configuration_.routes)
        routePriorities_.push_back(route.priority);
    sortDistinct(teamPriorities_);
    sortDistinct(routePriorities_);
}

int RoutingTable::tier(const Route &route) const
{
    return rankIn(routePriorities_, route.priority);
}

int RoutingTable::urgency(const Route &route, const TeamEntry *team) const
{
    const auto tiers = static_cast<int>(routePriorities_.size());
    const bool isLast = !team || !team->priority;
    const auto teamRank = isLast ? std::max(0, static_cast<int>(teamPriorities_.size()) - 1)
                                 : rankIn(teamPriorities_, *team->priority);
    return teamRank * tiers + tier(route);
}

const Route *RoutingTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = routes_.find(normalizedHost(host));
    if (found == routes_.end())
        return nullptr;
    for (const auto *route : found->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

std::unordered_set<PoolName> RoutingTable::poolNames() const
{
    std::unordered_set<PoolName> names;
    for (const auto &[name, pool] : pools_)
        names.insert(name);
    return names;
}

const PoolEntry *RoutingTable::findPool(const PoolName &pool) const
{
    const auto found = pools_.find(pool);
    return found == pools_.end() ? nullptr : found->second;
}

const TeamEntry *RoutingTable::findTeam(const std::string &key) const
{
    const auto found = teams_.find(key);
    return found == teams_.end() ? nullptr : found->second;
}

Access RoutingTable::access(const Route &route, const std::optional<std::string> &key) const
{
    if (!requiresKeys())
        return { true, nullptr };
    if (!key)
        return { route.allowsAnonymous, nullptr };
    const auto *const team = findTeam(*key);
    return { team != nullptr, team };
}

} // namespace crocusport
