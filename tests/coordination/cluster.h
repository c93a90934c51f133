#ifndef CROCUSPORT_CLUSTER_H
#define CROCUSPORT_CLUSTER_H

#include "crocusport/coordination/configurationreplica.h"
#include "crocusport/coordination/membership.h"
#include "crocusport/coordination/slotbroker.h"
#include "fakestore.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace crocusport::testing {

/*!
    The coordination layers of several routers, with a virtual clock and in-memory delivery of
    messages. Also does what the daemon does with them: opens links, replies to configuration
    requests, and releases slots after the service time.
*/
class Cluster
{
public:
    struct Request
    {
        std::string router;
        std::uint64_t incarnation = 0; //!< Incarnation of the router that received it.
        bool isCancelled = false;
        int grants = 0;
        int refusals = 0;
        Instant decidedAt;
        Instant deadline;
    };

    Cluster(const std::vector<std::string> &names, std::uint64_t seed);

    void advanceTo(Instant time);
    Instant now() const { return now_; }

    //! Starts router \a name, or restarts it, with a higher incarnation.
    void start(const std::string &name);
    void kill(const std::string &name);
    void pause(const std::string &name) { nodes_.at(name).isPaused = true; }
    void resume(const std::string &name);
    void leave(const std::string &name) { nodes_.at(name).membership->leave(now_); }
    //! Blocks all messages between the two routers until healAll() is called.
    void cut(const std::string &first, const std::string &second);
    void healAll();
    void request(const std::string &router, const std::string &pool, int tier, Duration deadline,
                 Duration service);
    //! Cancels all requests of \a router that are not decided yet.
    void cancelAll(const std::string &router);
    void publish(const std::string &publishId);
    //! Adds the observation at \a router that \a server is leaving.
    void observe(const std::string &router, const std::string &server);

    double loss = 0;        //!< Probability that a message is lost.
    double duplication = 0; //!< Probability that a message is delivered twice.
    Duration maxDelay = std::chrono::milliseconds(2);
    FakeStore store;

    bool isRunning(const std::string &name) const;
    std::vector<std::string> runningNodes() const;
    //! Returns true if router \a name runs or is paused and still has \a incarnation.
    bool hasIncarnation(const std::string &name, std::uint64_t incarnation) const;
    //! Returns the live members by the view of router \a name.
    std::vector<std::string> liveSeenBy(const std::string &name) const;
    //! Returns the holder of \a pool by the view of router \a name.
    std::string holderSeenBy(const std::string &name, const std::string &pool) const;
    //! Returns the sum of the slots in use that the running routers count in SlotBroker::status().
    std::uint32_t countedSlots() const;
    std::uint64_t versionOf(const std::string &name) const;
    std::uint64_t storedVersion() const;
    //! Returns how often, since the last healAll(), a router has removed from its live members a
    //! router that was running and not leaving.
    int drops() const { return drops_; }
    bool isReady(const std::string &name) const { return nodes_.at(name).replica->isReady(); }
    std::size_t observationsAt(const std::string &name) const;
    const std::map<std::string, Request> &requests() const { return requests_; }
    //! Maps the publish id of each finished publication to "ok" or the name of the result code.
    const std::map<std::string, std::string> &publications() const { return publications_; }
    std::size_t messagesSent() const { return messagesSent_; }

private:
    struct Node
    {
        std::unique_ptr<Membership> membership;
        std::unique_ptr<SlotBroker> broker;
        std::unique_ptr<ConfigurationReplica> replica;
        std::uint64_t incarnation = 0;
        bool isPaused = false;
        std::vector<std::function<void()>> deferred; //!< Events that occurred while it was paused.
        std::set<Observation> observations;
        std::set<std::string> links;
        std::vector<RouterName> live;
    };

    void at(Instant time, const std::string &node, std::function<void()> event);
    void connect(const std::string &from, const std::string &to);
    bool canReach(const std::string &from, const std::string &to) const;
    void deliver(const std::string &from, const OutgoingMessage &outgoing);
    void receive(const std::string &from, const std::string &to, const PeerMessage &message);
    void updateMembers(const std::string &name);
    void tickAll();
    void tick(const std::string &name);
    void readStore(const std::string &name);
    void adopt(const std::string &name, const std::string &document, ConfigurationSource source);
    void runBroker(const std::string &name);
    void handleGrant(const std::string &name, const SlotGrant &grant);

    std::mt19937_64 random_;
    Instant now_ = Instant(std::chrono::seconds(1000));
    Instant nextTick_ = now_;
    std::uint64_t lastIncarnation_ = 0;
    std::map<std::string, Node> nodes_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::multimap<Instant, std::function<void()>> events_;
    std::map<std::string, Request> requests_;
    std::map<std::string, Duration> serviceTimes_;
    std::map<std::string, std::string> publications_;
    std::vector<BackendServer> servers_;
    std::size_t messagesSent_ = 0;
    int drops_ = 0;
};

} // namespace crocusport::testing

#endif // CROCUSPORT_CLUSTER_H
