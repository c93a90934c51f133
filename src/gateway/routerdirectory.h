#ifndef CROCUSPORT_ROUTERDIRECTORY_H
#define CROCUSPORT_ROUTERDIRECTORY_H

#include "crocusport/coordination/storeposition.h"
#include "crocusport/gateway/serverentry.h"
#include "crocusport/state/instant.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace crocusport {

//! How fresh a router's copy of the store is, according to one of its datagrams. A datagram may
//! have been delayed, so a hint helps to choose a router to query, but proves nothing.
struct StoreHint
{
    //! Position of the last change other than a heartbeat. Revision 0: the router knows of the era,
    //! but has no copy of it.
    StorePosition relevant;
    Milliseconds age {}; //!< Time since the copy was confirmed to be the newest state.
};

/*!
    The routers of the fleet that this router needs to know: the routers of its neighbourhood, and a
    few routers of each other availability zone.

    In a small fleet, the neighbourhood is the whole fleet; otherwise it is the availability zone. A
    router's rank is its position by name among the living routers of the neighbourhood, which are
    those that sent a message within kSilenceLimit. So all routers agree, without a vote, which of
    them reads the store for the others. If their views differ for a moment, two routers read it.

    Times are from the boot clock. Thread safety: none; use from one thread.
*/
class RouterDirectory
{
public:
    //! A router reports at least twice a second. A router that is silent for this long has probably
    //! stopped, and its requests no longer load the servers.
    static constexpr Duration kSilenceLimit = std::chrono::milliseconds(2500);

    RouterDirectory(RouterName self, AvailabilityZone zone)
        : self_(std::move(self)), zone_(std::move(zone))
    { }

    //! Records that a datagram of the router has arrived. \a hint is nothing if the datagram
    //! contained no hint.
    void noteMessage(const RouterEntry &router, const std::optional<StoreHint> &hint, Duration now);
    //! Records that another router or the store has named the router.
    void noteMention(const RouterEntry &router, Duration now);
    //! Records that the router has an entry in the store.
    void addRegistered(const RouterEntry &router, Duration now);
    void removeRegistered(const RouterName &router);
    //! Records that the router has announced its shutdown.
    void noteShutdown(const RouterName &router);
    //! Records that the router has answered a query; \a hint describes its copy of the store.
    void noteAnswer(const RouterName &router, const StoreHint &hint, Duration now);
    //! Records that the router has not answered a query.
    void noteNoAnswer(const RouterName &router, Duration now);
    //! Records that a router of \a zone has reported that the zone has \a size routers.
    void noteZoneSize(const AvailabilityZone &zone, std::size_t size, Duration now);
    //! Drops routers that are neither registered nor mentioned, and outdated zone sizes.
    void expire(Duration now);

    //! Whether the fleet is so small that every router reports to every other router.
    bool isFullMesh() const;
    //! Returns the other routers of the neighbourhood, which receive this router's reports.
    std::vector<RouterEntry> neighbours() const;
    //! Returns the routers in the neighbourhood of \a requester that are alive.
    std::vector<RouterEntry> neighboursOf(const RouterEntry &requester, Duration now) const;
    //! Returns the number of other routers of the neighbourhood that are alive.
    std::size_t livingNeighbourCount(Duration now) const;
    //! Returns this router's rank: the number of living neighbours whose names sort before this
    //! router's name.
    std::size_t rank(Duration now) const;
    //! Returns the number of other zones whose names sort before this router's zone; 0 if the
    //! neighbourhood is the whole fleet.
    std::size_t zoneRank() const;
    /*!
        Returns the neighbour to query for the content of the store, or nothing: the first one by
        name whose copy, by its hint, is of \a era or a later one, and is no older than \a maxAge,
        and which has not failed to answer recently. Only neighbours of a lower rank are considered,
        unless \a isAnyRank.
    */
    std::optional<RouterEntry> source(StoreEra era, bool isAnyRank, Duration maxAge,
                                      Duration now) const;
    //! Returns the latest relevant position in the hints of living neighbours, or the first of all.
    StorePosition latestHint(Duration now) const;
    //! Returns the latest time at which the copy of a living neighbour was fresh, by the hints;
    //! nothing if there is no hint.
    std::optional<Duration> latestHintFreshAt(Duration now) const;
    //! Returns one router of each other zone, to forward reports there; \a turn rotates between up
    //! to kFarRoutersPerZone routers of each zone.
    std::vector<RouterEntry> farRouters(std::uint64_t turn) const;
    //! Returns the registered routers of this zone that have neither sent a message nor been
    //! mentioned for longer than \a silence.
    std::vector<RouterName> silentRegisteredRouters(Duration silence, Duration now) const;
    //! Returns the number of routers in the fleet, including this one.
    std::size_t fleetSize() const;

private:
    struct Known
    {
        RouterEntry router;
        //! Time of the last message; nothing before the first one or after a shutdown.
        std::optional<Duration> lastMessageAt;
        Duration lastMentionAt {}; //!< Time of the last message of or about the router.
        std::optional<StorePosition> hintPosition;
        //! Time at which the router's copy of the store was fresh, by this host's clock.
        Duration hintFreshAt {};
        Duration avoidedUntil {}; //!< No queries before this time.
        bool isRegistered = false;

        bool isAlive(Duration now) const;
    };
    struct ZoneSize
    {
        std::size_t size = 0;
        Duration at {};
    };

    //! Which routers belong to a zone's neighbourhood; computed once for a loop over all routers.
    struct Neighbourhood
    {
        const AvailabilityZone &zone;
        bool isWholeFleet = false;

        bool has(const Known &known) const { return isWholeFleet || known.router.zone == zone; }
    };
    using Routers = std::map<RouterName, Known>;

    Neighbourhood neighbourhood(const AvailabilityZone &zone) const;
    std::size_t countLivingNeighbours(Routers::const_iterator end, Duration now) const;

    RouterName self_;
    AvailabilityZone zone_;
    Routers routers_;
    std::map<AvailabilityZone, ZoneSize> zoneSizes_; //!< As reported by the zones.
};

} // namespace crocusport

#endif // CROCUSPORT_ROUTERDIRECTORY_H
