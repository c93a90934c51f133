#ifndef CROCUSPORT_OWNREQUESTS_H
#define CROCUSPORT_OWNREQUESTS_H

#include "crocusport/state/slotrequest.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocusport {

//! Where a request of this router stands.
enum class OwnRequestState {
    Asked,   //!< Sent to the holder, not acknowledged.
    Queued,  //!< Waits at the holder, which may be this router.
    Local,   //!< Waits in the local fallback.
    Running, //!< Has a slot.
};

//! A request of this router that waits for a slot or has one.
struct OwnRequest
{
    SlotRequest request; //!< runningOn is set while it has a slot.
    OwnRequestState state = OwnRequestState::Asked;
    RouterName holder;       //!< The router that was asked.
    Duration repeatAfter {}; //!< Until the request is repeated to the holder.
    Duration estimatedWait {};
    std::optional<Instant> dueAt; //!< Entry in the timers.

    bool isWaiting() const { return state != OwnRequestState::Running; }
};

/*!
    The table of this router's requests, with one timer for each.

    Thread safety: none; use from one thread.
*/
class OwnRequests
{
public:
    OwnRequest *find(const RequestId &request);
    OwnRequest &add(const SlotRequest &request);
    void remove(const RequestId &request);
    std::vector<RequestId> ids() const;

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
