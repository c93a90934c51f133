#ifndef CROCUSPORT_GATEWAYSERVICES_H
#define CROCUSPORT_GATEWAYSERVICES_H

#include "answermemory.h"
#include "formattable.h"
#include "prefixmemory.h"
#include "retrywindow.h"
#include "serverdirectory.h"
#include "serverselector.h"
#include "silencelimits.h"
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

//! What requests use of their gateway. Thread safety: loop thread only.
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
    SilenceLimits &silence;
    CrashLedger &crashes;
    UnansweredRuns &unanswered;
    AnswerMemory &answerMemory;
    RequestMetrics &metrics;
    LogWriter &log;
    std::mt19937_64 &random;

    std::function<std::shared_ptr<const RoutingTable>()> table; //!< Null before the first.
    //! Time since the router knew the newest configuration for sure.
    std::function<Duration()> configurationAge;
    //! Whether what is known of servers and routes is new enough to place requests; asks the store
    //! if not.
    std::function<bool()> isKnowledgeFresh;
    std::function<std::size_t()> routerCount;
    std::function<RetryWindow &(const PoolName &)> retryWindow;
    //! The load of a server has changed, and what others should know with it.
    std::function<void()> loadChanged;
    std::function<void(ServerHash, ChainHash)> chainSent;
    std::function<void(const CrashSuspicion &)> crashSuspected;
    std::function<void(KnownServer &, double ms)> paceSeen;
    //! Mean age of the loads that other routers have reported.
    std::function<Duration()> loadAge;
    //! The server has said that it leaves.
    std::function<void(KnownServer &)> serverLeaves;

    std::unordered_set<std::shared_ptr<ForwardedRequest>> open; //!< Without their final answer.
};

} // namespace crocusport

#endif // CROCUSPORT_GATEWAYSERVICES_H
