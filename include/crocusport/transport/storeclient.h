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
    Client of the platform's key-value service, which speaks the etcd v3 JSON gateway protocol; a
    KeyValueStore.

    Each call ends within the timeout. When connecting to an address fails, the same call is sent to
    the next address, since the first one has received nothing. get() and keepAlive() are also sent
    a second time when the connection is closed before the response. Errors:
    - ConnectFailed: no address accepted a connection; nothing took effect.
    - StoreError: the store has rejected the call; nothing took effect.
    - Timeout, ConnectionClosed: no usable reply was received; a write may have taken effect.

    Callbacks run from the loop, never before the call returns, and may destroy the client.
    Destroying the client drops all calls and watches without calling back.

    Thread safety: loop thread only. The loop and the HTTP client must outlive this client.
*/
class StoreClient
{
public:
    struct Options
    {
        std::vector<SocketAddress> addresses; //!< At least one.
        Duration timeout = std::chrono::milliseconds(500);
        //! A watch ends when it receives no byte for this long, since a connection can stop
        //! delivering data without being closed.
        Duration watchIdleTimeout = std::chrono::seconds(60);
    };

    //! Precondition: \a options has an address.
    StoreClient(EventLoop &loop, HttpClient &client, const Options &options);
    ~StoreClient();

    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    //! Reads the entry of \a key; the result is empty when the key does not exist.
    void get(const std::string &key, StoreCallback<std::optional<StoreEntry>> onEntry);
    void compareAndSwap(const CompareAndSwap &swap, StoreCallback<SwapReply> onReply);
    void grantLease(Milliseconds timeToLive, StoreCallback<LeaseId> onLease);
    //! Fails with NotFound when the lease has expired.
    void keepAlive(LeaseId lease, StoreCallback<LeaseId> onLease);

    /*!
        Calls \a onEntry for each change of \a key that has \a revision or a later one (0: changes
        from now on), with an empty entry when the key was deleted. A watch ends with exactly one
        error, after which its owner may read the entry and start another watch.
    */
    void watch(const std::string &key, StoreRevision revision,
               StoreCallback<std::optional<StoreEntry>> onEntry);
    //! Ends the watches of \a key without calling back.
    void cancelWatch(const std::string &key);

    //! Number of calls and watches started since the client was created; each counts against the
    //! rate limit of the store. Retries within a call are not included.
    std::size_t startedCalls() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

static_assert(KeyValueStore<StoreClient &>);

} // namespace crocusport

#endif // CROCUSPORT_STORECLIENT_H
