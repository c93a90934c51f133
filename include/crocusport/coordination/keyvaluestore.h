#ifndef CROCUSPORT_KEYVALUESTORE_H
#define CROCUSPORT_KEYVALUESTORE_H

#include "crocusport/state/error.h"
#include "crocusport/state/instant.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace crocusport {

/*!
    The result of an asynchronous call. Result<T> of Boost.LEAF keeps its error object on the stack
    of the caller, so a callback that runs later receives the Error by value instead.
*/
template<typename T>
using AsyncResult = std::variant<T, Error>;

using StoreRevision = std::int64_t;
using LeaseId = std::int64_t;

//! A key of the store with its value.
struct StoreEntry
{
    std::string key;
    std::string value;
    StoreRevision modRevision = 0; //!< Revision of the last change of this key.

    bool operator==(const StoreEntry &) const = default;
};

//! A write that takes effect only if the key's revision is \a expectedRevision (0: no such key).
struct CompareAndSwap
{
    std::string key;
    std::string value;
    StoreRevision expectedRevision = 0;
    std::optional<LeaseId> lease;
    //! If set, the key must have this value, too: a store that is restored from a backup gives
    //! revisions out again. Supported by a KeyValueStore, not by every LeaseStore.
    std::optional<std::string> expectedValue = std::nullopt;
};

//! The store's reply to a compare-and-swap.
struct SwapReply
{
    bool isSwapped = false;
    StoreRevision revision = 0; //!< The store's revision after the call.
    //! If not swapped: the entry that the store has; nothing if the key does not exist.
    std::optional<StoreEntry> current;
};

template<typename T>
using StoreCallback = std::function<void(AsyncResult<T>)>;

/*!
    The operations of the platform's key-value service that an exclusive right with a lease needs.
    Each call counts towards the service's rate limit. A call that fails with Timeout or
    ConnectionClosed may have taken effect. keepAlive() fails or returns another lease, such as 0,
    if the lease has ended. A service that counts whole seconds rounds the time to live up.

    Thread safety: loop thread only.
*/
template<typename Store>
concept LeaseStore = requires(Store store, std::string key, CompareAndSwap swap, LeaseId lease,
                              Milliseconds timeToLive,
                              StoreCallback<std::optional<StoreEntry>> onEntry,
                              StoreCallback<SwapReply> onSwap, StoreCallback<LeaseId> onLease)
{
    store.get(key, onEntry);
    store.compareAndSwap(swap, onSwap);
    store.grantLease(timeToLive, onLease);
    store.keepAlive(lease, onLease);
};

//! All operations of the platform's key-value service that the coordination layer uses.
template<typename Store>
concept KeyValueStore =
    LeaseStore<Store> && requires(Store store, std::string key, StoreRevision revision,
                                  StoreCallback<std::optional<StoreEntry>> onEntry)
{
    store.watch(key, revision, onEntry);
};

} // namespace crocusport

#endif // CROCUSPORT_KEYVALUESTORE_H
