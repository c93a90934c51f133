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
    Chooses the backend server for a request from at most 8 random candidates that have a free
    slot, plus the one that served the same prompt prefix last (docs/design.md section 4.1).

    Thread safety: none; use from one thread.
*/
class Placement
{
public:
    explicit Placement(std::uint64_t seed);

    //! Returns where \a record may start at \a now, if anywhere. A \a marked request is isolated.
    std::optional<ServerIndex> choose(const BackendServerTable &servers,
                                      const RequestRecord &record, bool marked, Instant now);
    //! Remembers that \a record's prefix is now cached on its server.
    void noteStart(const RequestRecord &record);

private:
    struct PrefixEntry
    {
        PrefixHash prefix;
        ServerIndex server;
    };

    std::optional<ServerIndex> chooseProbe(const BackendServerTable &servers,
                                           const RequestRecord &record, bool marked, Instant now);
    std::optional<ServerIndex> chooseOpen(const BackendServerTable &servers,
                                          const RequestRecord &record, bool marked);
    std::optional<ServerIndex> affinity(const RequestRecord &record) const;
    //! Returns a random number below \a size.
    std::size_t sample(std::size_t size);

    std::mt19937_64 random_;
    std::vector<PrefixEntry> prefixes_; //!< Direct-mapped by prefix hash.
};

} // namespace crocusport

#endif // CROCUSPORT_PLACEMENT_H
