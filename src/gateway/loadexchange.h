#ifndef CROCUSPORT_LOADEXCHANGE_H
#define CROCUSPORT_LOADEXCHANGE_H

#include "partcrashledger.h"
#include "prefixmemory.h"
#include "routerdirectory.h"
#include "serverdirectory.h"

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
    Router, //!< The requests of the router that sends the report.
    Zone,   //!< The requests of all routers of the sender's availability zone.
};

/*!
    The datagram in which a router reports its load to other routers. Each report contains the
    complete load, so the next report repairs the loss of a datagram.
*/
struct LoadReport
{
    RouterEntry router;
    std::uint64_t sequence = 0;
    ReportScope scope = ReportScope::Router;
    bool isLeaving = false;
    bool isNeighbourQuery = false; //!< The sender requests the list of its neighbours.
    bool isNeighbourReply =
        false;                //!< Response to isNeighbourQuery; neither of the two contains loads.
    bool isRelayed = false;   //!< Forwarded by another router of the receiver's zone.
    std::size_t zoneSize = 0; //!< Number of routers of the zone, for ReportScope::Zone.
    std::optional<StoreHint> store;
    std::vector<std::pair<ServerHash, std::uint32_t>> paces; //!< Pace samples in tenths of a ms.
    //! The sender's clock, without the corrections of TrueTime, since the start of 1970.
    std::optional<Duration> clock;
    std::vector<ServerHash> broken; //!< Servers to which connections broke recently.
    //! Servers that have announced in a response that they are leaving, with their start numbers.
    std::vector<std::pair<ServerHash, StartNumber>> leaving;
    std::vector<std::pair<ServerHash, ServerLoad>> loads;
    //! Prefixes of prompts that were sent to servers since the last report.
    std::vector<std::pair<ServerHash, PromptPrefixHash>> promptPrefixes;
    std::vector<CrashSuspicion> suspicions; //!< Repeated for a short time.
    std::vector<PartReport> partReports;    //!< Repeated for a short time.
};

//! Encodes a report as CBOR. Safe from any thread.
std::string encodeLoadReport(const LoadReport &report);
//! Decodes a report. Fails with MalformedMessage. Safe from any thread.
Result<LoadReport> decodeLoadReport(std::string_view bytes);

//! Encodes the neighbour list that a router sends to one that asked for it. Safe from any thread.
std::string encodeNeighbours(const std::vector<RouterEntry> &routers);
//! Returns the routers, or nothing if \a bytes are not a neighbour list. Safe from any thread.
std::optional<std::vector<RouterEntry>> decodeNeighbours(std::string_view bytes);

/*!
    Keeps the loads that other routers report, and adds them to the servers of a directory.

    In a large fleet, only the routers of one availability zone report to each other. The first
    router of the zone sends the sum of their loads, less often, to one router of each other zone,
    which forwards it within its zone. Reports from every router to every other would saturate small
    links, and traffic between zones is expensive.

    Thread safety: none; use from one thread.
*/
class PeerLoads
{
public:
    PeerLoads(ServerDirectory &directory, AvailabilityZone zone)
        : directory_(directory), zone_(std::move(zone))
    { }

    /*!
        Applies a report. Ignores a report that is older than the last one of its router or zone,
        and a sum of this router's own zone. Returns whether the report was applied.
    */
    bool applyReport(const LoadReport &report, Instant now);
    //! Drops the loads of silent routers and zones, and recomputes the sums of all servers.
    void refresh(Instant now);
    //! Returns the sums of the loads that other routers of this zone have reported, by server.
    std::unordered_map<ServerHash, ServerLoad> zoneLoads(Instant now) const;
    //! Whether another router or zone has reported its load and is not silent since.
    bool hasReports(Instant now) const;
    //! Returns the mean age of the last reports of single routers; zero if there are none.
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
    std::map<AvailabilityZone, Loads> zones_; //!< Sums that other zones have reported.
};

} // namespace crocusport

#endif // CROCUSPORT_LOADEXCHANGE_H
