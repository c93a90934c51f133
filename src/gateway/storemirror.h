#ifndef CROCUSPORT_STOREMIRROR_H
#define CROCUSPORT_STOREMIRROR_H

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

//! What one router tells another of the store: what has changed since a revision, or all items.
struct StoreChanges
{
    StoreRevision relevant = 0; //!< Of the last change that was more than a sign of life.
    StoreRevision revision = 0; //!< Up to which the sender has read.
    Milliseconds age {};        //!< Since the sender was sure that it knew the newest state.
    bool isSnapshot = false;    //!< All items; what is missing was deleted.
    std::vector<StoreChange> changes;
};

//! Encodes as CBOR. Safe from any thread.
std::string encodeStoreChanges(const StoreChanges &changes);
//! Fails with MalformedMessage. Safe from any thread.
Result<StoreChanges> decodeStoreChanges(std::string_view bytes);

/*!
    A router's copy of the store's items, with the proof of how old it can be: all that was relevant
    up to revision() is known, and at contact() nothing relevant had come after it.

    The copy is read from the store itself or from another router's copy; both give the same proof,
    whose age only grows on the way. Times are of the boot clock, which counts suspended time.

    Thread safety: none; use from one thread.
*/
class StoreMirror
{
public:
    //! Takes a change in; returns whether it is more than a sign of life.
    using ChangeHandler = std::function<bool(const StoreChange &change)>;

    explicit StoreMirror(ChangeHandler onChange) : onChange_(std::move(onChange)) { }

    //! Knowledge is used up to this age while the store answers.
    void setKnowledgeLimit(Duration limit) { knowledgeLimit_ = limit; }

    //! Whether all items have been read once.
    bool isComplete() const { return isComplete_; }
    StoreRevision revision() const { return revision_; }
    StoreRevision relevantRevision() const { return relevant_; }
    //! When nothing relevant was missing, for the last time.
    std::optional<Duration> contact() const { return contact_; }
    //! Returns the value of an item, if it is known.
    std::optional<std::string> value(const std::string &key) const;

    /*!
        Until when entries that were found missing may still come back; none when the store was not
        away lately. Entries lapse while their writers cannot reach the store, and return soon after
        it does. Whether it was away shows in this copy's own contact: what others went through
        tells nothing of the store. After a gap in which knowledge was still used, a removal is held
        no longer than the limit on its age allows.
    */
    std::optional<Duration> returnsUntil() const { return returnsUntil_; }

    //! Forgets the pages of a listing that has not been finished.
    void beginListing();
    //! Takes a page of a listing in.
    void addListed(const StorePage &page);
    //! The listing is complete; its last page was asked for at \a askedAt. Pages are no snapshot,
    //! so the changes since the first one are yet to be read.
    void finishListing(Duration askedAt);
    //! Takes the answer to a watch that was sent at \a askedAt.
    void addWatched(const StorePage &page, Duration askedAt);
    //! Takes another router's answer to a question that was sent at \a askedAt.
    void addHeard(const StoreChanges &heard, Duration askedAt);
    //! Returns what another router lacks that has read up to \a after. Precondition: isComplete().
    StoreChanges changesAfter(StoreRevision after, Duration now) const;

private:
    struct Item
    {
        std::string value;
        StoreRevision revision = 0;
    };

    //! Nothing relevant was missing at \a at, or will be once a page has been taken in.
    void noteContact(Duration at);
    bool apply(const StoreChange &change);
    void note(const StoreChange &change);
    void removeMissing(const std::unordered_set<std::string> &present, StoreRevision revision);
    //! What came up to \a revision cannot be told one by one any more.
    void restartLog(StoreRevision revision);

    ChangeHandler onChange_;
    std::unordered_map<std::string, Item> items_;
    std::deque<StoreChange> log_; //!< Relevant changes after logStart_.
    std::size_t logBytes_ = 0;
    StoreRevision logStart_ = 0;
    StoreRevision revision_ = 0;
    StoreRevision relevant_ = 0;
    std::optional<Duration> contact_;
    std::optional<Duration> returnsUntil_;
    Duration knowledgeLimit_ = std::chrono::milliseconds(1600);
    bool isComplete_ = false;
    std::unordered_set<std::string> listed_;
    std::optional<StoreRevision> listRevision_; //!< Of the first page.
};

} // namespace crocusport

#endif // CROCUSPORT_STOREMIRROR_H
