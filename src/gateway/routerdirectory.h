#ifndef CROCUSPORT_ROUTERDIRECTORY_H
#define CROCUSPORT_ROUTERDIRECTORY_H

#include "crocusport/coordination/keyvaluestore.h"
#include "crocusport/gateway/serverentry.h"
#include "crocusport/state/instant.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace crocusport {

//! What a router says in a datagram of its copy of the store; it may have been under way for long,
//! and so is a hint whom to ask, never a proof.
struct StoreHint
{
    StoreRevision relevant = 0; //!< Of the last change that was more than a sign of life.
    Milliseconds age {};        //!< Since the router was sure that it knew the newest state.
};

/*!
    The routers of the fleet, as far as this one needs to know them: those of its neighbourhood, and
    a few of each other availability zone.

    The neighbourhood is the whole fleet while that is small, and the zone otherwise. Its routers
    are ranked by name among those that are heard, so that all agree on who reads the store for the
    others without asking; where they do not agree for a moment, two of them read.

    Times are of the boot clock. Thread safety: none; use from one thread.
*/
class RouterDirectory
{
public:
    //! A router reports at least twice a second; one that is silent for this long has probably
    //! ended, and its requests with it.
    static constexpr Duration kSilenceLimit = std::chrono::milliseconds(2500);

    RouterDirectory(RouterName self, AvailabilityZone zone)
        : self_(std::move(self)), zone_(std::move(zone))
    { }

    //! A datagram of the router has arrived.
    void hear(const RouterEntry &router, const std::optional<StoreHint> &hint, Duration now);
    //! Another router has named it.
    void learn(const RouterEntry &router, Duration now);
    //! The router has an entry in the store.
    void addRegistered(const RouterEntry &router, Duration now);
    void removeRegistered(const RouterName &router);
    //! The router has said that it stops.
    void remove(const RouterName &router);
    //! The router has proved, to a question, what it knows of the store.
    void noteAnswer(const RouterName &router, const StoreHint &hint, Duration now);
    //! The router did not answer a question.
    void noteNoAnswer(const RouterName &router, Duration now);
    //! The router speaks for its zone, which has \a size routers.
    void noteZoneSize(const AvailabilityZone &zone, std::size_t size, Duration now);
    //! Forgets routers that are neither registered nor heard.
    void expire(Duration now);

    //! Whether the fleet is small enough that all routers report to all.
    bool isDirect() const;
    //! Routers that get the reports of this one.
    std::vector<RouterEntry> near() const;
    //! Routers to tell \a asker of: those of its neighbourhood that are heard.
    std::vector<RouterEntry> neighboursOf(const RouterEntry &asker, Duration now) const;
    //! Number of near routers that are heard.
    std::size_t heardNear(Duration now) const;
    //! Number of heard near routers whose name is before this one's.
    std::size_t rank(Duration now) const;
    /*!
        Returns the near router to ask for what the store holds: the first by name whose copy is
        believed to be no older than \a maxAge and who has answered lately. Only those before this
        router count, unless \a isAnyRank.
    */
    std::optional<RouterEntry> source(bool isAnyRank, Duration maxAge, Duration now) const;
    //! The latest relevant revision that a near router says it knows.
    StoreRevision latestHint(Duration now) const;
    //! Returns one router of each other zone, by turns among those that can pass on what they get.
    std::vector<RouterEntry> farRouters(std::uint64_t turn) const;
    //! Registered routers of this zone that have not been heard for \a silence.
    std::vector<RouterName> lapsed(Duration silence, Duration now) const;
    //! Routers of the fleet, with this one.
    std::size_t fleetSize() const;

private:
    struct Known
    {
        RouterEntry router;
        std::optional<Duration> heard;
        Duration known {}; //!< Since when, or when it was named last.
        std::optional<StoreRevision> hintRevision;
        Duration hintContact {}; //!< When it was sure, by this host's clock.
        Duration avoidedUntil {};
        bool isRegistered = false;

        bool isHeard(Duration now) const;
    };
    struct ZoneSize
    {
        std::size_t size = 0;
        Duration at {};
    };

    //! Whose routers belong together, decided once for all of them.
    struct Neighbourhood
    {
        const AvailabilityZone &zone;
        bool isWholeFleet = false;

        bool has(const Known &known) const { return isWholeFleet || known.router.zone == zone; }
    };
    using Routers = std::map<RouterName, Known>;

    Neighbourhood neighbourhood(const AvailabilityZone &zone) const;
    std::size_t countHeardNear(Routers::const_iterator end, Duration now) const;

    RouterName self_;
    AvailabilityZone zone_;
    Routers routers_;
    std::map<AvailabilityZone, ZoneSize> zoneSizes_; //!< As the zones say.
};

} // namespace crocusport

#endif // CROCUSPORT_ROUTERDIRECTORY_H
