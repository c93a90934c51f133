#ifndef CROCUSPORT_SCHEDULERMODEL_H
#define CROCUSPORT_SCHEDULERMODEL_H

#include "crocusport/state/crashledger.h"
#include "crocusport/state/poolscheduler.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocusport {

//! One random call to SchedulerModel. SchedulerModel::apply() derives valid arguments from the
//! numbers first and second, such as one of the requests that are running.
struct Call
{
    enum class Kind {
        Submit,
        Release,
        Cancel,
        Decide,
        Leave,
        Fail,
        Restart,
        Resize,
        Crash,
        CrashReport
    };
    Kind kind = Kind::Decide;
    std::uint32_t first = 0;
    std::uint32_t second = 0;
};

/*!
    Calls a PoolScheduler and records separately, in plain lists, which requests wait and run and
    which servers are usable. Each call of decide() checks the decisions against these lists and
    adds what violates the rules to violations().
*/
class SchedulerModel
{
public:
    //! \a serverSlots contains the number of slots of each backend server.
    SchedulerModel(const PoolPolicy &policy, const std::vector<std::uint32_t> &serverSlots);

    static PoolPolicy defaultPolicy();

    void apply(const Call &call);
    void submit(SlotRequest request);
    void release(const RequestId &request, ReleaseReason reason);
    SchedulerDecisions decide(Duration elapsed);
    //! Completes running requests and decides until no request is left, at most 500 times. Adds a
    //! violation if a request is left then.
    void drain();

    //! Returns a request of \a requestClass ("quick" or "report") that arrives now and whose
    //! deadline is \a allowance from now.
    SlotRequest makeRequest(int tier, const std::string &team, const std::string &requestClass,
                            Duration allowance);

    PoolScheduler &scheduler() { return scheduler_; }
    Instant now() const { return now_; }
    //! Returns the running requests, with runningOn set.
    std::vector<SlotRequest> running() const;
    std::vector<SlotRequest> waiting() const;
    //! Returns a description of each violation, with the id of the request.
    const std::vector<std::string> &violations() const { return violations_; }

    static Duration serviceTime(const SlotRequest &request);

private:
    struct Request
    {
        SlotRequest request;
        StartNumber start; //!< Start number of the server when the request started.
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
    void require(bool condition, const std::string &violation, const RequestId &request);
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
