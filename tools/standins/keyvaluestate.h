#ifndef CROCUSPORT_KEYVALUESTATE_H
#define CROCUSPORT_KEYVALUESTATE_H

#include "crocusport/state/instant.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace crocusport {

//! A value with the revisions that etcd keeps for it.
struct StoredValue
{
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0; //!< Number of changes since the key was created.
    std::int64_t lease = 0;

    bool operator==(const StoredValue &) const = default;
};

//! A change of one key. With isDelete only the key and the revision count.
struct StoreEvent
{
    std::string key;
    StoredValue value;
    bool isDelete = false;
};

/*!
    The state of a simulated etcd: keys with revisions, leases and the history of changes. Pure.

    Thread safety: none; use from one thread. \a now never decreases from call to call.
*/
class KeyValueState
{
public:
    using Entry = std::pair<std::string, StoredValue>;

    std::int64_t revision() const { return revision_; }

    //! Ends one change: all that was written since the last call has one revision.
    void commit();

    //! An empty \a rangeEnd means the key alone, one NUL byte all keys from \a key on.
    std::vector<Entry> range(const std::string &key, const std::string &rangeEnd) const;
    std::optional<StoredValue> get(const std::string &key) const;
    //! Returns false if \a lease is not 0 and does not exist.
    bool put(const std::string &key, const std::string &value, std::int64_t lease);
    //! Returns the number of deleted keys.
    std::size_t deleteRange(const std::string &key, const std::string &rangeEnd);

    //! Takes \a id, or a free one for 0. Returns 0 if \a id exists already.
    std::int64_t grantLease(std::int64_t id, std::chrono::seconds timeToLive, Instant now);
    //! Returns the time to live, or 0 s if there is no such lease.
    std::chrono::seconds keepAlive(std::int64_t id, Instant now);
    bool hasLease(std::int64_t id) const { return leases_.count(id) != 0; }
    bool revokeLease(std::int64_t id);
    //! Revokes the leases that have ended.
    void expireLeases(Instant now);

    //! The changes of keys in the range with a revision of at least \a from.
    std::vector<StoreEvent> eventsFrom(std::int64_t from, const std::string &key,
                                       const std::string &rangeEnd) const;

    static bool isInRange(const std::string &candidate, const std::string &key,
                          const std::string &rangeEnd);

private:
    struct Lease
    {
        std::chrono::seconds timeToLive {};
        Instant end;
    };

    void record(StoreEvent event);

    // etcd starts at revision 1, so that the first change has revision 2.
    std::int64_t revision_ = 1;
    bool isChanged_ = false;
    std::int64_t nextLease_ = 0;
    std::map<std::string, StoredValue> values_;
    std::map<std::int64_t, Lease> leases_;
    std::deque<StoreEvent> history_;
};

} // namespace crocusport

#endif // CROCUSPORT_KEYVALUESTATE_H
