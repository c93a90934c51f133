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
#include <utility>
#include <vector>

namespace crocusport {

//! A router's response to a query for the store: the changes since a position, or all items. All
//! positions in it are of one era.
struct StoreChanges
{
    StorePosition relevant;  //!< Position of the last change other than a heartbeat.
    StorePosition position;  //!< Position up to which the sender has read.
    Milliseconds age {};     //!< Time since the sender's copy was confirmed to be newest.
    bool isSnapshot = false; //!< Contains all items; missing items were deleted.
    std::vector<StoreChange> changes;
};

//! Encodes changes as CBOR. Era 0 is not encoded, so that earlier versions can read the result.
//! Safe from any thread.
std::string encodeStoreChanges(const StoreChanges &changes);
//! Decodes changes. Fails with MalformedMessage. Safe from any thread.
Result<StoreChanges> decodeStoreChanges(std::string_view bytes);

//! Where a copy was last confirmed, and how long it had not been confirmed before.
struct CopyConfirmation
{
    bool isFromRouter = false; //!< Read from another router's copy.
    Duration gap {};           //!< Time from the confirmation before; zero for the first one.
};

//! How the copy of a new era has replaced that of an earlier one.
struct CopyReplacement
{
    StorePosition before;    //!< Of the copy that was replaced.
    StorePosition after;     //!< Of the new copy.
    std::size_t changed = 0; //!< Items that are new or have another value.
    std::size_t lost = 0;    //!< Items that are missing.
    std::size_t kept = 0; //!< Items of which the new era has an earlier value, which is not used.
    Duration time {};     //!< From learning of the era until the copy was replaced.
};

/*!
    A router's copy of the store's items, with a proof of its maximum age: the copy contains all
    relevant changes up to position(), and at the time freshAt() the store had no later relevant
    change.

    All items of a copy are of one era. When a later era is known, nothing of an earlier one is
    applied any more. The copy in use is kept until a listing or another router's copy of the later
    era replaces it as a whole.

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
    /*!
        Returns whether \a after is an earlier value of the item \a key than \a before. Asked only
        about a value from before a restoration of the store and one from after it; an earlier one
        is not used.
    */
    using IsEarlier = std::function<bool(const std::string &key, const std::string &before,
                                         const std::string &after)>;
    //! What the copy needs to know of the items.
    struct ItemRules
    {
        SameUse hasSameUse;
        NumberOfWrite numberOf;
        IsEarlier isEarlier = {}; //!< Empty: no value is earlier than another.
    };
    //! Handles a change of this copy other than a heartbeat, or one that was not applied.
    using ChangeHandler = std::function<void(const StoreChange &change)>;
    //! Handles the loss of an item that a later era lacks, and whose last value was \a value.
    using LossHandler = std::function<void(const std::string &key, const std::string &value)>;

    /*!
        \a onOutdated is called for each change that is not applied because the copy has a later
        value. If \a onLost is empty, a loss is handled as a removal.
    */
    StoreMirror(ItemRules rules, ChangeHandler onChange, ChangeHandler onOutdated,
                LossHandler onLost = {})
        : rules_(std::move(rules)), onChange_(std::move(onChange)),
          onOutdated_(std::move(onOutdated)), onLost_(std::move(onLost))
    { }

    /*!
        Records that the store is in \a era, as one of its answers or another router has told at
        \a at. Returns whether it is the latest known era; what is of an earlier one must not be
        applied.
    */
    bool noteEra(StoreEra era, Duration at);
    //! Returns the latest known era.
    StoreEra era() const { return era_; }
    //! Whether the copy is complete and of the latest known era.
    bool isCurrent() const { return isComplete_ && position_.era == era_; }
    //! Returns how the copy was replaced last, once; nothing if it was not since the last call.
    std::optional<CopyReplacement> takeReplacement()
    {
        return std::exchange(replacement_, std::nullopt);
    }

    //! Whether all items have been read once.
    bool isComplete() const { return isComplete_; }
    StorePosition position() const { return position_; }
    StorePosition relevantPosition() const { return relevant_; }
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
    /*!
        Adds a page of a listing that was requested at \a askedAt. Returns false if the page is not
        of the era of the pages before it; the listing must then begin anew.
    */
    bool addListed(const StorePage &page, Duration askedAt);
    /*!
        Completes a listing, whose last page was requested at \a askedAt, and applies its items. The
        pages of a listing are no consistent snapshot, so a watch must follow to read the changes
        since the first page. Precondition: addListed() has returned true for all pages, and for at
        least one.
    */
    void finishListing(Duration askedAt);
    //! Applies the response to a watch that was sent at \a askedAt. Returns false, without a
    //! change, if it is not of the era of this copy.
    bool addWatched(const StorePage &page, Duration askedAt);
    //! Applies another router's response to a query that was sent at \a askedAt.
    void addFromRouter(const StoreChanges &heard, Duration askedAt);
    //! Returns the changes, or all items, for a router that has read up to \a after. Precondition:
    //! isComplete().
    StoreChanges changesAfter(const StorePosition &after, Duration now) const;

private:
    struct Item
    {
        std::string value;
        StorePosition position;
        bool isHeartbeat = false; //!< Other copies have not been told of the value.
        //! The value is from an earlier era; the store has an earlier value.
        bool isAhead = false;
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
    //! Whether \a change has an earlier value than the known \a item, as a later era may show.
    bool isEarlier(const Item &item, const StoreChange &change) const;
    //! Replaces the copy by \a items, which are all that the store had at \a position, and those
    //! that were written later.
    void replaceBy(const std::vector<StoreChange> &items, const StorePosition &position,
                   Duration at);
    void removeMissing(const std::unordered_set<std::string> &present,
                       const StorePosition &position, Duration at);
    //! Empties the change log; it contains the changes after \a position from now on.
    void restartLog(const StorePosition &position);

    ItemRules rules_;
    ChangeHandler onChange_;
    ChangeHandler onOutdated_;
    LossHandler onLost_;
    NewestWrites newest_;
    std::unordered_map<std::string, Item> items_;
    std::deque<StoreChange> log_; //!< Relevant changes after logStart_.
    std::size_t logBytes_ = 0;
    StorePosition logStart_;
    StorePosition position_;
    StorePosition relevant_;
    StoreEra era_;
    Duration eraKnownSince_ {};
    std::optional<CopyReplacement> replacement_;
    std::optional<Duration> freshAt_;
    CopyConfirmation lastConfirmation_;
    StoreOutages outages_;
    bool isComplete_ = false;
    std::vector<StoreChange> listed_;        //!< Items of the listing in progress.
    std::optional<StorePosition> listStart_; //!< Position of its first page.
};

} // namespace crocusport

#endif // CROCUSPORT_STOREMIRROR_H
