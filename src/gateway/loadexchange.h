#ifndef CROCUSPORT_LOADEXCHANGE_H
#define CROCUSPORT_LOADEXCHANGE_H

#include "prefixmemory.h"
#include "routerdirectory.h"
#include "serverdirectory.h"

#include "crocusport/coordination/keyvaluestore.h"
#include "crocusport/state/crashledger.h"
#include "crocusport/state/error.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocusport {

//! Whose requests a report counts.
enum class ReportScope : std::uint8_t {
    Router, //!< Those of the router that sends it.
    Zone,   //!< Those of all routers of its availability zone.
};

/*!
    What a router tells the others of its requests. Each report holds the whole load, so that a lost
    datagram is made good by the next one.
*/
struct LoadReport
{
    RouterEntry router;
    std::uint64_t sequence = 0;
    ReportScope scope = ReportScope::Router;
    bool isLeaving = false;
    bool isAsking = false;    //!< The router wants to know its neighbours.
    bool isGreeting = false;  //!< The answer to that; like a question, it holds no loads.
    bool isRelayed = false;   //!< Another router of this zone has received it, and passes it on.
    std::size_t zoneSize = 0; //!< Routers of the zone, where the report is of a whole one.
    std::optional<StoreHint> store;
    std::vector<std::pair<ServerHash, std::uint32_t>> paces; //!< Samples in tenths of a ms.
    std::vector<ServerHash> broken; //!< Servers to which connections broke a moment ago.
    //! Servers that have said in an answer that they leave, each with its start.
    std::vector<std::pair<ServerHash, StartNumber>> leaving;
    std::vector<std::pair<ServerHash, ServerLoad>> loads;
    std::vector<std::pair<ServerHash, ChainHash>> chains; //!< Sent since the last report.
    std::vector<CrashSuspicion> suspicions;               //!< Of the last seconds.
};

//! Encodes a report as CBOR. Safe from any thread.
std::string encodeLoadReport(const LoadReport &report);
//! Fails with MalformedMessage. Safe from any thread.
Result<LoadReport> decodeLoadReport(std::string_view bytes);

//! Encodes what a router tells one that asks for its neighbours. Safe from any thread.
std::string encodeNeighbours(const std::vector<RouterEntry> &routers);
//! Returns the routers, or none when \a bytes are no such message. Safe from any thread.
std::optional<std::vector<RouterEntry>> decodeNeighbours(std::string_view bytes);

/*!
    The loads that other routers report. Adds these to the servers of a directory.

    In a large fleet, the routers of one availability zone report to each other, and one of them
    tells one of each other zone the sum at a slower pace, which passes it on: reports of all to all
    would fill small links, and bytes between zones are dear.

    Thread safety: none; use from one thread.
*/
class PeerLoads
{
public:
    PeerLoads(ServerDirectory &directory, AvailabilityZone zone)
        : directory_(directory), zone_(std::move(zone))
    { }

    /*!
        Takes a report; one that is older than the last of its router is ignored, as is a sum of
        this router's own zone. Returns whether it was new.
    */
    bool take(const LoadReport &report, Instant now);
    //! Forgets loads of routers that are silent, and sums up the rest.
    void refresh(Instant now);
    //! Loads that routers of this zone have reported, by server.
    std::unordered_map<ServerHash, ServerLoad> zoneLoads(Instant now) const;
    //! Mean age of what routers have reported themselves; zero without any.
    Duration meanAge(Instant now) const;

private:
    struct Loads
    {
        std::uint64_t sequence = 0;
        std::optional<Instant> heard;
        std::unordered_map<ServerHash, ServerLoad> loads;

        bool isCurrent(Instant now) const;
    };
    struct Peer
    {
        RouterEntry router;
        Loads own;
    };

    bool replace(Loads &loads, const LoadReport &report, Instant now);
    void add(const std::unordered_map<ServerHash, ServerLoad> &loads);

    ServerDirectory &directory_;
    AvailabilityZone zone_;
    std::map<RouterName, Peer> peers_;
    std::map<AvailabilityZone, Loads> zones_; //!< Sums of other zones.
};

} // namespace crocusport

#endif // CROCUSPORT_LOADEXCHANGE_H
