#ifndef CROCUSPORT_STORECLIENT_H
#define CROCUSPORT_STORECLIENT_H

#include "crocusport/coordination/keyvaluestore.h"
#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusport {

class EventLoop;
class HttpClient;

/*!
    The platform's key-value service over the etcd v3 JSON gateway; a KeyValueStore.

    Each call ends within the timeout. An address that refuses connections is passed over for the
    next one within the same call, since it has received nothing; a read is also repeated once after
    a lost connection. Errors:
    - ConnectFailed: no address took a connection; nothing took effect.
    - StoreError: the store has refused the call; nothing took effect.
    - Timeout, ConnectionClosed: there is no usable reply; a write may have taken effect.

    Callbacks run from the loop, never before the call returns, and may destroy the client.
    Destroying the client drops all calls and watches without calling back.

    Thread safety: loop thread only. Loop and HTTP client must outlive the store client.
*/
class StoreClient
{
public:
    struct Options
    {
        std::vector<SocketAddress> addresses; //!< At least one.
        Duration timeout = std::chrono::milliseconds(500);
        //! A watch without a byte for this long is ended, since connections can go silent.
        Duration maxWatchSilence = std::chrono::seconds(60);
    };

    //! Precondition: \a options has an address.
    StoreClient(EventLoop &loop, HttpClient &client, const Options &options);
    ~StoreClient();

    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    //! Reads one entry; none when the key does not exist.
    void get(const std::string &key, StoreCallback<std::optional<StoreEntry>> onEntry);
    void compareAndSwap(const CompareAndSwap &swap, StoreCallback<SwapReply> onReply);
    void grantLease(std::chrono::seconds timeToLive, StoreCallback<LeaseId> onLease);
    //! Fails with NotFound when the lease has expired.
    void keepAlive(LeaseId lease, StoreCallback<LeaseId> onLease);

    /*!
        Calls \a onEntry for each change of \a key with \a revision or a later one (0: from now on),
        with no entry when the key was deleted. Ends with exactly one error, after which the owner
        may read the entry and watch again.
    */
    void watch(const std::string &key, StoreRevision revision,
               StoreCallback<std::optional<StoreEntry>> onEntry);
    //! Ends the watches of \a key without calling back.
    void cancelWatch(const std::string &key);

    //! Calls and watches started since the beginning; each counts against the store's rate.
    std::size_t startedCalls() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

static_assert(KeyValueStore<StoreClient &>);

} // namespace crocusport

#endif // CROCUSPORT_STORECLIENT_H
