#ifndef CROCUSPORT_DUTYHOLDER_H
#define CROCUSPORT_DUTYHOLDER_H

#include "dutycandidacy.h"

#include "crocusport/coordination/orderholder.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace crocusport {

/*!
    Makes this router the holder of the fleet's duties when it is its turn: combines the decision of
    DutyCandidacy with the lease of OrderHolder. One key is the right to all duties, so a fleet of
    any size costs one lease and one renewal each quarter of the lease.

    All times are from the boot clock. Precondition: the store outlives the holder. Thread safety:
    loop thread only.
*/
template<LeaseStore Store>
class DutyHolder
{
public:
    //! \a owner must not contain a slash. \a incarnation must be unique among the processes that
    //! use this owner.
    DutyHolder(Store &store, const std::string &key, const std::string &owner,
               Incarnation incarnation, Duration lease, Instant startedAt)
        : holder_(store, key, owner, incarnation, policy(lease)),
          candidacy_(holder_.identity(), lease, startedAt)
    { }

    //! Claims, renews or releases the duties. Must be called at least every 100 ms.
    void tick(const DutyView &view, Instant now)
    {
        noteChange(now);
        holder_.tick(candidacy_.wants(view, holder_.isHeld(), now), now);
        noteChange(now);
    }

    //! Releases the duties at once. This router claims them again after a lease at the earliest.
    void release(Instant now)
    {
        candidacy_.noteLost(now);
        holder_.tick(false, now);
        noteChange(now);
    }

    /*!
        Ends the duties because the store was restored from an older copy, which may lack the lease.
        No router claims them for a lease: an earlier holder that has not heard of the restoration
        stops after half of its lease, by its own clock, and its last calls arrive within the other
        half.
    */
    void endEra(Instant now)
    {
        candidacy_.noteLost(now);
        holder_.forget();
        noteChange(now);
    }

    //! Returns the fencing token for a call that is sent at \a now; nothing if none may be sent.
    std::optional<FencingToken> token(Instant now) const
    {
        // A call to the store that is in progress delays the release.
        return candidacy_.isResting(now) ? std::nullopt : holder_.token(now);
    }
    //! Whether this router holds the duties; see OrderHolder::isHeld().
    bool isHeld() const { return holder_.isHeld(); }
    //! Returns when this router became the holder. Precondition: isHeld().
    Instant heldSince() const { return heldSince_; }

    //! Returns the owner in a value of the key; an empty string if there is none.
    static std::string ownerOf(const std::string &value)
    {
        return value.substr(0, std::min(value.find('/'), value.size()));
    }

private:
    static OrderHolderPolicy policy(Duration lease)
    {
        // A slow store may take a third of the lease for a response; two renewals in a row may be
        // lost without losing the lease.
        return { lease, lease / 3, lease / 12 };
    }

    void noteChange(Instant now)
    {
        if (std::exchange(wasHeld_, holder_.isHeld()) == holder_.isHeld())
            return;
        if (wasHeld_)
            heldSince_ = now;
        else
            candidacy_.noteLost(now);
    }

    OrderHolder<Store> holder_;
    DutyCandidacy candidacy_;
    bool wasHeld_ = false;
    Instant heldSince_;
};

} // namespace crocusport

#endif // CROCUSPORT_DUTYHOLDER_H
