#ifndef CROCUSPORT_OWNREQUESTS_H
#define CROCUSPORT_OWNREQUESTS_H

#include "crocusport/state/slotrequest.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocusport {

//! State of a request of this router.
enum class OwnRequestState {
    Asked,   //!< Sent to the holder, which has not acknowledged it.
    Queued,  //!< Waits in the holder's queue; the holder may be this router.
    Local,   //!< Waits in this router's FallbackPool.
    Running, //!< Has a slot.
};

//! A request of this router that waits for a slot or has one.
struct OwnRequest
{
    SlotRequest request; //!< runningOn is set while it has a slot.
    OwnRequestState state = OwnRequestState::Asked;
    RouterName holder; //!< The router that was asked.
    //! Interval from the holder's next acknowledgement to the next repeat of the waiting request.
    Duration repeatAfter {};
    Duration estimatedWait {};
    std::optional<Instant> dueAt; //!< When its timer is due; nothing if it has none.

    bool isWaiting() const { return state != OwnRequestState::Running; }
};

/*!
    The table of this router's requests, with at most one timer for each.

    Thread safety: none; use from one thread.
*/
class OwnRequests
{
public:
    OwnRequest *find(const RequestId &request);
    OwnRequest &add(const SlotRequest &request);
    void remove(const RequestId &request);
    //! Returns the ids of all requests in ascending order.
    std::vector<RequestId> ids() const;

    //! Sets the time at which takeDue() returns \a own, or removes its timer if \a dueAt is
    //! nothing.
    void setTimer(OwnRequest &own, std::optional<Instant> dueAt);
    //! Returns a request whose timer is due at \a now, with the timer removed.
    OwnRequest *takeDue(Instant now);
    std::optional<Instant> nextTimer() const;

private:
    std::unordered_map<RequestId, OwnRequest> requests_;
    std::set<std::pair<Instant, RequestId>> timers_;
};

} // namespace crocusport

#endif // CROCUSPORT_OWNREQUESTS_H
