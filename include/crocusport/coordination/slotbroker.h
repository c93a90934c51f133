#ifndef CROCUSPORT_SLOTBROKER_H
#define CROCUSPORT_SLOTBROKER_H

#include "crocusport/coordination/peermessage.h"
#include "crocusport/coordination/queuepolicy.h"
#include "crocusport/state/configuration.h"
#include "crocusport/state/poolscheduler.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace crocusport {

//! Messages that the owner of a SlotBroker is to send, and decisions that it is to carry out.
struct SlotBrokerOutput
{
    std::vector<OutgoingMessage> messages;
    std::vector<SlotGrant> grants;     //!< Only for this router's own requests.
    std::vector<SlotRefusal> refusals; //!< Only for this router's own requests.
};

//! Time that a pool's holder has to acknowledge a request (docs/design.md section 4.1).
inline constexpr Duration kDefaultAcknowledgeTimeout = std::chrono::milliseconds(20);

/*!
    Obtains slots for this router's own requests. For the pools of which this router is the holder,
    also keeps the queue of all routers' requests (docs/design.md sections 3 and 4.1).

    When a pool's holder does not acknowledge a request in time, this router decides the request
    itself, from what it knows about its own requests and the backend servers. When the holder of a
    pool changes, this router repeats its waiting and running requests to the new holder.

    Does no I/O and reads no clock: callers pass the time. Thread safety: none; use from one thread.
*/
class SlotBroker
{
public:
    SlotBroker(const RouterName &self, QueuePolicy policy, std::uint64_t seed);
    ~SlotBroker();
    SlotBroker(const SlotBroker &) = delete;
    SlotBroker &operator=(const SlotBroker &) = delete;

    //! Sets how long the holder of a pool may take to acknowledge a request.
    void setAcknowledgeTimeout(Duration timeout);
    void setConfiguration(std::shared_ptr<const Configuration> configuration, Instant now);
    //! As below, with no leaving members.
    void setMembers(const std::vector<RouterName> &liveMembers, Instant now);
    //! Sets the members, from which the holder of each pool follows. \a liveMembers includes this
    //! router unless it is leaving. Requests of \a leavingMembers keep their slots; requests of
    //! routers that are now in neither list are removed and lose their slots.
    void setMembers(const std::vector<RouterName> &liveMembers,
                    const std::vector<RouterName> &leavingMembers, Instant now);
    void setBackendServers(const std::vector<BackendServer> &servers, Instant now);
    //! Applies an observation that this router has made or has received by gossip.
    void observe(const Observation &observation, Instant now);

    //! Asks for a slot. run() returns exactly one grant or refusal for the request, unless it is
    //! cancelled before.
    void request(const SlotRequest &request, Instant now);
    //! Releases a granted slot. Precondition: the request was granted and is not yet released.
    void release(const SlotRelease &release, Instant now);
    //! Removes a request for which run() has not returned a grant.
    void cancel(const RequestId &request, Instant now);
    //! Handles Slot* messages; ignores other messages.
    void handleMessage(const RouterName &from, const PeerMessage &message, Instant now);

    //! Makes all decisions that are due; returns them with the messages to send.
    SlotBrokerOutput run(Instant now);
    //! Returns when run() must be called if no other method is called before; nothing if never.
    std::optional<Instant> nextRunTime(Instant now) const;

    //! Returns the holder of \a pool. It is this router if there are no live members or the queue
    //! policy has no holders.
    RouterName holderOf(const PoolName &pool) const;
    //! Returns the status of the pools whose queues this router keeps.
    std::vector<PoolStatus> status(Instant now) const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace crocusport

#endif // CROCUSPORT_SLOTBROKER_H
