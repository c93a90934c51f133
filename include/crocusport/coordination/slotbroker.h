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

//! What a SlotBroker asks its owner to do.
struct SlotBrokerOutput
{
    std::vector<OutgoingMessage> messages;
    std::vector<SlotGrant> grants;     //!< For requests of this router.
    std::vector<SlotRefusal> refusals; //!< For requests of this router.
};

inline constexpr Duration kDefaultAcknowledgeTimeout = std::chrono::milliseconds(20);

/*!
    Obtains slots for this router's requests, and holds the queues of the pools whose holder this
    router is (docs/design.md sections 3 and 4.1). When a pool's holder does not acknowledge a
    request in time, decides from local knowledge. When the holder of a pool changes, repeats
   the waiting and running requests to the new one.

    Pure: time is an argument. Thread safety: none; use from one thread.
*/
class SlotBroker
{
public:
    SlotBroker(const RouterName &self, QueuePolicy policy, std::uint64_t seed);
    ~SlotBroker();
    SlotBroker(const SlotBroker &) = delete;
    SlotBroker &operator=(const SlotBroker &) = delete;

    //! How long the holder of a pool may take to acknowledge a request.
    void setAcknowledgeTimeout(Duration timeout);
    void setConfiguration(std::shared_ptr<const Configuration> configuration, Instant now);
    //! \a liveMembers includes this router unless it is leaving.
    void setMembers(const std::vector<RouterName> &liveMembers, Instant now);
    //! Requests of \a leavingMembers keep their slots; those of routers in neither list lose them.
    void setMembers(const std::vector<RouterName> &liveMembers,
                    const std::vector<RouterName> &leavingMembers, Instant now);
    void setBackendServers(const std::vector<BackendServer> &servers, Instant now);
    //! Applies first-hand or gossiped evidence about a backend server.
    void observe(const Observation &observation, Instant now);

    //! Asks for a slot. Exactly one grant or refusal follows, unless cancelled.
    void request(const SlotRequest &request, Instant now);
    //! Gives back a granted slot. Precondition: granted and not yet released.
    void release(const SlotRelease &release, Instant now);
    //! Withdraws a request that has no grant yet.
    void cancel(const RequestId &request, Instant now);
    //! Handles Slot* messages; ignores others.
    void handleMessage(const RouterName &from, const PeerMessage &message, Instant now);

    //! Makes all decisions that are due and returns what is to be done.
    SlotBrokerOutput run(Instant now);
    //! When run() has something to do without any further call.
    std::optional<Instant> nextRunTime(Instant now) const;

    RouterName holderOf(const PoolName &pool) const;
    //! Status of the pools that this router holds.
    std::vector<PoolStatus> status(Instant now) const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace crocusport

#endif // CROCUSPORT_SLOTBROKER_H
