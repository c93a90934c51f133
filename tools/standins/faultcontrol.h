#ifndef CROCUSPORT_FAULTCONTROL_H
#define CROCUSPORT_FAULTCONTROL_H

#include "crocusport/state/error.h"
#include "crocusport/state/instant.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace crocusport {

enum class FaultKind { Slow, CrashOn, Freeze, Silent, LoseReplies, Outage, Clear };

enum class OutageMode { Refuse, Hang };

//! One order to misbehave, from the body of POST /control/fault.
struct FaultOrder
{
    FaultKind kind = FaultKind::Clear;
    double factor = 1;
    std::string marker;
    Milliseconds length {};
    std::uint32_t count = 0;
    OutageMode mode = OutageMode::Refuse;
};

/*!
    The faults that a stand-in currently shows, as far as they are state. Pure.

    Thread safety: none; use from one thread.
*/
class FaultControl
{
public:
    //! Reads an order. Fails with BadJson or BadRequest.
    static Result<FaultOrder> parse(std::string_view json);

    void apply(const FaultOrder &order, Instant now);

    //! By how much every time is multiplied.
    double slowFactor() const { return slowFactor_; }
    //! Whether a request with \a text in its path or body makes the process exit.
    bool isCrashing(std::string_view text) const;
    //! Whether the next write loses its reply; counts it.
    bool takeLostReply();
    bool isFrozen(Instant now) const { return now < frozenUntil_; }
    Instant frozenUntil() const { return frozenUntil_; }
    //! Whether requests are taken and never answered.
    bool isHanging(Instant now) const { return now < hangingUntil_; }

private:
    double slowFactor_ = 1;
    std::string crashMarker_;
    std::uint32_t lostReplies_ = 0;
    Instant frozenUntil_ {};
    Instant hangingUntil_ {};
};

} // namespace crocusport

#endif // CROCUSPORT_FAULTCONTROL_H
