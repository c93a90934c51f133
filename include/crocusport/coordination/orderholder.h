#ifndef CROCUSPORT_ORDERHOLDER_H
#define CROCUSPORT_ORDERHOLDER_H

#include "crocusport/coordination/keyvaluestore.h"
#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace crocusport {

//! Timing of an OrderHolder.
struct OrderHolderPolicy
{
    Duration timeToLive = std::chrono::seconds(10); //!< At least 1 ms.
    Duration callTimeout = std::chrono::seconds(1);
    Duration retryInterval = std::chrono::milliseconds(500);
};

/*!
    Acquires and renews an exclusive right, such as the right to send orders to the backend servers
    of one pool. The right is a key in the store with a lease; the revision at which the key was
    acquired is the fencing token (docs/design.md section 3).

    Some backend servers do not check the token. To protect them from outdated orders, token()
    returns the token only while more than half of the lease is left. The rest of the lease is
    measured with this router's clock, from the time at which the last successful grant or renewal
    was sent. An order that is delayed by less than half a lease thus arrives before the lease
    expires, and so before another router becomes the holder. That does not hold if this router
    gives the right up earlier. Orders must therefore be idempotent and state the desired state.

    All times must be of one clock. A clock that includes suspended time also ends the right of a
    router whose host was suspended.

    Precondition: the store outlives the holder. Thread safety: loop thread only.
*/
template<LeaseStore Store>
class OrderHolder
{
public:
    OrderHolder(Store &store, const PoolName &pool, const RouterName &self, Incarnation incarnation,
                const OrderHolderPolicy &policy = {})
        : OrderHolder(store, "/crocusport/orders/" + pool.value(), self.value(), incarnation,
                      policy)
    { }
    //! Uses the key \a key. While the right is held, its value begins with \a owner and a slash.
    OrderHolder(Store &store, std::string key, const std::string &owner, Incarnation incarnation,
                const OrderHolderPolicy &policy)
        : d_(std::make_shared<Private>(store, std::move(key), owner, incarnation, policy))
    { }

    //! Acquires or renews the right if \a isWanted, else gives it up. Must be called every 500 ms,
    //! and at least eight times per time to live.
    void tick(bool isWanted, Instant now) { d_->tick(isWanted, now); }

    /*!
        Drops the right, the lease and all that is known of the key, without a call: the store was
        restored from an older copy, so none of it holds any more. Replies to calls in progress are
        ignored.
    */
    void forget() { d_->forget(); }

    //! Returns the token for an order that is sent at \a now; nothing if no order may be sent.
    std::optional<FencingToken> token(Instant now) const
    {
        if (!d_->token || now - d_->confirmedAt >= d_->policy.timeToLive / 2)
            return std::nullopt;
        return FencingToken(static_cast<std::uint64_t>(*d_->token));
    }

    //! Whether the key was acquired and its lease has not ended as far as is known. token() returns
    //! nothing in the last half of the lease.
    bool isHeld() const { return d_->token.has_value(); }
    //! Returns the value without the number of the attempt that this process writes.
    const std::string &identity() const { return d_->name; }

private:
    struct Private : std::enable_shared_from_this<Private>
    {
        Private(Store &keyValueStore, std::string storeKey, const std::string &owner,
                Incarnation incarnation, const OrderHolderPolicy &holderPolicy)
            : store(&keyValueStore), key(std::move(storeKey)),
              name(owner + "/" + std::to_string(incarnation.value())), policy(holderPolicy)
        { }

        void tick(bool isWanted, Instant now)
        {
            lastNow = now;
            if (lease && now - confirmedAt >= policy.timeToLive)
                resetLease();
            if (isCalling && now - calledAt < policy.callTimeout)
                return;
            if (isCalling) {
                isCalling = false;
                freeRevision.reset();
            }
            if (!isWanted) {
                giveUp();
            } else if (token) {
                if (now - confirmedAt >= policy.timeToLive / 4 && now >= retryAt)
                    renew();
            } else if (now >= retryAt) {
                acquire();
            }
        }

        //! Returns the callback of a call to the store that is made now. It passes the reply to
        //! \a handler, unless this call has timed out or another call has been made since.
        template<typename Reply, typename Handler>
        StoreCallback<Reply> onReply(Handler handler)
        {
            isCalling = true;
            calledAt = lastNow;
            return [weak = this->weak_from_this(), number = ++callNumber, sentAt = lastNow,
                    handler](const AsyncResult<Reply> &result) {
                const auto self = weak.lock();
                if (!self || self->callNumber != number || !self->isCalling)
                    return;
                self->isCalling = false;
                const auto *const reply = std::get_if<Reply>(&result);
                if (reply)
                    handler(*self, *reply, sentAt);
                else
                    self->fail();
            };
        }

        void fail()
        {
            freeRevision.reset();
            retryAt = lastNow + policy.retryInterval;
        }

        //! Clears the lease and the token. The next attempt writes another value, so that a key
        //! with the old value is not mistaken for a key that the next attempt has written.
        void resetLease()
        {
            token.reset();
            lease.reset();
            freeRevision.reset();
            ++attempt;
        }

        void forget()
        {
            ++callNumber;
            isCalling = false;
            resetLease();
        }

        std::string value() const { return name + "/" + std::to_string(attempt); }

        void acquire()
        {
            if (!freeRevision)
                store->get(key,
                           onReply<std::optional<StoreEntry>>(
                               [](Private &self, const auto &entry, Instant /*sentAt*/) {
                                   self.handleEntry(entry);
                               }));
            else if (!lease)
                store->grantLease(
                    std::chrono::duration_cast<Milliseconds>(policy.timeToLive),
                    onReply<LeaseId>([](Private &self, LeaseId granted, Instant sentAt) {
                        self.lease = granted;
                        self.confirmedAt = sentAt;
                        self.acquire();
                    }));
            else
                store->compareAndSwap({ key, value(), *freeRevision, lease },
                                      onReply<SwapReply>([](Private &self, const SwapReply &reply,
                                                            Instant /*sentAt*/) {
                                          if (reply.isSwapped)
                                              self.token = reply.revision;
                                          else
                                              self.fail();
                                      }));
        }

        void handleEntry(const std::optional<StoreEntry> &entry)
        {
            if (entry && entry->value == value() && lease) {
                // This attempt's write took effect, but the reply was lost.
                token = entry->modRevision;
            } else if (!entry || entry->value.empty()) {
                freeRevision = entry ? entry->modRevision : 0;
                acquire();
            } else {
                retryAt = lastNow + policy.timeToLive / 2;
            }
        }

        void renew()
        {
            store->keepAlive(*lease,
                             onReply<LeaseId>([](Private &self, LeaseId renewed, Instant sentAt) {
                                 if (renewed != self.lease)
                                     self.resetLease();
                                 else
                                     self.confirmedAt = sentAt;
                             }));
        }

        //! Empties the key, so that another router can acquire it at once, even while orders of
        //! this router are being delivered. If that fails, the key is free when the lease expires.
        void giveUp()
        {
            if (token)
                store->compareAndSwap(
                    { key, std::string(), *token, lease },
                    onReply<SwapReply>([](Private & /*self*/, const SwapReply & /*reply*/,
                                          Instant /*sentAt*/) {}));
            resetLease();
        }

        Store *store;
        std::string key;
        std::string name;
        OrderHolderPolicy policy;
        std::uint64_t attempt = 0;
        std::optional<LeaseId> lease;
        //! When the last successful grant or renewal of the lease was sent. The lease lasts at
        //! least policy.timeToLive from then.
        Instant confirmedAt;
        //! Revision of the key when it was last read as free; nothing if that is not known.
        std::optional<StoreRevision> freeRevision;
        std::optional<StoreRevision> token;
        bool isCalling = false;
        Instant calledAt;
        std::uint64_t callNumber = 0;
        Instant retryAt;
        Instant lastNow;
    };

    std::shared_ptr<Private> d_;
};

} // namespace crocusport

#endif // CROCUSPORT_ORDERHOLDER_H
