#ifndef CROCUSPORT_ROUTERSERVICES_H
#define CROCUSPORT_ROUTERSERVICES_H

#include "answermemory.h"
#include "backenddirectory.h"
#include "requestidgenerator.h"
#include "requestjournal.h"
#include "requestmetrics.h"
#include "retrybudgets.h"
#include "slotdispatcher.h"

#include "crocusport/coordination/claimregistry.h"
#include "crocusport/coordination/configurationreplica.h"
#include "crocusport/protocol/settings.h"
#include "crocusport/state/ratelimiter.h"
#include "crocusport/transport/eventloop.h"
#include "crocusport/transport/httpclient.h"
#include "crocusport/transport/storeclient.h"

#include <cstddef>
#include <functional>

namespace crocusport {

/*!
    What the requests of a router share. The router owns all of it and outlives every request.

    Thread safety: loop thread only.
*/
struct RouterServices
{
    EventLoop &loop;
    const Settings &settings;
    HttpClient &httpClient;
    SlotDispatcher &slots;
    BackendDirectory &backends;
    ConfigurationReplica &configuration;
    RequestMetrics &metrics;
    RequestJournal &journal;
    RequestIdGenerator &requestIds;
    RetryBudgets &retryBudgets;
    RateLimiter &teamLimits;
    ClaimRegistry<StoreClient> &claims;
    AnswerMemory &answerMemory;
    //! Applies evidence about a backend server here and spreads it to the other routers.
    std::function<void(const Observation &observation)> observe;
    bool isStopping = false;
    std::size_t openRequests = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_ROUTERSERVICES_H
