#ifndef CROCUSPORT_ZONESPREAD_H
#define CROCUSPORT_ZONESPREAD_H

#include "crocusport/state/identifiers.h"

#include <cstdint>
#include <map>
#include <vector>

namespace crocusport {

//! A zone in which servers can be had.
struct ZoneOption
{
    AvailabilityZone zone;
    double cost = 1;         //!< Price of a server second.
    std::uint32_t least = 0; //!< Fewest servers.
    std::uint32_t most = 0;  //!< Most servers; not less than least.
};

struct SpreadGoal
{
    std::uint32_t afterLoss = 0; //!< Servers that remain when those of any one zone are lost.
    std::uint32_t total = 0;
};

/*!
    Returns the cheapest numbers of servers by zone that reach \a goal. If no numbers do, returns
    the most servers of each zone.

    Load pattern: the platform takes all spot servers of a zone at once. With N servers to remain
    and equal prices, each of Z zones has N / (Z - 1); much dearer zones get only their least.

    Safe from any thread. Time: the largest `most` times the number of zones.
*/
std::map<AvailabilityZone, std::uint32_t> spreadServers(std::vector<ZoneOption> options,
                                                        const SpreadGoal &goal);

} // namespace crocusport

#endif // CROCUSPORT_ZONESPREAD_H
