#ifndef CROCUSPORT_PREFIXMEMORY_H
#define CROCUSPORT_PREFIXMEMORY_H

#include "serverdirectory.h"

#include "crocusport/gateway/wiremessages.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace crocusport {

//! Hash of a chain of prompt parts, as routers tell each other.
using ChainHash = std::uint32_t;

//! Returns the hash of each leading chain of \a parts, shortest first.
std::vector<ChainHash> chainHashes(const std::vector<PromptPart> &parts);

/*!
    Remembers which leading prompt parts were sent to which backend server, and so are likely in its
    prefix cache.

    Thread safety: none; use from one thread.
*/
class PrefixMemory
{
public:
    //! The chain was sent to the server, or another router said so.
    void note(ServerHash server, ChainHash chain, Instant now);
    //! Returns how many tokens of \a parts, whose chains are \a chains, \a server likely has.
    std::uint32_t cachedTokens(ServerHash server, const std::vector<PromptPart> &parts,
                               const std::vector<ChainHash> &chains, Instant now) const;
    //! Forgets what \a server held, since it has started again.
    void forget(ServerHash server);
    //! Forgets chains that were not used for long. Linear.
    void expire(Instant now);

private:
    std::unordered_map<ServerHash, std::unordered_map<ChainHash, Instant>> chains_;
};

} // namespace crocusport

#endif // CROCUSPORT_PREFIXMEMORY_H
