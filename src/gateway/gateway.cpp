#include "gateway.h"

#include "forwardedrequest.h"
#include "uptime.h"

#include "crocusport/transport/eventloop.h"

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
// Waiting requests look for a place when a load changes, and this often for what others report.
constexpr Duration kWaitingInterval = std::chrono::milliseconds(10);
constexpr Duration kHousekeepingInterval = std::chrono::seconds(1);
// Routers without a change report this often, so that others know that they live and what they know
// of the store.
constexpr Duration kIdleReportInterval = std::chrono::milliseconds(500);
// A zone of 28 routers with links of 10 Mbit/s spends about 1 % of them on reports.
constexpr Duration kReportIntervalPerRouter = std::chrono::milliseconds(12);
// Sums for other zones go to every router there, over dear links.
constexpr Duration kZoneReportInterval = std::chrono::seconds(1);
// Ticks come every 100 ms; a larger gap means that the process has not run.
constexpr Duration kMaxTickGap = std::chrono::milliseconds(400);
// Longest time that a report is taken to have been under way.
constexpr Duration kReportTransit = std::chrono::milliseconds(150);
// Three routers that hear each other need one poll interval between them.
constexpr double kRoutersPerStoreCall = 3;
constexpr double kMaxStoreCallStretch = 4;
// What routers of other zones read arrives with the sums of their zones, and so later.
constexpr double kFarRouterShare = 0.5;
// Share of the bound for configurations after which a router asks, whatever it has heard.
constexpr double kMaxKnowledgeAgeShare = 0.6;
// Suspicions are repeated for this long, since datagrams may be lost.
constexpr Duration kSuspicionRepeatTime = std::chrono::milliseconds(500);
constexpr std::size_t kMaxReportedChains = 64;
constexpr std::size_t kMaxReportedPaces = 32;
constexpr double kPaceUnitsPerMs = 10;
// Of one second in a zone; a datagram of this many takes about 6 kB.
constexpr std::size_t kMaxZoneChains = 512;
// Time after which a router that does not hear the store is not ready for keyed requests.
constexpr double kReadyAgeShare = 0.5;
// The load balancer asks once a second and needs two misses. Requests that are taken later may
// still run when the process is ended by force.
constexpr Duration kAcceptAfterStop = std::chrono::milliseconds(2900);
// The process ends by itself this long before it would be ended by force.
constexpr Duration kStopMargin = std::chrono::milliseconds(400);
// A server that is gone shows by missing acknowledgements; repeats must begin within a second.
constexpr Duration kUnacknowledgedTimeout = std::chrono::milliseconds(1000);
constexpr std::chrono::seconds kProbeInterval { 1 };
constexpr Duration kStoreCallTimeout = std::chrono::milliseconds(700);
// Descriptors kept for other things than callers.
constexpr std::size_t kMaxCallers = 2500;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

HttpClient::Options backendOptions()
{
    HttpClient::Options options;
    options.unacknowledgedTimeout = kUnacknowledgedTimeout;
    options.probeInterval = kProbeInterval;
    return options;
}

} // namespace

Result<std::unique_ptr<Gateway>> Gateway::create(EventLoop &loop, GatewaySettings settings,
                                                 const FormatTable &formats, int logDescriptor)
{
    std::unique_ptr<Gateway> gateway(
        new Gateway(loop, std::move(settings), formats, logDescriptor));
    BOOST_LEAF_CHECK(gateway->listen());
    return gateway;
}

Gateway::Gateway(EventLoop &loop, GatewaySettings settings, const FormatTable &formats,
                 int logDescriptor)
    : loop_(loop), settings_(std::move(settings)), formats_(formats), log_(loop, logDescriptor),
      random_(std::random_device {}()), backends_(loop, backendOptions()),
      storeClient_(loop, backendOptions()),
      selector_(directory_, prefixes_, settings_.zone, random_()),
      peers_(directory_, settings_.zone), tickTimer_(loop, [this] { tick(); }),
      reportTimer_(loop, [this] { sendReport(false); }),
      waitingTimer_(loop,
                    [this] {
                        waiting_.startAll();
                        if (!waiting_.empty())
                            waitingTimer_.startOnce(kWaitingInterval);
                    }),
      reportedAt_(monotonicNow()), nextHousekeeping_(reportedAt_), services_ {
          loop,
          settings_,
          formats_,
          backends_,
          directory_,
          prefixes_,
          selector_,
          waiting_,
          silence_,
          crashes_,
          metrics_,
          log_,
          random_,
          [this] { return table_; },
          [this] { return configurationAge(); },
          [this] { return routerCount(); },
          [this](const PoolName &pool) -> RetryWindow & { return retryWindow(pool); },
          [this] { scheduleReport(); },
          [this](ServerHash server, ChainHash chain) {
              if (newChains_.size() < kMaxReportedChains)
                  newChains_.emplace_back(server, chain);
              noteZoneChain(server, chain);
          },
          [this](Fingerprint fingerprint, const std::string &crash) {
              noteCrashSuspicion(fingerprint, crash);
          },
          [this](KnownServer &server, double ms) {
              server.pace.note(ms, monotonicNow());
              if (newPaces_.size() < kMaxReportedPaces)
                  newPaces_.emplace_back(server.hash,
                                         static_cast<std::uint32_t>(ms * kPaceUnitsPerMs));
          },
          {}
      }
{ }

Gateway::~Gateway()
{
    services_.open.clear();
}

Result<void> Gateway::listen()
{
    HttpServerLimits limits;
    limits.maxConnections = kMaxCallers;
    BOOST_LEAF_ASSIGN(callers_,
                      HttpServer::create(loop_, settings_.callers, limits,
                                         [this](std::shared_ptr<HttpExchange> exchange) {
                                             ForwardedRequest::start(services_,
                                                                     std::move(exchange));
                                         }));
    BOOST_LEAF_ASSIGN(ready_,
                      HttpServer::create(loop_, settings_.ready, {},
                                         [this](const std::shared_ptr<HttpExchange> &exchange) {
                                             answerReady(*exchange);
                                         }));
    if (settings_.metricsPort != 0) {
        const SocketAddress address(settings_.ip + ':' + std::to_string(settings_.metricsPort));
        BOOST_LEAF_ASSIGN(metricsServer_,
                          HttpServer::create(loop_, address, {},
                                             [this](const std::shared_ptr<HttpExchange> &exchange) {
                                                 answerMetrics(*exchange);
                                             }));
    }
    const SocketAddress reportAddress(settings_.ip + ':' + std::to_string(settings_.reportPort));
    BOOST_LEAF_ASSIGN(reports_,
                      DatagramSocket::create(loop_, reportAddress,
                                             [this](std::string_view bytes) { onReport(bytes); }));
    StoreFeed::Options options;
    options.address = settings_.store;
    options.pollInterval = settings_.storePollInterval;
    options.callTimeout = kStoreCallTimeout;
    feed_ = std::make_unique<StoreFeed>(
        loop_, storeClient_, formats_, options,
        [this](const StoreChange &change) { return onStoreChange(change); },
        [this](const std::string &fault) {
            log_.write(LogLine(fault.empty() ? "store_regained" : "store_lost")
                           .add("reason", fault)
                           .text());
        });
    registration_ = std::make_unique<Registration>(
        loop_, storeClient_, formats_, settings_.store,
        RouterEntry { settings_.router, reports_->address(), settings_.zone });
    tickTimer_.startPeriodic(kTickInterval);
    log_.write(LogLine("router_started")
                   .add("router", settings_.router.value())
                   .add("zone", settings_.zone.value())
                   .add("callers", callers_->address().value())
                   .text());
    return {};
}

bool Gateway::onStoreChange(const StoreChange &change)
{
    if (formats_.isConfigurationKey(change.key))
        return change.value && onConfiguration(*change.value);
    if (const auto server = formats_.serverNameOfKey(change.key))
        return onServer(*server, change);
    if (!Registration::isRouterKey(change.key))
        return false;
    if (!change.value) {
        peers_.removeRouter(Registration::routerOfKey(change.key));
        return true;
    }
    const auto router = Registration::decode(change.key, *change.value);
    if (router && router->name != settings_.router)
        peers_.addRouter(*router);
    return true;
}

bool Gateway::onConfiguration(const std::string &text)
{
    return handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(configuration, formats_.decodeConfiguration(text));
            // Never back to an older one, whatever the store answers.
            if (table_ && configuration.version <= table_->version())
                return false;
            table_ = std::make_shared<const RoutingTable>(std::move(configuration));
            applyLimits();
            log_.write(LogLine("configuration_adopted")
                           .add("version", table_->version().value())
                           .add("routes", table_->configuration().routes.size())
                           .text());
            return true;
        },
        [&](const Error &error) {
            log_.write(LogLine("configuration_rejected").add("error", error.message).text());
            return false;
        });
}

void Gateway::applyLimits()
{
    const auto &limits = table_->configuration().limits;
    if (!limits)
        return;
    auto applied = *limits;
    applied.maxConnections = kMaxCallers;
    callers_->setLimits(applied);
}

bool Gateway::onServer(const BackendServerName &name, const StoreChange &change)
{
    if (!change.value) {
        if (!feed_->isJustBack())
            return removeServer(name);
        delayedRemovals_[name] = monotonicNow() + StoreFeed::kReturnTime;
        return true;
    }
    return handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(entry, formats_.decodeServer(name, *change.value));
            delayedRemovals_.erase(name);
            return updateServer(entry);
        },
        [&](const Error &error) {
            log_.write(LogLine("server_entry_rejected")
                           .add("server", name.value())
                           .add("error", error.message)
                           .text());
            return removeServer(name);
        });
}

bool Gateway::updateServer(const ServerEntry &entry)
{
    const auto before = directory_.find(entry.name);
    const bool wasUsable = before && before->isUsable();
    const auto startBefore = before ? before->entry.start : StartNumber();
    if (!directory_.update(entry, monotonicNow()))
        return false;
    const auto after = directory_.find(entry.name);
    if (before && startBefore != entry.start)
        prefixes_.forget(after->hash);
    if (before && wasUsable == after->isUsable() && startBefore == entry.start)
        return false;
    peers_.refresh(monotonicNow());
    log_.write(LogLine("server_changed")
                   .add("server", entry.name.value())
                   .add("address", entry.address.value())
                   .add("usable", after->isUsable())
                   .add("start", entry.start.value())
                   .text());
    // That a server is new harms nobody who does not know it yet.
    return before != nullptr;
}

bool Gateway::removeServer(const BackendServerName &name)
{
    const auto server = directory_.find(name);
    if (!server)
        return false;
    backends_.closeIdle(server->entry.address);
    prefixes_.forget(server->hash);
    directory_.remove(name, monotonicNow());
    log_.write(LogLine("server_removed").add("server", name.value()).text());
    return true;
}

// Only the representative sends them, but any router may become it.
void Gateway::noteZoneChain(ServerHash server, ChainHash chain)
{
    if (peers_.isDirect())
        return;
    zoneChains_.emplace_back(server, chain);
    if (zoneChains_.size() > kMaxZoneChains)
        zoneChains_.erase(zoneChains_.begin(), zoneChains_.begin() + kMaxZoneChains / 2);
}

void Gateway::onReport(std::string_view datagram)
{
    handleErrors(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(report, decodeLoadReport(datagram));
            if (report.router.name == settings_.router)
                return {};
            const auto now = monotonicNow();
            peers_.take(report, now);
            for (const auto &[server, chain] : report.chains) {
                prefixes_.note(server, chain, now);
                if (report.scope == ReportScope::Router)
                    noteZoneChain(server, chain);
            }
            for (const auto &[hash, pace] : report.paces) {
                if (const auto server = directory_.find(hash))
                    server->pace.note(pace / kPaceUnitsPerMs, now);
            }
            for (const auto hash : report.broken) {
                if (const auto server = directory_.find(hash))
                    server->health.noteBrokenElsewhere(now);
            }
            if (report.store)
                hearStore(*report.store);
            for (const auto &suspicion : report.suspicions)
                crashes_.add(suspicion.fingerprint, suspicion.crash, now);
            return {};
        },
        [&](const Error &error) {
            log_.write(LogLine("load_report_rejected").add("error", error.message).text());
        });
}

// A report that has waited in a queue, while this host was suspended or its process stopped, says
// nothing about how fresh the router's knowledge is.
void Gateway::hearStore(const StoreKnowledge &knowledge)
{
    const auto now = uptime();
    if (now - tickedAt_ > kMaxTickGap || now < ignoreStoreUntil_)
        return;
    feed_->hear(knowledge.revision, now - knowledge.age - kReportTransit);
}

void Gateway::scheduleReport()
{
    if (!waiting_.empty() && !waitingTimer_.isActive())
        waitingTimer_.startOnce(Duration::zero());
    if (reportTimer_.isActive())
        return;
    const auto due = reportedAt_ + reportInterval() - monotonicNow();
    reportTimer_.startOnce(std::max<Duration>(due, Duration::zero()));
}

// The datagrams of a zone grow with the square of its routers; links and processors are small.
Duration Gateway::reportInterval() const
{
    const auto routers = static_cast<int>(peers_.nearRouters().size());
    return std::max<Duration>(settings_.reportInterval, kReportIntervalPerRouter * routers);
}

LoadReport Gateway::makeReport()
{
    LoadReport report;
    report.router = { settings_.router, reports_->address(), settings_.zone };
    report.sequence = ++reportSequence_;
    if (feed_->lastContact())
        report.store = StoreKnowledge { feed_->relevantRevision(),
                                        std::chrono::ceil<Milliseconds>(configurationAge()) };
    return report;
}

void Gateway::sendReport(bool isLeaving)
{
    const auto now = monotonicNow();
    reportedAt_ = now;
    reportedRevision_ = feed_->relevantRevision();
    auto report = makeReport();
    report.isLeaving = isLeaving;
    directory_.forEach([&](const ServerDirectory::ServerPointer &server) {
        if (server->own.requests > 0)
            report.loads.emplace_back(server->hash, server->own);
        if (server->health.isJustBroken(now))
            report.broken.push_back(server->hash);
    });
    report.chains = std::exchange(newChains_, {});
    report.paces = std::exchange(newPaces_, {});
    while (!suspicions_.empty() && suspicions_.front().first + kSuspicionRepeatTime < now)
        suspicions_.pop_front();
    for (const auto &[at, suspicion] : suspicions_)
        report.suspicions.push_back(suspicion);
    const auto datagram = encodeLoadReport(report);
    for (const auto &router : peers_.nearRouters())
        reports_->send(router.address, datagram);
    if (now - zoneReportedAt_ >= kZoneReportInterval)
        sendZoneSum();
}

void Gateway::sendZoneSum()
{
    const auto now = monotonicNow();
    zoneReportedAt_ = now;
    if (peers_.isDirect() || !peers_.isRepresentative(settings_.router, now))
        return;
    auto report = makeReport();
    report.scope = ReportScope::Zone;
    auto sums = peers_.zoneLoads(now);
    directory_.forEach([&](const ServerDirectory::ServerPointer &server) {
        if (server->own.requests > 0)
            sums[server->hash] += server->own;
    });
    report.loads.assign(sums.begin(), sums.end());
    report.chains = std::exchange(zoneChains_, {});
    const auto datagram = encodeLoadReport(report);
    for (const auto &router : peers_.farRouters())
        reports_->send(router.address, datagram);
}

// Routers of one neighbourhood share what they read, so each asks less often; the times are drawn
// anew, so that they do not all ask at the same moment.
void Gateway::paceStoreCalls()
{
    const auto near = static_cast<double>(peers_.currentNearCount(monotonicNow()) + 1);
    const auto far = static_cast<double>(peers_.farRouters().size());
    const double routers = near + kFarRouterShare * far;
    const double share = std::clamp(routers / kRoutersPerStoreCall, 1.0, kMaxStoreCallStretch);
    std::uniform_real_distribution<double> spread(0.6, 1.4);
    const auto interval = share > 1 ? settings_.storePollInterval * share * spread(random_)
                                    : settings_.storePollInterval * 1.0;
    feed_->setPollInterval(std::chrono::duration_cast<Duration>(interval));
    if (configurationAge() > settings_.configurationBound * kMaxKnowledgeAgeShare)
        feed_->refresh();
}

void Gateway::noteCrashSuspicion(Fingerprint fingerprint, const std::string &crash)
{
    if (fingerprint.value() == 0)
        return;
    const auto now = monotonicNow();
    crashes_.add(fingerprint, crash, now);
    suspicions_.emplace_back(now, CrashSuspicion { fingerprint, crash });
    scheduleReport();
}

Duration Gateway::configurationAge() const
{
    const auto contact = feed_ ? feed_->lastContact() : std::nullopt;
    return contact ? uptime() - *contact : Duration::max();
}

RetryWindow &Gateway::retryWindow(const PoolName &pool)
{
    const RetryLimits limits { settings_.retryRatio, settings_.retrySlack, settings_.retryWindow };
    return retryWindows_.try_emplace(pool, limits).first->second;
}

std::size_t Gateway::routerCount() const
{
    return peers_.count() + 1;
}

bool Gateway::isReady() const
{
    if (stopRequestedAt_ || !table_ || !feed_->isSynchronized())
        return false;
    return !table_->hasTeams() || !settings_.isRevocationStrict
        || toSeconds(configurationAge()) < kReadyAgeShare * toSeconds(settings_.revocationBound);
}

void Gateway::answerReady(HttpExchange &exchange) const
{
    if (exchange.path() != formats_.readyTarget())
        exchange.reply(kNotFound, {}, "");
    else
        exchange.reply(isReady() ? kOk : kUnavailable, {}, "");
}

void Gateway::answerMetrics(HttpExchange &exchange)
{
    metrics_.setGauge("crocusport_open_requests", "Requests without their final answer.",
                      static_cast<double>(services_.open.size()));
    metrics_.setGauge("crocusport_backend_servers", "Registered backend servers.",
                      static_cast<double>(directory_.size()));
    metrics_.setGauge("crocusport_members", "Known routers, with this one.",
                      static_cast<double>(routerCount()));
    metrics_.setGauge("crocusport_configuration_version", "Version of the configuration in force.",
                      table_ ? static_cast<double>(table_->version().value()) : 0);
    metrics_.setGauge("crocusport_configuration_age_seconds",
                      "Time since the configuration was surely the newest.",
                      feed_->lastContact() ? toSeconds(configurationAge()) : -1);
    metrics_.setGauge("crocusport_log_lines_dropped", "Log lines dropped since the start.",
                      static_cast<double>(log_.droppedLines()));
    metrics_.setGauge("crocusport_store_calls", "Calls of the change feed since the start.",
                      static_cast<double>(feed_->startedCalls()));
    exchange.reply(kOk, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics_.text());
}

void Gateway::tick()
{
    const auto now = monotonicNow();
    const auto boot = uptime();
    if (boot - tickedAt_ > kMaxTickGap)
        ignoreStoreUntil_ = boot + kMaxTickGap;
    tickedAt_ = boot;
    paceStoreCalls();
    for (auto removal = delayedRemovals_.begin(); removal != delayedRemovals_.end();) {
        if (removal->second <= now) {
            removeServer(removal->first);
            removal = delayedRemovals_.erase(removal);
        } else {
            ++removal;
        }
    }
    // What has changed in the store must reach the others before they would ask themselves.
    if (now - reportedAt_ >= kIdleReportInterval || feed_->relevantRevision() != reportedRevision_)
        sendReport(false);
    if (!waiting_.empty() && !waitingTimer_.isActive())
        waitingTimer_.startOnce(Duration::zero());
    if (now >= nextHousekeeping_) {
        nextHousekeeping_ = now + kHousekeepingInterval;
        directory_.expire(now);
        prefixes_.expire(now);
        crashes_.expire(now);
        peers_.refresh(now);
    }
    if (stopRequestedAt_)
        continueShutdown();
}

void Gateway::reload(const GatewaySettings &settings)
{
    settings_.revocationBound = settings.revocationBound;
    settings_.isRevocationStrict = settings.isRevocationStrict;
    settings_.configurationBound = settings.configurationBound;
    settings_.retryRatio = settings.retryRatio;
    settings_.retrySlack = settings.retrySlack;
    settings_.shutdownGrace = settings.shutdownGrace;
    log_.write(LogLine("settings_reloaded").text());
}

void Gateway::shutDown()
{
    if (stopRequestedAt_)
        return;
    stopRequestedAt_ = monotonicNow();
    callers_->closeAfterAnswers();
    log_.write(LogLine("shutdown_started").add("open", services_.open.size()).text());
}

void Gateway::continueShutdown()
{
    const auto elapsed = monotonicNow() - *stopRequestedAt_;
    const auto limit = settings_.shutdownGrace - kStopMargin;
    // Until the balancer has noticed the unready state, new requests still arrive and are served.
    if (elapsed < kAcceptAfterStop)
        return;
    callers_->stopAccepting();
    const bool isIdle = services_.open.empty() && callers_->openExchanges() == 0;
    if (!isIdle && elapsed < limit)
        return;
    log_.write(LogLine("shutdown_finished").add("open", services_.open.size()).text());
    registration_->stop();
    sendReport(true);
    loop_.stop();
}

} // namespace crocusport
