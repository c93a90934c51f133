#ifndef CROCUSPORT_PREFIXMEMORY_H
#define CROCUSPORT_PREFIXMEMORY_H

#include "serverdirectory.h"

#include "crocusport/gateway/wiremessages.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace crocusport {

//! Hash of the leading parts of a prompt; routers exchange it in load reports.
using PromptPrefixHash = std::uint32_t;

//! Returns the hashes of all prefixes of \a parts, from one part to all parts.
std::vector<PromptPrefixHash> promptPrefixHashes(const std::vector<PromptPart> &parts);

/*!
    Remembers which prompt prefixes were sent to which backend server, and are therefore probably in
    the server's prefix cache.

    Thread safety: none; use from one thread.
*/
class PrefixMemory
{
public:
    //! Records that this or another router sent the prefix to the server.
    void note(ServerHash server, PromptPrefixHash prefix, Instant now);
    //! Returns how many leading tokens of \a parts are probably cached at \a server. \a prefixes
    //! must be promptPrefixHashes(\a parts).
    std::uint32_t cachedTokens(ServerHash server, const std::vector<PromptPart> &parts,
                               const std::vector<PromptPrefixHash> &prefixes, Instant now) const;
    //! Drops all entries of \a server, whose cache is lost when it restarts or is removed.
    void removeServer(ServerHash server);
    //! Drops prefixes that have not been used for a minute. Linear in their number.
    void expire(Instant now);

private:
    std::unordered_map<ServerHash, std::unordered_map<PromptPrefixHash, Instant>> prefixes_;
};

} // namespace crocusport

#endif // CROCUSPORT_PREFIXMEMORY_H
