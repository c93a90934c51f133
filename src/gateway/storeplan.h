#ifndef CROCUSPORT_STOREPLAN_H
#define CROCUSPORT_STOREPLAN_H

#include "routerdirectory.h"

#include <cstdint>
#include <optional>

namespace crocusport {

/*!
    Decides whom a router asks next for what the store holds, and when.

    Answers the load pattern of a large fleet, whose routers all want the newest state: the first
    router of each neighbourhood reads the store, the others ask it. Each is proved how old its
    knowledge can be. A router whose source knows nothing fresh, or does not answer, goes on to the
    next one and at last to the store, the later the higher its rank, so that they do not all come
    at once.

    Times are of the boot clock. Thread safety: none; use from one thread.
*/
class StorePlan
{
public:
    struct Limits
    {
        Duration pollInterval {};   //!< Longest time between two questions.
        Duration knowledgeLimit {}; //!< Requests are not placed on older knowledge.
        Duration callTimeout {};    //!< Of a call to the store.
    };
    //! The next question. It is due at once when \a at has passed.
    struct Step
    {
        std::optional<RouterEntry> router; //!< None: the store is asked.
        Duration at {};
    };

    StorePlan(const Limits &limits, Duration startedAt) : limits_(limits), startedAt_(startedAt) { }

    void setLimits(const Limits &limits) { limits_ = limits; }

    //! A question is sent, to another router or to the store.
    void noteAsked(bool isStore, Duration now);
    //! The store has answered a call.
    void noteStoreAnswered();
    //! The store did not answer, or refused; the router has \a rank.
    void noteStoreFailed(std::size_t rank, Duration now);
    //! Another router has answered a question.
    void noteRouterAnswered(Duration now);
    //! Knowledge is too old to place requests, so the store is asked as soon as possible.
    void want() { isWanted_ = true; }

    //! Whether the last call to the store has failed.
    bool isStoreFailing() const { return isStoreFailing_; }
    //! Whether the store is out of this router's reach: it has just been tried.
    bool isStoreOut(Duration now) const;
    //! Returns the next question of a router that has read up to \a revision, 0 for nothing.
    Step next(const RouterDirectory &routers, StoreRevision revision, Duration now) const;
    //! Usual time between two questions.
    Duration interval() const;

private:
    Duration maxSourceAge(std::size_t rank) const;

    Limits limits_;
    Duration startedAt_;
    std::optional<Duration> askedAt_;
    std::optional<Duration> storeAskedAt_;
    Duration storeNotBefore_ {};
    Duration failurePause_ {};
    bool isStoreFailing_ = false;
    bool isWanted_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_STOREPLAN_H
