#ifndef CROCUSPORT_PLACEMENT_H
#define CROCUSPORT_PLACEMENT_H

#include "backendservertable.h"
#include "requestrecord.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace crocusport {

/*!
    Chooses the backend server for a request (docs/design.md section 4.1): a slow server that is due
    for a probe request, otherwise the one with the lowest cost among at most 8 random candidates
    with a free slot and the server on which a request with the same prompt prefix started last. If
    the request may run on none of these, the first server with a free slot on which it may run.

    Thread safety: none; use from one thread.
*/
class Placement
{
public:
    explicit Placement(std::uint64_t seed);

    //! Returns the server on which \a record may start at \a now, or nothing. A crash suspect
    //! may not start on a server that runs another crash suspect.
    std::optional<ServerIndex> choose(const BackendServerTable &servers,
                                      const RequestRecord &record, bool crashSuspect, Instant now);
    //! Records that the server of \a record has the prompt prefix of \a record in its cache now.
    void noteStart(const RequestRecord &record);

private:
    struct PrefixEntry
    {
        PrefixHash prefix;
        ServerIndex server;
    };

    std::optional<ServerIndex> chooseProbe(const BackendServerTable &servers,
                                           const RequestRecord &record, bool crashSuspect,
                                           Instant now);
    std::optional<ServerIndex> chooseLowestCost(const BackendServerTable &servers,
                                                const RequestRecord &record, bool crashSuspect);
    std::optional<ServerIndex> serverWithPrefix(const RequestRecord &record) const;
    //! Returns a random number below \a size.
    std::size_t sample(std::size_t size);

    std::mt19937_64 random_;
    std::vector<PrefixEntry> prefixes_; //!< Direct-mapped cache, indexed by prefix hash.
};

} // namespace crocusport

#endif // CROCUSPORT_PLACEMENT_H
