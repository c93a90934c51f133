#ifndef CROCUSPORT_KEYVALUESTORE_H
#define CROCUSPORT_KEYVALUESTORE_H

#include "crocusport/state/error.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace crocusport {

/*!
    The outcome of an asynchronous call. LEAF results keep their error objects on the stack of the
    caller, so a callback that runs later receives the Error by value instead.
*/
template<typename T>
using AsyncResult = std::variant<T, Error>;

using StoreRevision = std::int64_t;
using LeaseId = std::int64_t;

//! One entry of the store.
struct StoreEntry
{
    std::string key;
    std::string value;
    StoreRevision modRevision = 0; //!< Revision of the last change of this key.
};

//! A write that takes effect only if the key's revision is \a expectedRevision (0: no such key).
struct CompareAndSwap
{
    std::string key;
    std::string value;
    StoreRevision expectedRevision = 0;
    std::optional<LeaseId> lease;
};

//! Outcome of a compare-and-swap that the store has answered.
struct SwapReply
{
    bool isSwapped = false;
    StoreRevision revision = 0;        //!< The store's revision after the call.
    std::optional<StoreEntry> current; //!< The entry as it stands, when not swapped.
};

template<typename T>
using StoreCallback = std::function<void(AsyncResult<T>)>;

/*!
    The platform's key-value service, as the coordination layer sees it. Each call counts against
    the service's rate. A call that fails with Timeout or ConnectionClosed may have taken effect.

    Thread safety: loop thread only.
*/
template<typename Store>
concept KeyValueStore = requires(Store store, std::string key, CompareAndSwap swap, LeaseId lease,
                                 std::chrono::seconds timeToLive, StoreRevision revision,
                                 StoreCallback<std::optional<StoreEntry>> onEntry,
                                 StoreCallback<SwapReply> onSwap, StoreCallback<LeaseId> onLease)
{
    store.get(key, onEntry);
    store.compareAndSwap(swap, onSwap);
    store.grantLease(timeToLive, onLease);
    store.keepAlive(lease, onLease);
    store.watch(key, revision, onEntry);
};

} // namespace crocusport

#endif // CROCUSPORT_KEYVALUESTORE_H
