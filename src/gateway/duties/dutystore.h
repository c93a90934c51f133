#ifndef CROCUSPORT_DUTYSTORE_H
#define CROCUSPORT_DUTYSTORE_H

#include "formattable.h"
#include "pendingcalls.h"

#include "crocusport/coordination/keyvaluestore.h"

#include <functional>
#include <string>

namespace crocusport {

/*!
    The operations of the platform's store that the duties of one router need; satisfies LeaseStore.
    Revisions in its results are numbers of positions (see orderedNumber()), so they rise over all
    eras. A condition on a revision of an earlier era is not sent, and a reply is not believed if
    the store has entered another era since the call was sent: both fail with StoreUnavailable.

    Calls are not retried: a call without a response fails with Timeout and may have taken effect.
    A lease runs from the arrival of the call that grants or renews it, so it may be assumed to run
    from the time when the call was made. Load: at most four renewals per lease from one router of
    the fleet, three calls for each claim, and two calls for each usage window.

    Thread safety: loop thread only. Client and formats must outlive the object. Callbacks are
    dropped when the object is destroyed.
*/
class DutyStore
{
public:
    //! After this time without progress, a call has failed.
    static constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);

    //! The latest era of the store that this router knows of.
    struct Eras
    {
        std::function<StoreEra()> latest;
        std::function<void(StoreEra era)> note; //!< Called with the era of each answer.
    };

    DutyStore(HttpClient &client, const FormatTable &formats, SocketAddress address, Eras eras);

    //! Reads the entry of \a key; the result is empty if the key does not exist.
    void get(const std::string &key, StoreCallback<std::optional<StoreEntry>> onEntry);
    //! Fails with StoreUnavailable if the lease does not exist. Precondition: \a swap has no
    //! expected value, which the platform's store does not compare.
    void compareAndSwap(const CompareAndSwap &swap, StoreCallback<SwapReply> onReply);
    void grantLease(Milliseconds timeToLive, StoreCallback<LeaseId> onLease);
    //! Returns 0 if the lease has ended.
    void keepAlive(LeaseId lease, StoreCallback<LeaseId> onLease);
    //! Ends the lease and removes its keys. Failures are ignored; the lease then ends by itself.
    void endLease(LeaseId lease);
    //! Writes \a value without a condition. Failures are ignored.
    void put(const std::string &key, const std::string &value);
    //! Removes \a key, whether it exists or not. Failures are ignored.
    void remove(const std::string &key);

    //! Number of calls since the start.
    std::uint64_t calls() const { return calls_.startedCount(); }

private:
    template<typename Reply, typename Decode>
    void call(HttpCallRequest request, Decode decode, StoreCallback<Reply> callback);

    const FormatTable &formats_;
    SocketAddress address_;
    Eras eras_;
    PendingCalls calls_;
};

static_assert(LeaseStore<DutyStore>);

} // namespace crocusport

#endif // CROCUSPORT_DUTYSTORE_H
