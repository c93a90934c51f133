#ifndef CROCUSPORT_CLAIMREGISTRY_H
#define CROCUSPORT_CLAIMREGISTRY_H

#include "crocusport/coordination/claim.h"
#include "crocusport/coordination/keyvaluestore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace crocusport {

/*!
    Claims for requests that must run at most once (docs/design.md section 4.2).

    An attempt may send its request only if beginSending() returned true for it, which happens at
    most once. An attempt that was granted, but has not sent its request, ends by writing NotRun to
    the store. So does an attempt that is given up after its first claiming write, unless another
    attempt has changed the key. For an attempt that has sent its request, the state given to
    finish() is written.

    Writing NotRun changes the revision of the key. A claiming write of the same attempt that takes
    effect later expects the old revision and fails, so a claim cannot appear after its attempt was
    given up.

    Precondition: the store outlives the registry. Thread safety: loop thread only.
*/
template<KeyValueStore Store>
class ClaimRegistry
{
public:
    using Callback = std::function<void(ClaimAnswer)>;

    ClaimRegistry(Store &store, RouterName router, Incarnation incarnation, ClaimCodec codec,
                  const ClaimPolicy &policy = {})
        : d_(std::make_shared<Private>(store, std::move(router), incarnation, std::move(codec),
                                       policy))
    { }

    //! Tries to claim \a request. Calls \a onAnswer exactly once, during this call or later.
    void claim(const ClaimRequest &request, Instant now, const Callback &onAnswer)
    {
        d_->claim(request, now, onAnswer);
    }

    /*!
        Returns true if the attempt may send its request now; later calls for the same attempt
        return false. If the first call returns false, the attempt has not sent its request and
        never will, because the attempt was given up or its deadline has passed.
    */
    bool beginSending(const std::string &attempt, Instant now)
    {
        return d_->beginSending(attempt, now);
    }

    /*!
        Records the final state of a granted attempt. Repeats the write until it is stored.

        Precondition: \a state is not Claimed. It is NotRun only if no byte was sent or the backend
        server reported that it did not run the request.
    */
    void finish(const std::string &attempt, ClaimState state,
                const std::optional<std::string> &response, Instant now)
    {
        d_->finish(attempt, state, response, now);
    }

    //! Gives up claims that have timed out and repeats failed calls to the store. Must be called at
    //! least every 50 ms while pendingCount() is not 0.
    void tick(Instant now) { d_->tick(now); }

    //! Returns the number of attempts that wait for the store, are granted, are being sent, or
    //! whose final state is not stored yet.
    std::size_t pendingCount() const { return d_->attempts.size(); }

private:
    enum class Phase {
        Claiming,  //!< The claim is being written to the store.
        Granted,   //!< The claim is stored; the request has not been sent.
        Sending,   //!< beginSending() has returned true.
        Finalizing //!< The final state is being written to the store.
    };

    struct Attempt
    {
        ClaimRequest request;
        ClaimRecord record;
        Callback onAnswer;
        Phase phase = Phase::Claiming;
        Instant timeoutAt;
        //! Entry that the last claiming write expected; nothing: no such key. Once granted, the
        //! stored claim.
        std::optional<StoreEntry> expected;
        bool hasWritten = false;
        //! The entry in the store is not known; it is read before the next write.
        bool mustRead = false;
        bool isCalling = false;
        Instant calledAt;             //!< When the last call to the store was made or was due.
        std::uint64_t callNumber = 0; //!< Of the last call; replies to earlier calls are ignored.
    };

    struct Private : std::enable_shared_from_this<Private>
    {
        Private(Store &keyValueStore, RouterName name, Incarnation own, ClaimCodec claimCodec,
                const ClaimPolicy &claimPolicy)
            : store(&keyValueStore), router(std::move(name)), incarnation(own),
              codec(std::move(claimCodec)), policy(claimPolicy)
        { }

        void claim(const ClaimRequest &request, Instant now, const Callback &onAnswer)
        {
            lastNow = now;
            const auto id = router.value() + "/" + std::to_string(incarnation.value()) + "/"
                + std::to_string(++attemptNumber);
            Attempt &attempt = attempts[id];
            attempt.record = { ClaimState::Claimed, router,      incarnation, request.request, id,
                               request.bodyHash,    std::nullopt };
            attempt.request = request;
            attempt.onAnswer = onAnswer;
            attempt.timeoutAt = now + policy.storeTimeout;
            attempt.calledAt = now;
            if (ensureLease())
                writeClaim(id);
        }

        bool beginSending(const std::string &id, Instant now)
        {
            lastNow = now;
            Attempt *const attempt = find(id);
            if (!attempt || attempt->phase != Phase::Granted)
                return false;
            if (now >= attempt->request.deadline) {
                finalize(id, ClaimState::NotRun);
                return false;
            }
            attempt->phase = Phase::Sending;
            return true;
        }

        void finish(const std::string &id, ClaimState state,
                    const std::optional<std::string> &response, Instant now)
        {
            lastNow = now;
            Attempt *const attempt = find(id);
            if (!attempt || attempt->phase == Phase::Claiming
                || attempt->phase == Phase::Finalizing)
                return;
            // A granted attempt that has not sent its request ends with NotRun.
            const bool isSent = attempt->phase == Phase::Sending;
            attempt->record.response = response;
            finalize(id, isSent ? state : ClaimState::NotRun);
        }

        void tick(Instant now)
        {
            lastNow = now;
            std::vector<std::string> ids;
            for (const auto &[id, attempt] : attempts) {
                if (attempt.phase == Phase::Claiming)
                    ids.push_back(id);
            }
            for (const auto &id : ids)
                tickClaiming(id, now);
            for (const auto &id : std::vector(finalizing.begin(), finalizing.end())) {
                Attempt *const attempt = find(id);
                if (attempt && attempt->isCalling && now - attempt->calledAt >= policy.callTimeout)
                    retryFinalizing(*attempt);
            }
            finalizeNext();
        }

        void tickClaiming(const std::string &id, Instant now)
        {
            Attempt *const attempt = find(id);
            if (!attempt || attempt->phase != Phase::Claiming)
                return;
            if (now >= attempt->timeoutAt) {
                giveUp(id);
                return;
            }
            if (attempt->isCalling || now - attempt->calledAt < policy.retryInterval)
                return;
            attempt->calledAt = now;
            if (attempt->mustRead)
                read(id);
            else if (ensureLease())
                writeClaim(id);
        }

        // Lease: shared by the claims that are written within ClaimPolicy::leaseReuseTime (1 h).

        bool ensureLease()
        {
            if (leaseRequestedAt) {
                const auto age = lastNow - *leaseRequestedAt;
                if (lease && age < policy.leaseReuseTime)
                    return true;
                if (!lease && age < (isLeaseRequested ? policy.storeTimeout : policy.retryInterval))
                    return false;
            }
            lease.reset();
            isLeaseRequested = true;
            leaseRequestedAt = lastNow;
            const auto weak = this->weak_from_this();
            store->grantLease(policy.leaseTimeToLive,
                              [weak, requestedAt = lastNow](AsyncResult<LeaseId> result) {
                                  const auto self = weak.lock();
                                  if (self && self->leaseRequestedAt == requestedAt)
                                      self->handleLeaseReply(result);
                              });
            return lease.has_value();
        }

        void handleLeaseReply(const AsyncResult<LeaseId> &result)
        {
            isLeaseRequested = false;
            if (const auto *const granted = std::get_if<LeaseId>(&result))
                lease = *granted;
            if (!lease)
                return;
            std::vector<std::string> waiting;
            for (const auto &[id, attempt] : attempts) {
                if (attempt.phase == Phase::Claiming && !attempt.hasWritten && !attempt.isCalling)
                    waiting.push_back(id);
            }
            for (const auto &id : waiting)
                writeClaim(id);
            finalizeNext();
        }

        void discardLeaseOnRejection(const Error &error)
        {
            // The store may have rejected the call because of the lease, for example after losing
            // it. A new lease is then requested.
            if (error.code != ResultCode::Timeout && error.code != ResultCode::ConnectionClosed)
                lease.reset();
        }

        // Calls to the store. A reply is ignored if the attempt has made another call since or no
        // longer waits for the reply.

        template<typename Reply, typename Handler>
        StoreCallback<Reply> onReply(const std::string &id, Handler handler)
        {
            Attempt &attempt = attempts.at(id);
            attempt.isCalling = true;
            attempt.calledAt = lastNow;
            const auto number = ++attempt.callNumber;
            return [weak = this->weak_from_this(), id, number, handler](AsyncResult<Reply> result) {
                const auto self = weak.lock();
                Attempt *const current = self ? self->find(id) : nullptr;
                if (!current || current->callNumber != number || !current->isCalling)
                    return;
                current->isCalling = false;
                if (const auto *const error = std::get_if<Error>(&result))
                    self->discardLeaseOnRejection(*error);
                handler(*self, id, std::move(result));
            };
        }

        void read(const std::string &id)
        {
            auto callback = onReply<std::optional<StoreEntry>>(
                id, [](Private &self, const std::string &read, auto result) {
                    if (const auto *const entry = std::get_if<0>(&result))
                        self.handleEntry(read, *entry);
                    else
                        self.handleCallFailure(read);
                });
            store->get(attempts.at(id).request.key, std::move(callback));
        }

        void swap(const std::string &id)
        {
            Attempt &attempt = attempts.at(id);
            auto callback =
                onReply<SwapReply>(id, [](Private &self, const std::string &written, auto result) {
                    if (const auto *const reply = std::get_if<SwapReply>(&result))
                        self.handleSwapReply(written, *reply);
                    else
                        self.handleCallFailure(written);
                });
            CompareAndSwap write { attempt.request.key, codec.encode(attempt.record), 0, lease };
            if (attempt.expected) {
                write.expectedRevision = attempt.expected->modRevision;
                write.expectedValue = attempt.expected->value;
            }
            store->compareAndSwap(write, std::move(callback));
        }

        //! Does nothing if a call of the attempt is pending or the attempt is not Claiming.
        void writeClaim(const std::string &id)
        {
            Attempt *const attempt = find(id);
            if (!attempt || attempt->phase != Phase::Claiming || attempt->isCalling)
                return;
            attempt->hasWritten = true;
            swap(id);
        }

        void handleCallFailure(const std::string &id)
        {
            Attempt &attempt = attempts.at(id);
            attempt.mustRead = true;
            if (attempt.phase == Phase::Finalizing)
                retryFinalizing(attempt);
        }

        void handleSwapReply(const std::string &id, const SwapReply &reply)
        {
            if (!reply.isSwapped) {
                handleEntry(id, reply.current);
                return;
            }
            Attempt &attempt = attempts.at(id);
            if (attempt.phase == Phase::Finalizing) {
                endFinalizing(id);
                return;
            }
            grant(id, { attempt.request.key, codec.encode(attempt.record), reply.revision });
        }

        //! Processes the entry that the store has under the attempt's key.
        void handleEntry(const std::string &id, const std::optional<StoreEntry> &entry)
        {
            Attempt &attempt = attempts.at(id);
            attempt.mustRead = false;
            if (attempt.phase == Phase::Finalizing)
                continueFinalizing(id, entry);
            else
                evaluate(id, entry);
        }

        // Claiming: writes the claim to the store.

        void evaluate(const std::string &id, const std::optional<StoreEntry> &entry)
        {
            Attempt &attempt = attempts.at(id);
            if (!entry) {
                writeAgain(id, std::nullopt);
                return;
            }
            const auto record = codec.decode(entry->value);
            if (record && record->attempt == id) {
                grant(id, *entry);
                return;
            }
            if (isFree(attempt, record)) {
                writeAgain(id, entry);
                return;
            }
            // A malformed record may belong to a request that has run: reported as a duplicate.
            ClaimAnswer reply { ClaimResult::Duplicate, {}, {} };
            if (record && record->bodyHash != attempt.record.bodyHash)
                reply.result = ClaimResult::OtherBody;
            else if (record && record->state == ClaimState::Completed)
                reply = { ClaimResult::Completed, {}, record->response };
            answer(id, std::move(reply));
        }

        //! Whether \a attempt may replace \a record: its request was not run.
        static bool isFree(const Attempt &attempt, const std::optional<ClaimRecord> &record)
        {
            return record && record->state == ClaimState::NotRun
                && record->bodyHash == attempt.record.bodyHash;
        }

        void writeAgain(const std::string &id, const std::optional<StoreEntry> &entry)
        {
            attempts.at(id).expected = entry;
            if (ensureLease())
                writeClaim(id);
        }

        void grant(const std::string &id, const StoreEntry &claim)
        {
            Attempt &attempt = attempts.at(id);
            attempt.phase = Phase::Granted;
            attempt.expected = claim;
            const auto onAnswer = std::exchange(attempt.onAnswer, {});
            onAnswer({ ClaimResult::Granted, id, {} });
        }

        //! Answers the caller and removes an attempt that has no record in the store.
        void answer(const std::string &id, ClaimAnswer reply)
        {
            const auto onAnswer = std::move(attempts.at(id).onAnswer);
            attempts.erase(id);
            onAnswer(std::move(reply));
        }

        void giveUp(const std::string &id)
        {
            Attempt &attempt = attempts.at(id);
            if (!attempt.hasWritten) {
                answer(id, {});
                return;
            }
            const auto onAnswer = std::exchange(attempt.onAnswer, {});
            attempt.mustRead = true;
            finalize(id, ClaimState::NotRun);
            onAnswer({});
        }

        // Finalizing: writes the final states of attempts to the store.

        void finalize(const std::string &id, ClaimState state)
        {
            Attempt &attempt = attempts.at(id);
            attempt.phase = Phase::Finalizing;
            attempt.record.state = state;
            attempt.isCalling = false;
            finalizing.push_back(id);
            finalizeNext();
        }

        void finalizeNext()
        {
            if (finalizing.empty() || lastNow < finalizePausedUntil || !ensureLease())
                return;
            std::vector<std::string> due;
            std::size_t calling = 0;
            for (const auto &id : finalizing) {
                if (calling + due.size() >= policy.maxFinalizing)
                    break;
                if (attempts.at(id).isCalling)
                    ++calling;
                else
                    due.push_back(id);
            }
            for (const auto &id : due) {
                Attempt *const attempt = find(id);
                if (!attempt || attempt->isCalling)
                    continue;
                if (attempt->mustRead)
                    read(id);
                else
                    swap(id);
            }
        }

        void retryFinalizing(Attempt &attempt)
        {
            attempt.isCalling = false;
            attempt.mustRead = true;
            finalizePausedUntil = lastNow + policy.finalizeRetryInterval;
        }

        void continueFinalizing(const std::string &id, const std::optional<StoreEntry> &entry)
        {
            Attempt &attempt = attempts.at(id);
            const auto record = entry ? codec.decode(entry->value) : std::nullopt;
            const bool isOwn = record && record->attempt == id;
            if (isOwn && record->state == attempt.record.state) {
                endFinalizing(id);
                return;
            }
            // If the entry has changed, a delayed claiming write of this attempt can no longer
            // succeed, and nothing has to be written for a request that was not run. If it is
            // unchanged, the delayed write could still succeed, so the final state is written. The
            // state of a request that was sent is written in any case, since the store may have
            // lost the claim.
            const bool isUnsent = attempt.record.state == ClaimState::NotRun;
            const bool isHeldByOther = entry && !isOwn && !isFree(attempt, record);
            if (isHeldByOther || (!isOwn && isUnsent && entry != attempt.expected)) {
                endFinalizing(id);
                return;
            }
            attempt.expected = entry;
            if (ensureLease() && find(id) && !attempts.at(id).isCalling)
                swap(id);
        }

        void endFinalizing(const std::string &id)
        {
            std::erase(finalizing, id);
            attempts.erase(id);
            finalizeNext();
        }

        Attempt *find(const std::string &id)
        {
            const auto found = attempts.find(id);
            return found == attempts.end() ? nullptr : &found->second;
        }

        Store *store;
        RouterName router;
        Incarnation incarnation;
        ClaimCodec codec;
        ClaimPolicy policy;
        std::map<std::string, Attempt> attempts;
        std::deque<std::string> finalizing; //!< Attempts whose final state is not stored yet.
        std::uint64_t attemptNumber = 0;
        std::optional<LeaseId> lease;
        bool isLeaseRequested = false;
        std::optional<Instant> leaseRequestedAt;
        //! finalizeNext() makes no call before this time. Set when a call for a final state fails.
        Instant finalizePausedUntil;
        Instant lastNow;
    };

    std::shared_ptr<Private> d_;
};

} // namespace crocusport

#endif // CROCUSPORT_CLAIMREGISTRY_H
