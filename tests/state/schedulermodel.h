#ifndef CROCUSPORT_SCHEDULERMODEL_H
#define CROCUSPORT_SCHEDULERMODEL_H

#include "crocusport/state/crashledger.h"
#include "crocusport/state/poolscheduler.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocusport {

//! One random call. The numbers are reduced to what is possible when it is made.
struct Call
{
    enum class Kind { Submit, Release, Cancel, Decide, Leave, Fail, Restart, Resize, Crash, Mark };
    Kind kind = Kind::Decide;
    std::uint32_t first = 0;
    std::uint32_t second = 0;
};

/*!
    Makes calls to a PoolScheduler and keeps its own books of what must be true, by the plainest
    means. Each call of decide() checks all rules and returns the violations, if any.
*/
class SchedulerModel
{
public:
    //! \a serverSlots are the slots of each backend server.
    SchedulerModel(const PoolPolicy &policy, const std::vector<std::uint32_t> &serverSlots);

    static PoolPolicy defaultPolicy();

    void apply(const Call &call);
    void submit(SlotRequest request);
    void release(const RequestId &request, ReleaseReason reason);
    SchedulerDecisions decide(Duration elapsed);
    //! Lets everything finish. Afterwards each request must have had exactly one result.
    void drain();

    //! Returns a request of \a requestClass ("quick" or "report") that allows \a allowance.
    SlotRequest makeRequest(int tier, const std::string &team, const std::string &requestClass,
                            Duration allowance);

    PoolScheduler &scheduler() { return scheduler_; }
    Instant now() const { return now_; }
    //! Those that run, with runningOn set.
    std::vector<SlotRequest> running() const;
    std::vector<SlotRequest> waiting() const;
    //! Rules that were broken, with the request concerned.
    const std::vector<std::string> &violations() const { return violations_; }

    static Duration serviceTime(const SlotRequest &request);

private:
    struct Request
    {
        SlotRequest request;
        StartNumber start; //!< Of its server when the request started.
    };
    struct Server
    {
        BackendServer server;
        bool leaving = false;
        Instant unavailableUntil {};
    };

    bool usable(const Server &server) const;
    std::vector<const Request *> runningOn(const BackendServerName &server) const;
    std::uint32_t slots() const;
    std::uint32_t freeSlots() const;
    std::uint32_t lowerRunning() const;
    bool isDue(const SlotRequest &request) const;
    bool couldUse(const SlotRequest &request, const Server &server) const;
    void checkGrant(const SlotRequest &request, const Server &server,
                    const std::vector<SlotRequest> &urgentWaiting);
    void applyGrant(const SlotGrant &grant, const std::vector<SlotRequest> &urgentWaiting);
    void applyRefusal(const SlotRefusal &refusal);
    void checkWaiting();
    void setServers();
    void require(bool condition, const std::string &rule, const RequestId &request);
    void recordCrash(const Request &request);

    PoolPolicy policy_;
    PoolScheduler scheduler_;
    std::map<BackendServerName, Server> servers_;
    std::map<RequestId, SlotRequest> waiting_;
    std::map<RequestId, Request> running_;
    CrashLedger crashes_;
    Instant now_ { std::chrono::hours(1) };
    std::uint64_t nextId_ = 0;
    std::vector<std::string> violations_;
};

} // namespace crocusport

#endif // CROCUSPORT_SCHEDULERMODEL_H
