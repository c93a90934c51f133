#ifndef CROCUSPORT_NEWESTWRITES_H
#define CROCUSPORT_NEWESTWRITES_H

#include "crocusport/coordination/storeposition.h"
#include "crocusport/gateway/serverentry.h"
#include "crocusport/state/instant.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace crocusport {

/*!
    The newest write that is known of each item whose writer numbers its writes. It outlives the
    item: the store may carry out a write seconds after it was sent, when a later write of the same
    writer has been read already, or when the item has been removed. A store that is restored from
    an older copy shows earlier writes, and items that were removed.

    Times are from the boot clock. Thread safety: none; use from one thread.
*/
class NewestWrites
{
public:
    //! A write is recognised as outdated for this long after the newest one was read. After that,
    //! the writer counts as another one, so that a wrong number cannot keep a server out of use.
    static constexpr Duration kMaxWriteDelay = std::chrono::seconds(30);

    //! Whether a later write of the item \a key was read at most kMaxWriteDelay before \a now, or
    //! the same one, and the item was removed in an era before \a era.
    bool isOutdated(const std::string &key, const WriteNumber &write, StoreEra era,
                    Duration now) const;
    //! Records that the item \a key was removed in \a era.
    void noteRemoved(const std::string &key, StoreEra era);
    //! Records a write that was read at \a now and is not outdated.
    void note(const std::string &key, const WriteNumber &write, Duration now);
    //! Drops the writes that are too old to make another one outdated. Linear in their number, but
    //! at most once in kMaxWriteDelay.
    void expire(Duration now);
    std::size_t size() const { return writes_.size(); }

private:
    struct Newest
    {
        WriteNumber write;
        Duration readAt {};
        std::optional<StoreEra> removedIn; //!< Era in which the item was removed after the write.
    };

    std::unordered_map<std::string, Newest> writes_;
    Duration nextExpiry_ {};
};

} // namespace crocusport

#endif // CROCUSPORT_NEWESTWRITES_H
