#ifndef CROCUSPORT_STOREMIRROR_H
#define CROCUSPORT_STOREMIRROR_H

#include "newestwrites.h"
#include "storeoutages.h"

#include "crocusport/gateway/wiremessages.h"
#include "crocusport/state/error.h"
#include "crocusport/state/instant.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace crocusport {

//! A router's response to a query for the store: the changes since a revision, or all items.
struct StoreChanges
{
    StoreRevision relevant = 0; //!< Revision of the last change other than a heartbeat.
    StoreRevision revision = 0; //!< Revision up to which the sender has read.
    Milliseconds age {};        //!< Time since the sender's copy was confirmed to be newest.
    bool isSnapshot = false;    //!< Contains all items; missing items were deleted.
    std::vector<StoreChange> changes;
};

//! Encodes changes as CBOR. Safe from any thread.
std::string encodeStoreChanges(const StoreChanges &changes);
//! Decodes changes. Fails with MalformedMessage. Safe from any thread.
Result<StoreChanges> decodeStoreChanges(std::string_view bytes);

//! Where a copy was last confirmed, and how long it had not been confirmed before.
struct CopyConfirmation
{
    bool isFromRouter = false; //!< Read from another router's copy.
    Duration gap {};           //!< Time from the confirmation before; zero for the first one.
};

/*!
    A router's copy of the store's items, with a proof of its maximum age: the copy contains all
    relevant changes up to revision(), and at the time freshAt() the store had no later relevant
    change.

    The copy is read from the store or from another router's copy. Both provide the proof; on the
    way through other routers, the age can only be overestimated. Times are from the boot clock,
    which includes suspended time.

    Thread safety: none; use from one thread.
*/
class StoreMirror
{
public:
    /*!
        Returns whether two values of the item \a key are of the same use to every router, so that
        a change from \a before to \a after is a heartbeat. It decides what other routers are told,
        so it must be an equivalence relation and must not depend on the state of this router.
    */
    using SameUse = std::function<bool(const std::string &key, const std::string &before,
                                       const std::string &after)>;
    /*!
        Returns the number that the writer of the item \a key has given to the write of \a value, or
        nothing if it numbers none. A value is never replaced by one of a lower number, which the
        store has carried out late.
    */
    using NumberOfWrite =
        std::function<std::optional<WriteNumber>(const std::string &key, const std::string &value)>;
    //! What the copy needs to know of the items.
    struct ItemRules
    {
        SameUse hasSameUse;
        NumberOfWrite numberOf;
    };
    //! Handles a change of this copy other than a heartbeat, or one that was not applied.
    using ChangeHandler = std::function<void(const StoreChange &change)>;

    //! \a onOutdated is called for each change that is not applied because of its number.
    StoreMirror(ItemRules rules, ChangeHandler onChange, ChangeHandler onOutdated)
        : rules_(std::move(rules)), onChange_(std::move(onChange)),
          onOutdated_(std::move(onOutdated))
    { }

    //! Whether all items have been read once.
    bool isComplete() const { return isComplete_; }
    StoreRevision revision() const { return revision_; }
    StoreRevision relevantRevision() const { return relevant_; }
    //! Returns the last time at which the copy was confirmed to lack no relevant change.
    std::optional<Duration> freshAt() const { return freshAt_; }
    const CopyConfirmation &lastConfirmation() const { return lastConfirmation_; }
    //! Returns the value of an item, or nothing if the copy does not contain it.
    std::optional<std::string> value(const std::string &key) const;

    //! Returns what the confirmations of this copy and the failed calls tell about the store.
    const StoreOutages &outages() const { return outages_; }
    StoreOutages &outages() { return outages_; }
    //! Starts a listing and drops the state of an unfinished one.
    void beginListing();
    //! Applies a page of a listing that was requested at \a askedAt.
    void addListed(const StorePage &page, Duration askedAt);
    /*!
        Completes a listing, whose last page was requested at \a askedAt. The pages of a listing are
        no consistent snapshot, so a watch must follow to read the changes since the first page.
    */
    void finishListing(Duration askedAt);
    //! Applies the response to a watch that was sent at \a askedAt.
    void addWatched(const StorePage &page, Duration askedAt);
    //! Applies another router's response to a query that was sent at \a askedAt.
    void addFromRouter(const StoreChanges &heard, Duration askedAt);
    //! Returns the changes, or all items, for a router that has read up to \a after. Precondition:
    //! isComplete().
    StoreChanges changesAfter(StoreRevision after, Duration now) const;

private:
    struct Item
    {
        std::string value;
        StoreRevision revision = 0;
        bool isHeartbeat = false; //!< Other copies have not been told of the value.
    };

    //! Records that the store is known to have answered a call that was sent at \a at.
    void noteConfirmation(Duration at, bool isFromRouter);
    //! Applies a change that was read at \a at and may be older than the copy. Returns whether
    //! other copies may need it: all changes but heartbeats and outdated writes.
    bool apply(const StoreChange &change, Duration at);
    //! Adds a change to the log.
    void note(const StoreChange &change);
    //! Applies a change of a watch and adds to the log what other copies may need.
    void applyWatched(const StoreChange &change, Duration at);
    void removeMissing(const std::unordered_set<std::string> &present, StoreRevision revision,
                       Duration at);
    //! Empties the change log; it contains the changes after \a revision from now on.
    void restartLog(StoreRevision revision);

    ItemRules rules_;
    ChangeHandler onChange_;
    ChangeHandler onOutdated_;
    NewestWrites newest_;
    std::unordered_map<std::string, Item> items_;
    std::deque<StoreChange> log_; //!< Relevant changes after logStart_.
    std::size_t logBytes_ = 0;
    StoreRevision logStart_ = 0;
    StoreRevision revision_ = 0;
    StoreRevision relevant_ = 0;
    std::optional<Duration> freshAt_;
    CopyConfirmation lastConfirmation_;
    StoreOutages outages_;
    bool isComplete_ = false;
    std::unordered_set<std::string> listed_;
    std::optional<StoreRevision> listRevision_; //!< Revision of the first page of the listing.
};

} // namespace crocusport

#endif // CROCUSPORT_STOREMIRROR_H
