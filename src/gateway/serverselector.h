#ifndef CROCUSPORT_SERVERSELECTOR_H
#define CROCUSPORT_SERVERSELECTOR_H

#include "prefixmemory.h"
#include "serverdirectory.h"

#include <random>
#include <vector>

namespace crocusport {

//! What a request asks of a backend server.
struct WorkProfile
{
    std::vector<PromptPart> parts;
    std::vector<ChainHash> chains;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::size_t bodyBytes = 0;
    /*!
        How much long prompts beside it harm the request, 0 to 1: high for streams of many events
        with a short longest pause.
    */
    double sensitivity = 0;

    //! What the request adds to the load of a server that has \a cachedTokens of its prompt.
    ServerLoad loadWith(std::uint32_t cachedTokens) const;
};

//! Returns how sensitive a stream with this longest pause and length is. Safe from any thread.
double pauseSensitivity(Duration maxPause, std::uint32_t outputTokens);

/*!
    Chooses the backend server for a request: the least expected delay for it and for the streams
    that it would disturb.

    Answers the load pattern of long prompts beside short urgent streams: an engine reads prompts in
    chunks between the tokens of all its running requests, so one long prompt makes the streams
    beside it late while other engines are idle.

    Thread safety: none; use from one thread.
*/
class ServerSelector
{
public:
    //! Choice of a server, and what the request adds to its load.
    struct Choice
    {
        ServerDirectory::ServerPointer server;
        ServerLoad added;
        std::uint32_t cachedTokens = 0;     //!< Of the prompt, at the server.
        std::uint32_t mostCachedTokens = 0; //!< At any server that could have been chosen.
    };

    ServerSelector(const ServerDirectory &directory, const PrefixMemory &prefixes,
                   AvailabilityZone zone, std::uint64_t seed);

    /*!
        Returns the best server of \a pool that has a free slot and is not in \a excluded, or none.
        Avoided servers are only chosen when there is no other.
    */
    Choice choose(const PoolName &pool, const PoolEntry *entry, const WorkProfile &profile,
                  const std::vector<BackendServerName> &excluded, Instant now);

    /*!
        Returns how long all servers of \a pool that are in use want nothing from this router, zero
        when one of them takes requests or there are none.
    */
    Duration pause(const PoolName &pool, Instant now) const;

private:
    //! A server of the pool that can take the request, with what it has of the prompt.
    struct Candidate
    {
        ServerDirectory::ServerPointer server;
        std::uint32_t cachedTokens = 0;
        std::size_t position = 0; //!< In the order of hashes, which all routers share.
    };

    std::vector<Candidate> candidates(const PoolName &pool, const PoolEntry *entry,
                                      const WorkProfile &profile,
                                      const std::vector<BackendServerName> &excluded,
                                      Instant now) const;
    double cost(const KnownServer &server, const PoolEntry *entry, const WorkProfile &profile,
                std::uint32_t cachedTokens, Instant now) const;
    double generationCost(const WorkProfile &profile, const ServerLoad &load,
                          std::uint32_t cachedTokens) const;

    const ServerDirectory &directory_;
    const PrefixMemory &prefixes_;
    AvailabilityZone zone_;
    std::mt19937_64 random_;
};

} // namespace crocusport

#endif // CROCUSPORT_SERVERSELECTOR_H
