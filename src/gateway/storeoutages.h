#ifndef CROCUSPORT_STOREOUTAGES_H
#define CROCUSPORT_STOREOUTAGES_H

#include "crocusport/state/instant.h"

#include <optional>

namespace crocusport {

/*!
    Detects outages of the store in which entries of backend servers can have expired.

    During an outage, entries expire because their servers cannot renew them; the servers write them
    again soon after it. A router that has not read the store for a while does not know whether the
    store was out: its source may have stopped, or it may have been slow itself. So an outage is a
    time between two answers of the store, to this router or another, in which a call of this router
    failed and which is long enough for an entry to expire.

    A router that is stopped or slow itself notices the end of an outage late. So the end counts as
    no later than a fixed time after the last failed call was sent. Since calls succeed while the
    store is up, this bounds the time from the end of the outage until recoversUntil(); see "Leaving
    servers" in docs/platform.md.

    Times are from the boot clock. Thread safety: none; use from one thread.
*/
class StoreOutages
{
public:
    struct Limits
    {
        Duration minLength {}; //!< Least length of an outage in which an entry can expire.
        //! Longest time from the last failed call until the end of an outage is noticed.
        Duration maxUnnoticed {};
    };

    void setLimits(const Limits &limits) { limits_ = limits; }

    //! Time after an outage within which expired entries are written again.
    static constexpr Duration kRecoveryTime = std::chrono::milliseconds(2000);

    //! Records that the store has answered a call that was sent at \a at, by any router. Times
    //! before the last such time are ignored.
    void noteAnswered(Duration at);
    /*!
        Records that the store is known since \a at to have been restored from an older copy. That
        ends an outage of any length: entries that were written since the copy was made are missing.
    */
    void noteRestored(Duration at);
    //! Records that a call of this router that was sent at \a at has failed.
    void noteFailed(Duration at);

    //! Returns until when entries that expired in the last outage may be written again; nothing
    //! before the first outage, and a time in the past long after one.
    std::optional<Duration> recoversUntil() const { return recoversUntil_; }
    //! Whether an entry that is missing since an outage may still be written again: before
    //! recoversUntil(), and later if the store is out again.
    bool mayEntriesReturn(Duration now) const;

private:
    bool hasFailedSinceAnswer() const { return failedAt_ > answeredAt_; }
    //! Returns the end of an outage that is noticed at \a at.
    Duration endOfOutage(Duration at) const;

    Limits limits_;
    std::optional<Duration> answeredAt_;
    std::optional<Duration> failedAt_;
    std::optional<Duration> recoversUntil_;
};

} // namespace crocusport

#endif // CROCUSPORT_STOREOUTAGES_H
