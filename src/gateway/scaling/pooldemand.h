#ifndef CROCUSPORT_POOLDEMAND_H
#define CROCUSPORT_POOLDEMAND_H

#include <cstdint>

namespace crocusport {

//! The work that one router has sent to the servers of a pool since its process started.
struct PoolDemand
{
    std::uint64_t requests = 0;
    std::uint64_t prefillTokens = 0; //!< Prompt tokens that the servers had not cached.
    std::uint64_t outputTokens = 0;
    std::uint32_t running = 0; //!< Requests that run now; the only value that may fall.

    bool operator==(const PoolDemand &) const = default;
};

} // namespace crocusport

#endif // CROCUSPORT_POOLDEMAND_H
