#ifndef CROCUSPORT_REQUESTADMISSION_H
#define CROCUSPORT_REQUESTADMISSION_H

#include "admissionplan.h"
#include "waitinglist.h"

#include "logline.h"

#include <cstddef>
#include <optional>

namespace crocusport {

/*!
    The admission of one request: whether it may be sent, how long it may wait in the router, and
    when its caller should come back after a refusal. Without begin(), nothing is held, and a
    request waits for half of its latency objective.

    Thread safety: none; use from one thread.
*/
class RequestAdmission
{
public:
    explicit RequestAdmission(AdmissionPlan &plan) : plan_(plan) { }

    //! Applies the plan to the request. Precondition: called once, at the arrival.
    void begin(AdmissionFacts facts, Instant now);
    //! Whether the request must not be sent to any server now.
    bool isHeld(Instant now);
    //! Whether the request may be sent to \a server, of which it is expected to prefill
    //! \a unreadTokens.
    bool accepts(const KnownServer &server, std::uint32_t unreadTokens, Instant now);
    //! Records that the request was sent to a server. Later attempts are not held, since the server
    //! may have run it.
    void noteSent(Instant now);

    /*!
        Returns until when the request, which cannot be sent now, may wait in the router, or nothing
        if waiting cannot help. \a arrival and \a target are those of the request.
    */
    std::optional<Instant> latestWait(Instant arrival, Duration target, Instant now);
    //! Returns by which the request shares capacity with other teams; no team without a plan.
    TeamShare share() const;
    //! Returns the time by which waiting requests of the same urgency are ordered.
    Instant latestStart(Instant arrival, Duration target) const;
    /*!
        Returns the Retry-After for a request that is refused without having run. \a pause is the
        time for which all servers have asked for no requests.
    */
    Duration retryAfter(Duration pause, std::size_t routerCount, Instant now);
    //! Adds the last reason for which the request was held to \a line.
    void describe(LogLine &line) const;

private:
    AdmissionPlan &plan_;
    std::optional<AdmissionFacts> facts_;
    HoldReason reason_ = HoldReason::None;     //!< Why the request is held now.
    HoldReason lastReason_ = HoldReason::None; //!< Why the request was held last.
    bool isSent_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_REQUESTADMISSION_H
