#ifndef CROCUSPORT_SERVERSELECTOR_H
#define CROCUSPORT_SERVERSELECTOR_H

#include "prefixmemory.h"
#include "serverdirectory.h"

#include <random>
#include <vector>

namespace crocusport {

class StartPace;

//! The work that a request causes at a backend server.
struct WorkProfile
{
    std::vector<PromptPart> parts;
    std::vector<PromptPrefixHash> prefixHashes;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::size_t bodyBytes = 0;
    /*!
        How strongly the prefill of other prompts on the same server delays the request, from 0 to
        1. It is high for long streams with a short pause objective.
    */
    double sensitivity = 0;

    //! Returns the load of the request at a server that has cached \a cachedTokens of its prompt.
    ServerLoad loadWith(std::uint32_t cachedTokens) const;
};

//! Returns the sensitivity of a stream with this pause objective and length. Safe from any thread.
double pauseSensitivity(Duration maxPause, std::uint32_t outputTokens);

/*!
    Chooses the backend server for a request: the server with the lowest cost, which is the expected
    delay of the request and of the streams that it would delay.

    Load pattern: long prompts arrive together with short urgent streams. An engine prefills prompts
    in chunks between the tokens of all its running requests. So one long prompt delays all streams
    on the same engine, even if other engines are idle.

    Thread safety: none; use from one thread.
*/
class ServerSelector
{
public:
    //! A chosen server and the load that the request adds to it; no server if none can take it.
    struct Choice
    {
        ServerDirectory::ServerPointer server;
        ServerLoad added;
        std::uint32_t cachedTokens = 0;     //!< Tokens of the prompt cached at the server.
        std::uint32_t mostCachedTokens = 0; //!< Maximum over all eligible servers.
    };

    ServerSelector(const ServerDirectory &directory, const PrefixMemory &prefixes,
                   AvailabilityZone zone, std::uint64_t seed);

    //! Limits the requests at new servers from now on. \a pace must outlive the selector or the
    //! next call; null limits nothing.
    void setStartPace(const StartPace *pace) { startPace_ = pace; }

    /*!
        Returns the best server of \a pool that has capacity for the request and is not in
        \a excluded, or none. Avoided servers are only chosen if there is no other.
    */
    Choice choose(const PoolName &pool, const PoolEntry *entry, const WorkProfile &profile,
                  const std::vector<BackendServerName> &excluded, Instant now);

    /*!
        Returns the time until the first usable server of \a pool takes requests, if all of them
        have asked this router to pause. Returns zero otherwise, also if no server is usable.
    */
    Duration pause(const PoolName &pool, Instant now) const;

private:
    //! A server of the pool that can take the request.
    struct Candidate
    {
        ServerDirectory::ServerPointer server;
        std::uint32_t cachedTokens = 0;
        std::size_t position = 0; //!< Position by hash; the same for all routers.
    };

    std::vector<Candidate> candidates(const PoolName &pool, const PoolEntry *entry,
                                      const WorkProfile &profile,
                                      const std::vector<BackendServerName> &excluded,
                                      Instant now) const;
    //! Removes the servers whose start window is full, if another candidate has a free slot.
    void applyStartPace(std::vector<Candidate> &found, Instant now) const;
    double cost(const KnownServer &server, const PoolEntry *entry, const WorkProfile &profile,
                std::uint32_t cachedTokens, Instant now) const;
    double generationCost(const WorkProfile &profile, const ServerLoad &load,
                          std::uint32_t cachedTokens) const;

    const ServerDirectory &directory_;
    const PrefixMemory &prefixes_;
    AvailabilityZone zone_;
    const StartPace *startPace_ = nullptr;
    std::mt19937_64 random_;
};

} // namespace crocusport

#endif // CROCUSPORT_SERVERSELECTOR_H
