#ifndef CROCUSPORT_GATEWAYSERVICES_H
#define CROCUSPORT_GATEWAYSERVICES_H

#include "admissionplan.h"
#include "answermemory.h"
#include "formattable.h"
#include "partcrashledger.h"
#include "prefixmemory.h"
#include "retrywindow.h"
#include "serverdirectory.h"
#include "serverselector.h"
#include "silencelimits.h"
#include "startpace.h"
#include "unansweredruns.h"
#include "waitinglist.h"

#include "logline.h"
#include "requestmetrics.h"

#include "crocusport/gateway/gatewaysettings.h"
#include "crocusport/state/crashledger.h"
#include "crocusport/transport/httpclient.h"
#include "crocusport/transport/logwriter.h"

#include <functional>
#include <memory>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace crocusport {

class ForwardedRequest;

//! The parts of the gateway that its requests use. Thread safety: loop thread only.
struct GatewayServices
{
    EventLoop &loop;
    const GatewaySettings &settings;
    const FormatTable &formats;
    HttpClient &backends;
    ServerDirectory &directory;
    PrefixMemory &prefixes;
    ServerSelector &selector;
    WaitingList &waiting;
    AdmissionPlan &admission;
    SilenceLimits &silence;
    CrashLedger &crashes;
    PartCrashLedger &parts;
    UnansweredRuns &unanswered;
    AnswerMemory &answerMemory;
    RequestMetrics &metrics;
    LogWriter &log;
    std::mt19937_64 &random;

    //! Returns null before the first configuration is known.
    std::function<std::shared_ptr<const RoutingTable>()> table;
    //! Time since the configuration was last confirmed to be the newest.
    std::function<Duration()> configurationAge;
    //! Whether requests may be placed by the copy of the store: it is fresh, or the store is
    //! unreachable. If not, starts a refresh.
    std::function<bool()> mayUseStoreCopy;
    std::function<std::size_t()> routerCount;
    std::function<RetryWindow &(const PoolName &)> retryWindow;
    //! Called when the load of a server has changed: tries to place waiting requests and schedules
    //! a report to the other routers.
    std::function<void()> loadChanged;
    //! Reports that a prompt with this prefix was sent to the server.
    std::function<void(ServerHash, PromptPrefixHash)> promptPrefixSent;
    //! Reports that a request was running when a server crashed.
    std::function<void(const CrashedRun &)> crashSuspected;
    //! Reports that a server answers a request whose prompt has these shared parts.
    std::function<void(const std::vector<Fingerprint> &parts)> partsAnswered;
    //! Whether this router may send a request with these parts as a trial, although some of them
    //! are refused.
    std::function<bool(const std::vector<Fingerprint> &parts)> isTrialDue;
    //! Reports that a request with these parts is sent as a trial.
    std::function<void(const std::vector<Fingerprint> &parts)> trialStarted;
    //! Reports a sample of the server's pace; see ServerPace.
    std::function<void(KnownServer &, double ms)> paceSeen;
    //! Reports the time until the first event of a stream, or until an answer that is no stream.
    std::function<void(KnownServer &, const std::string &route, Duration)> answerBegan;
    //! Reports that a server refused a request or answered with a failure.
    std::function<void(KnownServer &)> serverRefused;
    //! Reports that an attempt ended without a valid answer.
    std::function<void(KnownServer &)> serverFailed;
    //! Returns the mean age of the loads that other routers have reported.
    std::function<Duration()> loadAge;
    //! Reports that a request is sent to the server.
    std::function<void(KnownServer &)> requestSent;
    //! Reports that the server has announced that it is leaving.
    std::function<void(KnownServer &)> serverLeaves;
    //! Reports that a request of the team has begun to run at a server, for usage reports, and
    //! whether it had begun at another server before.
    std::function<void(const TeamName &, bool isRepeat)> requestBegan;
    //! Reports work that was sent to a server of the pool, for the ordering of servers.
    std::function<void(const PoolName &, const ServerLoad &)> workSent;
    //! Reports that events of a stream have arrived from a server of the pool.
    std::function<void(const PoolName &, std::uint64_t count)> eventsReceived;

    std::unordered_set<std::shared_ptr<ForwardedRequest>> open; //!< Without a final response.
    //! The request that is chosen as a trial of a refused part and not sent yet, or null.
    const ForwardedRequest *pendingTrial = nullptr;
    bool isShuttingDown = false; //!< A planned stop has begun.
    bool isStopping = false;     //!< New requests are refused, since the router will stop soon.
};

} // namespace crocusport

#endif // CROCUSPORT_GATEWAYSERVICES_H
