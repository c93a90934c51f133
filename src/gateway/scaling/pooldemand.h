#ifndef CROCUSPORT_POOLDEMAND_H
#define CROCUSPORT_POOLDEMAND_H

#include <cstdint>

namespace crocusport {

//! The work that one router has sent to the servers of one pool. All but runningRequests count
//! from the start of the router's process.
struct PoolDemand
{
    std::uint64_t requests = 0;
    std::uint64_t prefillTokens = 0; //!< Prompt tokens that were not expected to be cached.
    std::uint64_t outputTokens = 0;  //!< Events of streams that have arrived.
    std::uint64_t runningRequests = 0;

    bool operator==(const PoolDemand &) const = default;
};

} // namespace crocusport

#endif // CROCUSPORT_POOLDEMAND_H
