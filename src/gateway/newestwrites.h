#ifndef CROCUSPORT_NEWESTWRITES_H
#define CROCUSPORT_NEWESTWRITES_H

#include "crocusport/gateway/serverentry.h"
#include "crocusport/state/instant.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace crocusport {

/*!
    The newest write that is known of each item whose writer numbers its writes. It outlives the
    item: the store may carry out a write seconds after it was sent, when a later write of the same
    writer has been read already, or when the item has been removed.

    Times are from the boot clock. Thread safety: none; use from one thread.
*/
class NewestWrites
{
public:
    //! A write is recognised as outdated for this long after the newest one was read. After that,
    //! the writer counts as another one, so that a wrong number cannot keep a server out of use.
    static constexpr Duration kMaxWriteDelay = std::chrono::seconds(30);

    //! Whether a later write of the item \a key was read at most kMaxWriteDelay before \a now.
    bool isOutdated(const std::string &key, const WriteNumber &write, Duration now) const;
    //! Records a write that was read at \a now. Does nothing if it is outdated.
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
    };

    std::unordered_map<std::string, Newest> writes_;
    Duration nextExpiry_ {};
};

} // namespace crocusport

#endif // CROCUSPORT_NEWESTWRITES_H
