#ifndef CROCUSPORT_STOREPLAN_H
#define CROCUSPORT_STOREPLAN_H

#include "routerdirectory.h"
#include "storeoutages.h"

#include <cstdint>
#include <optional>

namespace crocusport {

/*!
    Decides when a router queries for the content of the store next, and whether it queries the
    store or another router.

    Load pattern: all routers of a large fleet need the newest state of the store. The router of
    rank 0 in each neighbourhood reads the store, and the others query that router. Each response
    proves the maximum age of the data. If a source is not fresh or does not answer, a router tries
    the next one and finally the store. Routers of higher rank wait longer before they call the
    store, so that they do not all call it at once.

    Times are from the boot clock. Thread safety: none; use from one thread.
*/
class StorePlan
{
public:
    struct Limits
    {
        Duration pollInterval {}; //!< Maximum time between two queries; longer after failures.
        Duration maxCopyAge {};   //!< Maximum age of the copy for placing requests.
        Duration callTimeout {};  //!< Timeout of a call to the store.
        StoreOutages::Limits outages;
    };
    //! The next query, due at the time \a at.
    struct Step
    {
        std::optional<RouterEntry> router; //!< Router to query; nothing: the store.
        Duration at {};
    };

    StorePlan(const Limits &limits, Duration startedAt) : limits_(limits), startedAt_(startedAt) { }

    void setLimits(const Limits &limits) { limits_ = limits; }

    //! Records that a query is sent to the store or to another router.
    void noteQuery(bool isStore, Duration now);
    //! Records that the store has answered a call.
    void noteStoreAnswered();
    //! Records a failed call to the store by this router, which has \a rank.
    void noteStoreFailed(std::size_t rank, Duration now);
    //! Records that another router has answered a query.
    void noteRouterAnswered(Duration now);
    //! Records that the store is in a later era than the copy of this router. The router has no
    //! copy of it, and reads one as after its start, but does not let a requested refresh wait.
    void noteEra(StoreEra era, Duration now);
    //! Requests a query as soon as the back-off allows, since the copy is too old. It is a query of
    //! the store, or of another router if the copy is of an earlier era.
    void requestRefresh() { isRefreshRequested_ = true; }

    //! Whether the last call to the store has failed.
    bool isStoreFailing() const { return isStoreFailing_; }
    //! Whether neither the store nor another router can confirm the copy, so that a copy beyond the
    //! maximum age may be used: the last call to the store failed, the next one is not overdue, and
    //! no other router has a fresh copy.
    bool isCutOff(const RouterDirectory &routers, Duration now) const;
    //! Returns the next query of a router that has read up to \a position. A position of an earlier
    //! era than the latest one counts as no copy.
    Step next(const RouterDirectory &routers, const StorePosition &position, Duration now) const;
    //! Returns the usual time between two queries.
    Duration interval() const;

private:
    Duration maxSourceAge(std::size_t rank) const;

    Limits limits_;
    StoreEra era_;
    Duration startedAt_; //!< Start of the router, or of the era.
    std::optional<Duration> queriedAt_;
    std::optional<Duration> storeQueriedAt_;
    Duration storeNotBefore_ {};
    Duration failurePause_ {};
    bool isStoreFailing_ = false;
    bool isRefreshRequested_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_STOREPLAN_H
