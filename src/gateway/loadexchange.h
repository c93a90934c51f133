#ifndef CROCUSPORT_LOADEXCHANGE_H
#define CROCUSPORT_LOADEXCHANGE_H

#include "prefixmemory.h"
#include "serverdirectory.h"

#include "crocusport/state/error.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocusport {

//! A request that was under way when its backend server's connection broke.
struct CrashSuspicion
{
    Fingerprint fingerprint;
    std::string crash; //!< See crashId().
};

/*!
    What a router tells the others of its requests. Each report holds the whole load, so that a lost
    datagram is made good by the next one.
*/
struct LoadReport
{
    RouterEntry router;
    std::uint64_t sequence = 0;
    bool isLeaving = false;
    std::vector<std::pair<ServerHash, ServerLoad>> loads;
    std::vector<std::pair<ServerHash, ChainHash>> chains; //!< Sent since the last report.
    std::vector<CrashSuspicion> suspicions;               //!< Of the last seconds.
};

//! Encodes a report as CBOR. Safe from any thread.
std::string encodeLoadReport(const LoadReport &report);
//! Fails with MalformedMessage. Safe from any thread.
Result<LoadReport> decodeLoadReport(std::string_view bytes);

/*!
    The other routers, and the loads that they report. Adds these to the servers of a directory.

    Thread safety: none; use from one thread.
*/
class PeerLoads
{
public:
    explicit PeerLoads(const ServerDirectory &directory) : directory_(directory) { }

    //! Takes a report; one that is older than the last of its router is ignored.
    void take(const LoadReport &report, Instant now);
    //! Adds or updates a router that has registered.
    void addRouter(const RouterEntry &router);
    void removeRouter(const RouterName &router);
    //! Forgets loads of routers that are silent, and sums up the rest.
    void refresh(Instant now);

    std::vector<RouterEntry> routers() const;
    std::size_t count() const { return peers_.size(); }

private:
    struct Peer
    {
        RouterEntry router;
        std::uint64_t sequence = 0;
        std::optional<Instant> heard;
        bool isRegistered = false;
        std::unordered_map<ServerHash, ServerLoad> loads;
    };

    const ServerDirectory &directory_;
    std::map<RouterName, Peer> peers_;
};

} // namespace crocusport

#endif // CROCUSPORT_LOADEXCHANGE_H
