#ifndef CROCUSPORT_LOADEXCHANGE_H
#define CROCUSPORT_LOADEXCHANGE_H

#include "prefixmemory.h"
#include "serverdirectory.h"

#include "crocusport/coordination/keyvaluestore.h"
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

//! Whose requests a report counts.
enum class ReportScope : std::uint8_t {
    Router, //!< Those of the router that sends it.
    Zone,   //!< Those of all routers of its availability zone.
};

//! How far a router has read the store's changes.
struct StoreKnowledge
{
    StoreRevision revision = 0; //!< Of the last change that was more than a sign of life.
    Milliseconds age {};        //!< Since the router was sure that there is no later one.
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
    std::optional<StoreKnowledge> store;
    std::vector<std::pair<ServerHash, std::uint32_t>> paces; //!< Samples in tenths of a ms.
    std::vector<ServerHash> broken; //!< Servers to which connections broke a moment ago.
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

    In a large fleet, the routers of one availability zone report to each other, and one of them
    tells the other zones the sum at a slower pace: reports of all to all would fill small links,
    and bytes between zones are dear.

    Thread safety: none; use from one thread.
*/
class PeerLoads
{
public:
    PeerLoads(ServerDirectory &directory, AvailabilityZone zone)
        : directory_(directory), zone_(std::move(zone))
    { }

    //! Takes a report; one that is older than the last of its router is ignored.
    void take(const LoadReport &report, Instant now);
    //! Adds or updates a router that has registered.
    void addRouter(const RouterEntry &router);
    void removeRouter(const RouterName &router);
    //! Forgets loads of routers that are silent, and sums up the rest.
    void refresh(Instant now);

    //! Whether the fleet is small enough that all routers report to all.
    bool isDirect() const;
    //! Whether \a self reports for its zone: it has the first name of those that are heard.
    bool isRepresentative(const RouterName &self, Instant now) const;
    //! Routers that get the reports of this one.
    std::vector<RouterEntry> nearRouters() const;
    //! Routers that get the sums of this zone.
    std::vector<RouterEntry> farRouters() const;
    //! Loads that routers of this zone have reported, by server.
    std::unordered_map<ServerHash, ServerLoad> zoneLoads(Instant now) const;
    std::size_t count() const { return peers_.size(); }
    //! Routers that report to this one and were heard a moment ago.
    std::size_t currentNearCount(Instant now) const;

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
        bool isRegistered = false;
    };

    bool isNear(const Peer &peer) const;
    void replace(Loads &loads, const LoadReport &report, Instant now);
    void add(const std::unordered_map<ServerHash, ServerLoad> &loads);

    ServerDirectory &directory_;
    AvailabilityZone zone_;
    std::map<RouterName, Peer> peers_;
    std::map<AvailabilityZone, Loads> zones_; //!< Sums of other zones.
};

} // namespace crocusport

#endif // CROCUSPORT_LOADEXCHANGE_H
