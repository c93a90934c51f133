#include "router.h"

#include "logline.h"
#include "requestsession.h"

#include "crocusport/protocol/claimdocument.h"
#include "crocusport/protocol/configurationdocument.h"
#include "crocusport/protocol/digest.h"
#include "crocusport/protocol/statusdocument.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace crocusport {

namespace {

// Claims need a tick at least every 50 ms while they are pending.
constexpr Duration kTickInterval = std::chrono::milliseconds(50);
// For a router without a configuration: between two reads of the manifest.
constexpr Duration kManifestRetryInterval = std::chrono::seconds(1);
constexpr std::size_t kJournalRequests = 4000;
constexpr std::size_t kJournalEvents = 24;

// Hosts keep nothing, so the wall clock is what makes a later start's number higher.
Incarnation incarnationFromClock()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(
        static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(sinceEpoch).count()));
}

StoreClient::Options storeOptions(const Settings &settings)
{
    StoreClient::Options options;
    options.addresses = settings.storeAddresses;
    options.timeout = settings.timeouts.store;
    return options;
}

HostListClient::Options hostListOptions(const Settings &settings)
{
    HostListClient::Options options;
    options.address = settings.hostListAddress;
    return options;
}

} // namespace

Result<std::unique_ptr<Router>> Router::create(EventLoop &loop, Settings settings)
{
    std::unique_ptr<Router> router(new Router(loop, std::move(settings)));
    BOOST_LEAF_CHECK(router->startPeers());
    BOOST_LEAF_CHECK(router->startServers());
    router->manifest_.read();
    router->tickTimer_.startPeriodic(kTickInterval);
    return router;
}

Router::Router(EventLoop &loop, Settings settings)
    : loop_(loop), settings_(std::move(settings)), incarnation_(incarnationFromClock()),
      httpClient_(loop, HttpClient::Options {}), store_(loop, httpClient_, storeOptions(settings_)),
      hostList_(loop, httpClient_, hostListOptions(settings_),
                [this](const std::vector<BackendServer> &servers) { onHostList(servers); }),
      configuration_(settings_.router),
      claims_(store_, settings_.router, incarnation_, claimDocumentCodec()),
      journal_(kJournalRequests, kJournalEvents), requestIds_(settings_.router),
      slots_(loop, settings_.router, settings_.queuePolicy, randomSeed(),
             [this](const OutgoingMessage &message) { peers_->send(message); }),
      services_ { loop_,         settings_,
                  httpClient_,   slots_,
                  backends_,     configuration_,
                  metrics_,      journal_,
                  requestIds_,   retryBudgets_,
                  teamLimits_,   claims_,
                  answerMemory_, [this](const Observation &observation) { observe(observation); } },
      manifest_(loop, store_,
                [this](const std::string &document) {
                    onDocument(document, ConfigurationSource::Store);
                }),
      explainer_(loop, settings_.router, journal_,
                 [this](const OutgoingMessage &message) { peers_->send(message); }),
      health_(loop, httpClient_, backends_,
              { [this](const PoolName &pool) {
                   return slots_.broker().holderOf(pool) == settings_.router;
               },
                [this](const Observation &observation) { observe(observation); } }),
      tickTimer_(loop, [this] { tick(); }), started_(monotonicNow())
{
    slots_.setAcknowledgeTimeout(settings_.timeouts.holderAck);
}

Result<void> Router::startPeers()
{
    PeerNetwork::Options options;
    options.listen = settings_.listen.peers;
    options.sharedKey = settings_.peerKey;
    options.self.name = settings_.router;
    options.self.incarnation = incarnation_;
    options.self.address = settings_.listen.peers;
    options.self.zone = settings_.zone;
    options.self.region = settings_.region;
    PeerControl::Handlers handlers;
    handlers.onMessage = [this](const RouterName &from, const PeerMessage &message) {
        onPeerMessage(from, message);
    };
    handlers.onMembersChanged = [this](const std::vector<RouterName> &live) {
        onMembersChanged(live);
    };
    handlers.onObservation = [this](const Observation &observation) { onObservation(observation); };
    BOOST_LEAF_ASSIGN(
        peers_,
        PeerControl::create(loop_, std::move(options), settings_.peerSeeds, std::move(handlers)));
    onMembersChanged(peers_->membership().liveMembers());
    return {};
}

Result<void> Router::startServers()
{
    HttpServerLimits limits;
    limits.maxHeadBytes = settings_.limits.maxHeadBytes;
    limits.maxBodyBytes = settings_.limits.maxBodyBytes;
    limits.maxConnections = settings_.limits.maxConnections;
    limits.idleTimeout = settings_.limits.idleTimeout;
    if (settings_.limits.clientMemoryBytes > 0) {
        constexpr std::size_t kMaxFields = 256; // As in the gateway.
        clientMemory_.emplace(ClientMemory::limitsOf(settings_.limits.clientMemoryBytes));
        limits.maxFields = kMaxFields;
        limits.replacesIdle = true;
    }
    BOOST_LEAF_ASSIGN(callers_,
                      HttpServer::create(
                          loop_, settings_.listen.callers, limits,
                          [this](std::shared_ptr<HttpExchange> exchange) {
                              RequestSession::start(services_, std::move(exchange));
                          },
                          clientMemory_ ? &*clientMemory_ : nullptr));
    OperatorService::Sources sources;
    sources.metrics = [this] { return metricsText(); };
    sources.isReady = [this] { return isReady(); };
    sources.status = [this] { return statusJson(); };
    sources.configuration = [this] {
        const auto &current = configuration_.configuration();
        return current ? writeConfigurationDocument(*current) : std::string();
    };
    sources.explain = [this](const RequestId &request, OperatorService::ExplainReply reply) {
        explainer_.explain(request, std::move(reply));
    };
    BOOST_LEAF_ASSIGN(
        operators_, OperatorService::create(loop_, settings_.listen.operators, std::move(sources)));
    return {};
}

void Router::onPeerMessage(const RouterName &from, const PeerMessage &message)
{
    if (const auto *const ping = std::get_if<PingMessage>(&message)) {
        configuration_.recordPeerVersion(from, ping->configurationVersion);
    } else if (const auto *const acknowledgement = std::get_if<AckMessage>(&message)) {
        configuration_.recordPeerVersion(from, acknowledgement->configurationVersion);
    } else if (const auto *const request = std::get_if<ConfigurationRequestMessage>(&message)) {
        if (const auto answer = configuration_.answer(from, *request))
            peers_->send(*answer);
    } else if (const auto *const offer = std::get_if<ConfigurationMessage>(&message)) {
        if (configuration_.isNewerVersion(offer->version))
            onDocument(offer->document, ConfigurationSource::Peer);
    } else {
        slots_.handleMessage(from, message);
        explainer_.handleMessage(from, message);
    }
}

void Router::onMembersChanged(const std::vector<RouterName> &live)
{
    LOG(INFO) << LogLine("members_changed").add("live", live.size()).text();
    configuration_.setMembers(live);
    slots_.setMembers(live, peers_->membership().leavingMembers());
    manifest_.setWatching(configuration_.isStoreWatcher() && !stopRequestedAt_);
}

void Router::onObservation(const Observation &observation)
{
    slots_.observe(observation);
    const auto server = backends_.find(observation.server);
    if (server && observation.kind == ObservationKind::Crashed)
        httpClient_.closeIdle(server->address);
}

void Router::observe(const Observation &observation)
{
    onObservation(observation);
    peers_->observe(observation);
}

void Router::onDocument(const std::string &document, ConfigurationSource source)
{
    // The poll of a store watcher mostly reads what is in force already; parsing can be large work.
    if (document == configuration_.document())
        return;
    handleErrors(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(configuration, parseConfigurationDocument(document));
            adopt(std::move(configuration), document, source);
            return {};
        },
        [&](const Error &error) {
            LOG(ERROR) << LogLine("configuration_rejected")
                              .add("code", static_cast<int>(error.code))
                              .add("error", error.message)
                              .text();
        });
}

void Router::adopt(Configuration configuration, const std::string &document,
                   ConfigurationSource source)
{
    const auto shared = std::make_shared<const Configuration>(std::move(configuration));
    if (!configuration_.adopt(shared, document, source))
        return;
    adoptedAt_ = monotonicNow();
    LOG(INFO) << LogLine("configuration_adopted")
                     .add("version", shared->version.value())
                     .add("source", source == ConfigurationSource::Store ? "store" : "peer")
                     .text();
    slots_.setConfiguration(shared);
    teamLimits_.setTeams(shared->teams);
    peers_->setConfigurationVersion(shared->version);
}

void Router::onHostList(const std::vector<BackendServer> &servers)
{
    LOG(INFO) << LogLine("host_list_changed").add("servers", servers.size()).text();
    backends_.setServers(servers);
    slots_.setBackendServers(servers);
}

void Router::tick()
{
    const auto now = monotonicNow();
    claims_.tick(now);
    for (const auto &message : configuration_.tick(now))
        peers_->send(message);
    if (!configuration_.configuration() && !manifest_.isWatching() && now >= nextManifestRead_) {
        nextManifestRead_ = now + kManifestRetryInterval;
        manifest_.read();
    }
    if (stopRequestedAt_)
        continueShutdown();
}

void Router::shutDown()
{
    if (stopRequestedAt_) {
        LOG(WARNING) << LogLine("shutdown_forced").add("open", services_.openRequests).text();
        loop_.stop();
        return;
    }
    stopRequestedAt_ = monotonicNow();
    LOG(INFO) << LogLine("shutdown_started").add("open", services_.openRequests).text();
    manifest_.setWatching(false);
    peers_->leave();
}

void Router::continueShutdown()
{
    // Until the balancer has noticed the unready state, new requests still arrive and are served.
    if (monotonicNow() < *stopRequestedAt_ + settings_.shutdownDelay)
        return;
    if (!services_.isStopping) {
        services_.isStopping = true;
        callers_->stopAccepting();
    }
    if (services_.openRequests > 0 || callers_->openExchanges() > 0 || claims_.pendingCount() > 0)
        return;
    LOG(INFO) << LogLine("shutdown_finished").text();
    loop_.stop();
}

bool Router::isReady() const
{
    return !stopRequestedAt_ && configuration_.isReady();
}

std::string Router::statusJson() const
{
    const auto now = monotonicNow();
    const auto &current = configuration_.configuration();
    RouterStatus status;
    status.router = settings_.router;
    status.zone = settings_.zone;
    status.region = settings_.region;
    status.isReady = isReady();
    status.uptimeSeconds = toSeconds(now - started_);
    status.openRequests = services_.openRequests;
    status.configuration.version = configuration_.version();
    status.configuration.publishId = current ? current->publishId : "";
    status.configuration.isStoreWatcher = manifest_.isWatching();
    status.configuration.isStoreReachable = manifest_.isStoreReachable();
    if (adoptedAt_)
        status.configuration.ageSeconds = toSeconds(now - *adoptedAt_);
    status.members = peers_->membership().members();
    if (current) {
        for (const auto &[name, policy] : current->pools)
            status.poolHolders[name] = slots_.broker().holderOf(name);
    }
    status.pools = slots_.broker().status(now);
    status.classes = metrics_.classReports();
    return writeRouterStatus(status);
}

std::string Router::metricsText()
{
    const auto &network = peers_->network();
    metrics_.setGauge("crocusport_members", "Live routers, with this one.",
                      static_cast<double>(peers_->membership().liveMembers().size()));
    metrics_.setGauge("crocusport_open_requests", "Requests without their final answer.",
                      static_cast<double>(services_.openRequests));
    metrics_.setGauge("crocusport_backend_servers", "Backend servers in the host list.",
                      static_cast<double>(backends_.servers().size()));
    metrics_.setGauge("crocusport_configuration_version", "Version of the configuration in force.",
                      static_cast<double>(configuration_.version().value()));
    metrics_.setGauge("crocusport_configuration_age_seconds", "Time since its adoption.",
                      adoptedAt_ ? toSeconds(monotonicNow() - *adoptedAt_) : -1);
    metrics_.setGauge("crocusport_store_reachable", "1 while the key-value store answers.",
                      manifest_.isStoreReachable() ? 1 : 0);
    metrics_.setGauge("crocusport_peer_links", "Open links to other routers.",
                      static_cast<double>(network.linkCount()));
    metrics_.setGauge("crocusport_peer_bytes_received", "Bytes received from other routers.",
                      static_cast<double>(network.bytesReceived()));
    metrics_.setGauge("crocusport_peer_bytes_sent", "Bytes sent to other routers.",
                      static_cast<double>(network.bytesSent()));
    metrics_.setGauge("crocusport_pending_claims", "Claims without a stored final state.",
                      static_cast<double>(claims_.pendingCount()));
    return metrics_.text();
}

} // namespace crocusport
