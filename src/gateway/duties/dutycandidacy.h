#ifndef CROCUSPORT_DUTYCANDIDACY_H
#define CROCUSPORT_DUTYCANDIDACY_H

#include "crocusport/state/instant.h"

#include <cstddef>
#include <optional>
#include <string>
#include <utility>

namespace crocusport {

//! What a router knows when it decides whether to claim the duties.
struct DutyView
{
    //! Whether the copy of the store is complete; without it, nothing is known about the holder.
    bool isCopyComplete = false;
    //! Value of the holder's key in the copy of the store; nothing or empty: no holder.
    std::optional<std::string> keyValue;
    std::size_t rank = 0;     //!< Among the living routers of the zone.
    std::size_t zoneRank = 0; //!< Of the zone.
    bool isStopping = false;
};

/*!
    Decides whether this router wants to perform the duties of the fleet. All routers see the
    holder's key in their copies of the store. When it disappears, the first router of the first
    zone claims it at once and the others after delays that grow with their ranks. So there are a
    few store calls at a change of holder, and not three from each of 78 to 330 routers at once.

    A router that has just started, or has lost or given up the duties, waits for a whole lease. So
    holders never act in the order A, B, A within a lease, even if A is a new process on the same
    host.

    Times are from the boot clock. Thread safety: none; use from one thread.
*/
class DutyCandidacy
{
public:
    //! \a identity: the start of the values that this process writes to the holder's key.
    DutyCandidacy(std::string identity, Duration lease, Instant startedAt)
        : identity_(std::move(identity)), lease_(lease), restsUntil_(startedAt + lease)
    { }

    //! Returns whether this router claims or keeps the duties. \a isHeld: it holds them now.
    bool wants(const DutyView &view, bool isHeld, Instant now);
    //! Records that this router has lost or given up the duties.
    void noteLost(Instant now) { restsUntil_ = now + lease_; }

    //! Whether this router must not perform the duties, since it has just started, or has lost or
    //! given them up.
    bool isResting(Instant now) const { return now < restsUntil_; }

    //! Returns for how long the key must have been absent before a router of these ranks claims it.
    static Duration delay(std::size_t rank, std::size_t zoneRank);

private:
    bool isOwn(const std::string &value) const;

    std::string identity_;
    Duration lease_;
    Instant restsUntil_;
    std::optional<Instant> absentSince_;
};

} // namespace crocusport

#endif // CROCUSPORT_DUTYCANDIDACY_H
