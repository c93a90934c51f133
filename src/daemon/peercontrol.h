#ifndef CROCUSPORT_PEERCONTROL_H
#define CROCUSPORT_PEERCONTROL_H

#include "crocusport/coordination/membership.h"
#include "crocusport/transport/peernetwork.h"
#include "crocusport/transport/timer.h"

#include <functional>
#include <memory>
#include <vector>

namespace crocusport {

class EventLoop;

/*!
    Runs the membership protocol over the peer links and hands all other messages on.

    Thread safety: loop thread only.
*/
class PeerControl
{
public:
    struct Handlers
    {
        std::function<void(const RouterName &from, const PeerMessage &message)> onMessage;
        std::function<void(const std::vector<RouterName> &live)> onMembersChanged;
        std::function<void(const Observation &observation)> onObservation;
    };

    static Result<std::unique_ptr<PeerControl>> create(EventLoop &loop,
                                                       PeerNetwork::Options options,
                                                       std::vector<SocketAddress> seeds,
                                                       Handlers handlers);

    //! Sends \a message unless its receiver is unknown; it may be lost like any other.
    void send(const OutgoingMessage &message);
    void observe(const Observation &observation);
    void setConfigurationVersion(ConfigurationVersion version);
    //! Tells the peers that this router is leaving.
    void leave();

    const Membership &membership() const { return *membership_; }
    const PeerNetwork &network() const { return *network_; }

private:
    PeerControl(EventLoop &loop, Handlers handlers);

    void onMessage(const RouterName &from, const PeerMessage &message);
    void tick();
    void flush();

    Handlers handlers_;
    std::unique_ptr<PeerNetwork> network_;
    std::unique_ptr<Membership> membership_;
    Timer tickTimer_;
};

} // namespace crocusport

#endif // CROCUSPORT_PEERCONTROL_H
