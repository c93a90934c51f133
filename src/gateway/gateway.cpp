#include "gateway.h"

#include "forwardedrequest.h"
#include "uptime.h"

#include "crocusport/transport/callbackguard.h"
#include "crocusport/transport/eventloop.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusport {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
// Placement of waiting requests is retried when a load of this router changes, and at this interval
// because of the loads that other routers report.
constexpr Duration kWaitingInterval = std::chrono::milliseconds(10);
constexpr Duration kHousekeepingInterval = std::chrono::seconds(1);
// Time from the choice of a server until the request arrives there. Includes the delay of a link
// that does not yet make its host count as slow.
constexpr Duration kSendingTime = std::chrono::milliseconds(400);
// Number of routers of each neighbourhood that have entries in the store. The second entry is for
// the case that the first router fails.
constexpr std::size_t kRegisteredRouters = 2;
// After this time without a configuration, a starting router accepts callers and rejects requests.
constexpr Duration kMaxStartWait = std::chrono::milliseconds(300);
// Routers that start at the same time discover each other and agree on ranks within this time.
constexpr Duration kDiscoveryTime = std::chrono::milliseconds(2500);
// Store entries of routers that are silent for this long are removed.
constexpr Duration kMaxEntrySilence = std::chrono::seconds(60);
constexpr double kBytesPerMb = 1024.0 * 1024;
// With strict revocation, a router that checks keys is ready only while its configuration is
// younger than this share of the revocation bound.
constexpr double kReadyAgeShare = 0.5;
// The load balancer checks readiness once a second and stops sending after two failed checks.
// Requests that are accepted later than this may still run when the process is killed.
constexpr Duration kAcceptAfterStop = std::chrono::milliseconds(2900);
// Requests that are complete later than this are refused: they may not end before the process does.
constexpr Duration kServeAfterStop = std::chrono::milliseconds(3000);
// Open requests are ended this long before the process would be killed.
constexpr Duration kStopMargin = std::chrono::milliseconds(400);
// The process exits by itself this long before it would be killed. Before, the last answers are
// written.
constexpr Duration kExitMargin = std::chrono::milliseconds(150);
// TCP data without acknowledgement reveals a dead server; retries must start within a second.
constexpr Duration kUnacknowledgedTimeout = std::chrono::milliseconds(1000);
constexpr std::chrono::seconds kProbeInterval { 1 };
constexpr Duration kStoreCallTimeout = std::chrono::milliseconds(700);
// An entry expires three heartbeats after its last one. An outage begins at most about one
// heartbeat after that; the rest allows for uneven heartbeats.
constexpr double kMinOutageHeartbeats = 1.5;
// Longer times without a confirmation of the store copy are logged.
constexpr Duration kLoggedCopyGap = std::chrono::milliseconds(1000);
constexpr const char *kCrashRecordPrefix = "crocusport/crashes/";
constexpr const char *kPartRecordPrefix = "crocusport/part-crashes/";
// A router learns of a trial within these times, in its neighbourhood and in another zone.
constexpr Duration kTrialRankDelay = std::chrono::milliseconds(300);
constexpr Duration kTrialZoneDelay = std::chrono::milliseconds(1500);
constexpr Duration kMaxTrialDelay = std::chrono::seconds(10);
// Maximum number of refused parts of which routers remind each other per housekeeping interval.
constexpr std::size_t kMaxReminders = 4;
// Descriptors of the smallest host of the deployments; used if their number is unknown.
constexpr std::size_t kDefaultDescriptors = 3075;
// Share of the descriptors for callers. The rest is for servers, the store, routers and readiness.
constexpr double kCallerShare = 0.8;
// The readiness and the metrics port get at most one of this many descriptors each.
constexpr std::size_t kReadinessPart = 16;
constexpr std::size_t kMetricsPart = 32;
constexpr std::size_t kMaxReadinessConnections = 64;
constexpr std::size_t kMaxMetricsConnections = 16;
// A head of 16,384 bytes could have thousands of fields, each of which costs about 100 bytes more
// than its text. Usual callers and proxies send fewer than 50.
constexpr std::size_t kMaxFields = 256;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

std::int64_t wholeMs(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

std::size_t descriptors(const GatewaySettings &settings)
{
    return settings.descriptors == 0 ? kDefaultDescriptors : settings.descriptors;
}

std::size_t bytesOfMb(double megabytes)
{
    return static_cast<std::size_t>(megabytes * kBytesPerMb);
}

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
      storeClient_(loop, backendOptions()), routerClient_(loop, backendOptions()),
      selector_(directory_, prefixes_, settings_.zone, random_()),
      answerMemory_(ClientMemory::answerBytesFor(bytesOfMb(settings_.hostMemoryMb),
                                                 bytesOfMb(settings_.answerMemoryMb))),
      clientMemory_(ClientMemory::limitsFor(bytesOfMb(settings_.hostMemoryMb),
                                            bytesOfMb(settings_.answerMemoryMb))),
      tickTimer_(loop, [this] { tick(); }),
      waitingTimer_(loop,
                    [this] {
                        waiting_.startAll();
                        if (!waiting_.empty())
                            waitingTimer_.startOnce(kWaitingInterval);
                    }),
      nextHousekeeping_(monotonicNow()), services_ {
          loop,
          settings_,
          formats_,
          backends_,
          directory_,
          prefixes_,
          selector_,
          waiting_,
          admission_,
          silence_,
          crashes_,
          parts_,
          unanswered_,
          answerMemory_,
          metrics_,
          log_,
          random_,
          [this] { return table_; },
          [this] { return configurationAge(); },
          [this] { return mayUseStoreCopy(); },
          [this] { return exchange_->routers().fleetSize(); },
          [this](const PoolName &pool) -> RetryWindow & { return retryWindow(pool); },
          [this] { onLoadChanged(); },
          [this](ServerHash server, PromptPrefixHash prefix) {
              exchange_->notePromptPrefix(server, prefix);
          },
          [this](const CrashedRun &run) { noteCrashedRun(run); },
          [this](const std::vector<Fingerprint> &parts) { notePartsAnswered(parts); },
          [this](const std::vector<Fingerprint> &parts) { return isTrialDue(parts); },
          [this](const std::vector<Fingerprint> &parts) { noteTrial(parts); },
          [this](KnownServer &server, double ms) {
              server.pace.note(ms, monotonicNow());
              exchange_->notePace(server.hash, ms);
          },
          [this](KnownServer &server, const std::string &route, Duration time) {
              if (startPace_)
                  startPace_->noteBegin(server, route, time, monotonicNow());
          },
          [this](KnownServer &server) {
              if (startPace_)
                  startPace_->noteRefusal(server, monotonicNow());
          },
          [this](KnownServer &server) {
              if (startPace_)
                  startPace_->noteFault(server, monotonicNow());
          },
          [this] { return exchange_->loads().meanAge(monotonicNow()); },
          [this](KnownServer &server) { noteRequestSent(server); },
          [this](KnownServer &server) { onServerLeaving(server, "answer"); },
          [this](const TeamName &team, bool isRepeat) {
              if (duties_)
                  duties_->noteBegan(team, isRepeat);
          },
          [this](const PoolName &pool, const ServerLoad &load) {
              if (duties_)
                  duties_->noteSent(pool, load);
          },
          [this](const PoolName &pool, std::uint64_t count) {
              if (duties_)
                  duties_->noteOutput(pool, count);
          },
          {}
      }
{
    if (!settings_.isStartPaced)
        return;
    startPace_ = std::make_unique<StartPace>(
        settings_.router,
        [this](const BackendServerName &server, PaceChange change, double window) {
            log_.write(LogLine("start_window")
                           .add("server", server.value())
                           .add("change", paceChangeName(change))
                           .add("window", std::llround(window))
                           .text());
        });
    selector_.setStartPace(startPace_.get());
}

Gateway::~Gateway()
{
    services_.open.clear();
}

Result<void> Gateway::listen()
{
    HttpServerLimits limits;
    limits.maxConnections = maxCallers();
    limits.maxFields = kMaxFields;
    limits.replacesIdle = true;
    BOOST_LEAF_ASSIGN(callers_,
                      HttpServer::create(
                          loop_, settings_.callers, limits,
                          [this](std::shared_ptr<HttpExchange> exchange) {
                              ForwardedRequest::start(services_, std::move(exchange));
                          },
                          &clientMemory_));
    // Callers that connect while the router starts wait in the backlog for the first configuration.
    callers_->pauseAccepting();
    BOOST_LEAF_ASSIGN(
        ready_,
        HttpServer::create(
            loop_, settings_.ready,
            HttpServerLimits::withoutBodies(
                std::min(descriptors(settings_) / kReadinessPart, kMaxReadinessConnections)),
            [this](const std::shared_ptr<HttpExchange> &exchange) { answerReady(*exchange); }));
    if (settings_.metricsPort != 0) {
        const SocketAddress address(settings_.ip + ':' + std::to_string(settings_.metricsPort));
        BOOST_LEAF_ASSIGN(
            metricsServer_,
            HttpServer::create(loop_, address,
                               HttpServerLimits::withoutBodies(std::min(
                                   descriptors(settings_) / kMetricsPart, kMaxMetricsConnections)),
                               [this](const std::shared_ptr<HttpExchange> &exchange) {
                                   answerMetrics(*exchange);
                               }));
    }
    crashRecords_ = std::make_unique<CrashRecords<CrashLedger>>(
        storeClient_, formats_, settings_.store, crashes_, kCrashRecordPrefix);
    partRecords_ = std::make_unique<CrashRecords<PartCrashLedger>>(
        storeClient_, formats_, settings_.store, parts_, kPartRecordPrefix);
    BOOST_LEAF_CHECK(startExchange());
    storedItems_ = std::make_unique<StoredItems>(StoredItems::Parts {
        formats_,
        log_,
        exchange_->routers(),
        *crashRecords_,
        *partRecords_,
        [this](const std::string &text) { onConfiguration(text); },
        [this](const ServerEntry &entry) { updateServer(entry); },
        [this](const BackendServerName &name) { removeServer(name); },
    });
    StoreFeed::Options options { settings_.store, planLimits() };
    feed_ = std::make_unique<StoreFeed>(
        loop_, storeClient_, routerClient_, formats_, exchange_->routers(), options,
        StoreMirror(
            StoredItems::rules(formats_),
            [this](const StoreChange &change) {
                storedItems_->apply(change, feed_->mirror(), uptime());
            },
            [this](const StoreChange &change) { storedItems_->noteOutdated(change); },
            [this](const std::string &key, const std::string &value) { onItemLost(key, value); }),
        [this](const std::string &fault) {
            log_.write(LogLine(fault.empty() ? "store_regained" : "store_lost")
                           .add("reason", fault)
                           .text());
        },
        [this] {
            if (feed_->mirror().lastConfirmation().gap > kLoggedCopyGap) {
                LogLine line("store_copy_confirmed");
                StoredItems::describeConfirmation(line, feed_->mirror());
                log_.write(line.add("store_failing", feed_->plan().isStoreFailing()).text());
            }
            if (const auto replacement = feed_->takeReplacement())
                storedItems_->logReplacement(*replacement);
            exchange_->report();
            if (isReady())
                callers_->resumeAccepting();
        },
        [this] { onEraEnded(); });
    registration_ =
        std::make_unique<Registration>(storeClient_, formats_, settings_.store, exchange_->self());
    if (settings_.duties.isEnabled())
        duties_ = std::make_unique<GatewayDuties>(GatewayDuties::Parts {
            settings_, formats_, storeClient_, *exchange_, directory_, feed_->mirror(), log_,
            [this](StoreEra era) { feed_->noteEra(era); } });
    if (duties_ && settings_.duties.ordersServers)
        orders_ = std::make_unique<ServerOrderCalls>(
            ServerOrderCalls::Parts { *duties_, directory_, feed_->mirror(), log_ });
    tickTimer_.startPeriodic(kTickInterval);
    log_.write(LogLine("router_started")
                   .add("router", settings_.router.value())
                   .add("zone", settings_.zone.value())
                   .add("callers", callers_->address().value())
                   .text());
    return {};
}

Result<void> Gateway::startExchange()
{
    RouterExchange::Parts parts {
        settings_,
        directory_,
        prefixes_,
        log_,
        random_,
        [this] { return feed_ ? feed_->hint() : std::nullopt; },
        [this](const StorePosition &after) { return storeChanges(after); },
        [this] {
            if (feed_)
                feed_->onRouterReport();
        },
        [this](KnownServer &server, const RouterName &from) {
            onServerLeaving(server, from.value());
        },
        [this](const CrashSuspicion &suspicion, const RouterName &from) {
            return takeCrashSuspicion(suspicion, from);
        },
        [this](const PartReport &report, const RouterName &from) {
            return takePartReport(report, from);
        },
        [this] { return duties_ ? std::optional(duties_->clock()) : std::nullopt; },
        [this](const RouterName &from, Duration clock) {
            if (duties_)
                duties_->noteClock(from, clock);
        },
        [this](const DutyReport &report) {
            if (duties_)
                duties_->takeReport(report);
        },
    };
    BOOST_LEAF_ASSIGN(exchange_, RouterExchange::create(loop_, std::move(parts)));
    return {};
}

StorePlan::Limits Gateway::planLimits() const
{
    const auto bound = std::min(settings_.configurationBound, settings_.leavingBound);
    const auto maxCopyAge = std::max<Duration>(bound - kSendingTime, bound / 2);
    const Duration unbounded =
        settings_.stabilityWindow - StoreOutages::kRecoveryTime - StoredItems::kMaxReadTime;
    const StoreOutages::Limits outages { std::chrono::duration_cast<Duration>(
                                             settings_.serverHeartbeat * kMinOutageHeartbeats),
                                         maxCopyAge + std::max(unbounded, Duration::zero()) };
    return { settings_.storePollInterval, maxCopyAge, kStoreCallTimeout, outages };
}

std::optional<StoreChanges> Gateway::storeChanges(const StorePosition &after) const
{
    if (!feed_ || !feed_->mirror().isComplete() || !feed_->mirror().freshAt())
        return std::nullopt;
    return feed_->mirror().changesAfter(after, uptime());
}

// Requests are placed only if the copy of the store is fresh, so that changed routes and leaving
// servers are noticed in time. A router that is cut off uses a stale copy as well.
bool Gateway::mayUseStoreCopy()
{
    if (configurationAge() <= planLimits().maxCopyAge || feed_->isCutOff())
        return true;
    feed_->refresh();
    return false;
}

void Gateway::onLoadChanged()
{
    if (!waiting_.empty() && !waitingTimer_.isActive())
        waitingTimer_.startOnce(Duration::zero());
    exchange_->scheduleReport();
}

void Gateway::onConfiguration(const std::string &text)
{
    handleErrors(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(configuration, formats_.decodeConfiguration(text));
            // An older version is never adopted, even if the store returns one.
            if (table_ && configuration.version <= table_->version())
                return {};
            table_ = std::make_shared<const RoutingTable>(std::move(configuration));
            applyLimits();
            directory_.setPools(table_->poolNames());
            if (startPace_)
                startPace_->noteConfiguration(monotonicNow());
            log_.write(LogLine("configuration_adopted")
                           .add("version", table_->version().value())
                           .add("routes", table_->configuration().routes.size())
                           .text());
            return {};
        },
        [&](const Error &error) {
            log_.write(LogLine("configuration_rejected").add("error", error.message).text());
        });
}

void Gateway::applyLimits()
{
    const auto &limits = table_->configuration().limits;
    if (!limits)
        return;
    auto applied = *limits;
    applied.maxConnections = maxCallers();
    applied.maxFields = kMaxFields;
    applied.replacesIdle = true;
    callers_->setLimits(applied);
}

std::size_t Gateway::maxCallers() const
{
    // Their fixed costs must leave memory for requests.
    constexpr double kMemoryShare = 0.625;
    const auto byMemory = static_cast<double>(clientMemory_.limits().totalBytes) * kMemoryShare
        / static_cast<double>(ClientMemory::kConnectionBytes);
    const auto byDescriptors = static_cast<double>(descriptors(settings_)) * kCallerShare;
    return static_cast<std::size_t>(std::min(byMemory, byDescriptors));
}

void Gateway::logClientLosses()
{
    std::uint64_t all = 0;
    LogLine line("clients_turned_away");
    for (std::size_t i = 0; i < kClientLossNames.size(); ++i) {
        const auto count = clientMemory_.losses(static_cast<ClientLoss>(i));
        all += count;
        line.add(kClientLossNames[i], count);
    }
    if (all == std::exchange(loggedLosses_, all))
        return;
    log_.write(line.add("held_bytes", clientMemory_.heldBytes())
                   .add("waiting", clientMemory_.waitingCount())
                   .add("connections", callers_->connectionCount())
                   .text());
}

void Gateway::setClientGauges()
{
    for (std::size_t i = 0; i < kClientChargeNames.size(); ++i) {
        metrics_.setGauge(
            "crocusport_client_" + std::string(kClientChargeNames[i]) + "_bytes",
            "Memory that is reserved for callers, by kind.",
            static_cast<double>(clientMemory_.heldBytes(static_cast<ClientCharge>(i))));
    }
    for (std::size_t i = 0; i < kClientLossNames.size(); ++i) {
        metrics_.setGauge("crocusport_clients_" + std::string(kClientLossNames[i]),
                          "Callers that were refused or closed since the start, by reason.",
                          static_cast<double>(clientMemory_.losses(static_cast<ClientLoss>(i))));
    }
    metrics_.setGauge("crocusport_clients_waiting", "Requests that wait for memory.",
                      static_cast<double>(clientMemory_.waitingCount()));
    metrics_.setGauge("crocusport_caller_connections", "Open connections of callers.",
                      static_cast<double>(callers_->connectionCount()));
}

void Gateway::updateServer(const ServerEntry &entry)
{
    const auto known = directory_.findRetained(serverHash(entry.name));
    const auto before = known ? std::optional(known->entry) : std::nullopt;
    directory_.update(entry, monotonicNow());
    if (known)
        onServerChanged(*known);
    const auto after = directory_.find(entry.name);
    if (before && before->start != entry.start)
        prefixes_.removeServer(after->hash);
    if (startPace_)
        startPace_->noteServer(*after, monotonicNow());
    exchange_->refreshLoads();
    LogLine line("server_changed");
    line.add("server", entry.name.value())
        .add("address", entry.address.value())
        .add("usable", after->isUsable())
        .add("start", entry.start.value())
        .add("sequence", entry.sequence);
    if (!after->isUsable())
        describeLastPlacement(line, *after);
    log_.write(line.text());
}

void Gateway::removeServer(const BackendServerName &name)
{
    const auto server = directory_.find(name);
    if (!server)
        return;
    backends_.closeIdle(server->entry.address);
    directory_.remove(name, monotonicNow());
    onServerChanged(*server);
    LogLine line("server_removed");
    line.add("server", name.value());
    describeLastPlacement(line, *server);
    log_.write(line.text());
}

void Gateway::expireServers(Instant now)
{
    for (const auto &server : directory_.expire(now)) {
        prefixes_.removeServer(server->hash);
        if (startPace_)
            startPace_->removeServer(server->entry.name);
    }
}

void Gateway::noteRequestSent(KnownServer &server)
{
    const auto age = configurationAge();
    server.lastPlacement = { monotonicNow(), age, feed_->plan().isStoreFailing() };
    const auto heldFor = storedItems_->removalHeldFor(server.entry.name, uptime());
    if (!heldFor)
        return;
    LogLine line("sent_to_removed_server");
    line.add("server", server.entry.name.value())
        .add("held_ms", wholeMs(*heldFor))
        .add("copy_age_ms", wholeMs(age))
        .add("store_failing", feed_->plan().isStoreFailing());
    StoredItems::describeConfirmation(line, feed_->mirror());
    log_.write(line.text());
}

void Gateway::describeLastPlacement(LogLine &line, const KnownServer &server) const
{
    StoredItems::describeConfirmation(line, feed_->mirror());
    if (!server.lastPlacement)
        return;
    const auto &placement = *server.lastPlacement;
    line.add("last_sent_ms_ago", wholeMs(monotonicNow() - placement.at))
        .add("sent_copy_age_ms", wholeMs(placement.copyAge))
        .add("sent_store_failing", placement.isStoreFailing);
}

void Gateway::onServerChanged(const KnownServer &server)
{
    if (!server.hasCrashed())
        return;
    const auto &entry = server.entry;
    for (const auto &run : unanswered_.take(entry.name, entry.start, monotonicNow()))
        noteCrashedRun(run);
}

void Gateway::onServerLeaving(KnownServer &server, std::string_view source)
{
    if (std::exchange(server.isLeaving, true))
        return;
    backends_.closeIdle(server.entry.address);
    log_.write(LogLine("server_leaving")
                   .add("server", server.entry.name.value())
                   .add("source", source)
                   .text());
    exchange_->scheduleReport();
}

void Gateway::noteCrashedRun(const CrashedRun &run)
{
    takeCrashSuspicion(run.request, settings_.router);
    exchange_->noteCrashSuspicion(run.request);
    // A server that had begun to answer a part was not crashed by it.
    if (run.request.evidence != CrashEvidence::BeforeAnswer)
        return;
    for (const auto part : run.parts) {
        const PartReport report { PartVerdict::Suspected, part, { run.request.crash }, 0 };
        if (takePartReport(report, settings_.router))
            exchange_->notePartReport({ PartVerdict::Suspected, part, parts_.crashes(part), 0 });
    }
}

bool Gateway::takePartReport(const PartReport &report, const RouterName &source)
{
    const auto now = monotonicNow();
    bool isNew = false;
    switch (report.verdict) {
    case PartVerdict::Suspected:
        for (const auto &crash : report.crashes) {
            const auto effect = parts_.suspect(report.part, crash, now);
            applyPartEffect(report, effect, source);
            isNew = isNew || effect.isNew;
        }
        return isNew;
    case PartVerdict::Refused: {
        const auto effect = parts_.refuse(report.part, report.crashes, now);
        applyPartEffect(report, effect, source);
        isNew = effect.isNew;
        break;
    }
    case PartVerdict::Cleared:
        isNew = parts_.clear(report.part, report.crashes, now);
        if (isNew)
            logPartReport(report, source);
        return isNew;
    case PartVerdict::Tried:
        return parts_.noteTrial(report.part, report.trials, now);
    }
    // The sender of the refusal has not received the report that clears the part.
    const auto cleared = parts_.clearedOf(report.part, report.crashes);
    if (!cleared.empty())
        exchange_->notePartReport({ PartVerdict::Cleared, report.part, cleared, 0 });
    return isNew;
}

void Gateway::applyPartEffect(const PartReport &report, const PartCrashLedger::Effect &effect,
                              const RouterName &source)
{
    const auto now = monotonicNow();
    if (effect.isNew && !effect.isNewlyRefused)
        logPartReport(report, source);
    // Requests that were running beside the cause are no longer suspected.
    for (const auto &crash : effect.attributed)
        crashes_.dismiss(crash, now);
    if (effect.isNewlyRefused)
        announceRefusedPart(report.part);
}

void Gateway::announceRefusedPart(Fingerprint part)
{
    const PartReport refusal { PartVerdict::Refused, part, parts_.crashes(part), 0 };
    for (const auto &crash : refusal.crashes)
        crashes_.dismiss(crash, monotonicNow());
    logPartReport(refusal, settings_.router);
    exchange_->notePartReport(refusal);
    partRecords_->noteRefused(part, monotonicNow());
}

void Gateway::logPartReport(const PartReport &report, const RouterName &source)
{
    log_.write(LogLine("prompt_part")
                   .add("verdict", partVerdictName(report.verdict))
                   .add("part", report.part.value())
                   .add("crash", report.crashes.empty() ? "" : report.crashes.back())
                   .add("crashes", parts_.crashCount(report.part))
                   .add("trials", report.trials)
                   .add("source", source.value())
                   .text());
}

void Gateway::notePartsAnswered(const std::vector<Fingerprint> &parts)
{
    for (const auto part : parts) {
        const PartReport report { PartVerdict::Cleared, part,
                                  parts_.noteAnswered(part, monotonicNow()), 0 };
        if (report.crashes.empty())
            continue;
        logPartReport(report, settings_.router);
        exchange_->notePartReport(report);
    }
}

// Routers that know of no trial of each other take their turns, so that only the first one sends a
// request of a part that many callers use.
bool Gateway::isTrialDue(const std::vector<Fingerprint> &parts) const
{
    const auto now = monotonicNow();
    const auto until = parts_.refusedUntil(parts, now);
    if (!until || !parts_.isTrialMeaningful(parts))
        return false;
    const auto &routers = exchange_->routers();
    const auto delay = kTrialRankDelay * static_cast<int>(routers.rank(uptime()))
        + kTrialZoneDelay * static_cast<int>(routers.zoneRank());
    return now >= *until + std::min<Duration>(delay, kMaxTrialDelay);
}

void Gateway::noteTrial(const std::vector<Fingerprint> &parts)
{
    for (const auto &report : parts_.startTrial(parts, monotonicNow())) {
        logPartReport(report, settings_.router);
        exchange_->notePartReport(report);
        exchange_->report();
    }
}

bool Gateway::takeCrashSuspicion(const CrashSuspicion &suspicion, const RouterName &source)
{
    if (!crashes_.add(suspicion.fingerprint, suspicion.crash, monotonicNow(), suspicion.evidence))
        return false;
    log_.write(LogLine("crash_suspected")
                   .add("fingerprint", suspicion.fingerprint.value())
                   .add("crash", suspicion.crash)
                   .add("crashes", crashes_.crashCount(suspicion.fingerprint))
                   .add("source", source.value())
                   .text());
    if (crashes_.refusedUntil(suspicion.fingerprint, monotonicNow()))
        crashRecords_->noteRefused(suspicion.fingerprint, monotonicNow());
    return true;
}

void Gateway::onEraEnded()
{
    log_.write(LogLine("store_restored")
                   .add("era", feed_->mirror().era().value())
                   .add("copy_era", feed_->mirror().position().era.value())
                   .add("copy_revision", feed_->mirror().position().revision)
                   .text());
    if (duties_)
        duties_->endEra();
}

void Gateway::onItemLost(const std::string &key, const std::string &value)
{
    storedItems_->noteLost(key, feed_->mirror(), uptime());
    if (duties_)
        duties_->noteLost(key, value);
}

Duration Gateway::configurationAge() const
{
    const auto freshAt = feed_ ? feed_->mirror().freshAt() : std::nullopt;
    return freshAt ? uptime() - *freshAt : Duration::max();
}

RetryWindow &Gateway::retryWindow(const PoolName &pool)
{
    const RetryLimits limits { settings_.retryRatio, settings_.retrySlack, settings_.retryWindow };
    return retryWindows_.try_emplace(pool, limits, startedAt_).first->second;
}

bool Gateway::isReady() const
{
    if (stopRequestedAt_ || !table_ || !feed_->mirror().isComplete())
        return false;
    return !table_->requiresKeys() || !settings_.isRevocationStrict
        || toSeconds(configurationAge()) < kReadyAgeShare * toSeconds(settings_.revocationBound);
}

void Gateway::answerReady(HttpExchange &exchange) const
{
    if (exchange.path() != formats_.readyTarget())
        exchange.reply(kNotFound, {}, "");
    else
        exchange.reply(isReady() ? kOk : kUnavailable, {}, "");
}

void Gateway::setAdmissionGauges()
{
    const auto &counts = admission_.counts();
    metrics_.setGauge("crocusport_waiting_requests", "Requests that wait for a backend server.",
                      static_cast<double>(waiting_.size()));
    for (std::size_t i = 0; i < counts.refused.size(); ++i) {
        const auto name = holdReasonName(static_cast<HoldReason>(i));
        const std::string reason(i == 0 ? "full" : name);
        metrics_.setGauge("crocusport_refused_" + reason,
                          "Requests refused for the reason " + reason + " since the start.",
                          static_cast<double>(counts.refused.at(i)));
    }
    metrics_.setGauge("crocusport_sent_under_pressure",
                      "Requests sent since the start while others of their kind were held.",
                      static_cast<double>(counts.sentUnderPressure));
    metrics_.setGauge("crocusport_returned_requests",
                      "Requests that came back after a refusal since the start.",
                      static_cast<double>(counts.returned));
}

void Gateway::answerMetrics(HttpExchange &exchange)
{
    setAdmissionGauges();
    metrics_.setGauge("crocusport_open_requests", "Requests without their final answer.",
                      static_cast<double>(services_.open.size()));
    metrics_.setGauge("crocusport_backend_servers", "Registered backend servers.",
                      static_cast<double>(directory_.size()));
    metrics_.setGauge("crocusport_held_removals",
                      "Backend servers that are used although their entries were removed.",
                      static_cast<double>(storedItems_->heldRemovals()));
    metrics_.setGauge("crocusport_outdated_entries",
                      "Entries of backend servers not applied because a later one was read before.",
                      static_cast<double>(storedItems_->outdatedWrites()));
    metrics_.setGauge("crocusport_store_revision", "Revision up to which the store was read.",
                      static_cast<double>(feed_->mirror().position().revision));
    metrics_.setGauge("crocusport_store_relevant_revision",
                      "Revision of the last change that other routers are told of.",
                      static_cast<double>(feed_->mirror().relevantPosition().revision));
    metrics_.setGauge("crocusport_store_era", "Latest known era of the store.",
                      static_cast<double>(feed_->mirror().era().value()));
    metrics_.setGauge("crocusport_store_restorations",
                      "How often the store was restored from an older copy since the start.",
                      static_cast<double>(feed_->endedEras()));
    metrics_.setGauge("crocusport_members", "Known routers, with this one.",
                      static_cast<double>(exchange_->routers().fleetSize()));
    metrics_.setGauge("crocusport_configuration_version", "Version of the configuration in force.",
                      table_ ? static_cast<double>(table_->version().value()) : 0);
    metrics_.setGauge("crocusport_configuration_age_seconds",
                      "Time since the configuration was surely the newest.",
                      feed_->mirror().freshAt() ? toSeconds(configurationAge()) : -1);
    metrics_.setGauge("crocusport_log_lines_dropped", "Log lines dropped since the start.",
                      static_cast<double>(log_.droppedLines()));
    metrics_.setGauge("crocusport_store_calls", "Calls to the store since the start.",
                      static_cast<double>(feed_->storeCalls() + registration_->calls()
                                          + crashRecords_->calls() + partRecords_->calls()
                                          + (duties_ ? duties_->storeCalls() : 0)));
    metrics_.setGauge("crocusport_router_questions",
                      "Questions to other routers for what the store holds.",
                      static_cast<double>(feed_->routerCalls()));
    metrics_.setGauge("crocusport_answer_memory_bytes",
                      "Shared memory that answers hold which cannot be passed on yet.",
                      static_cast<double>(answerMemory_.borrowedBytes()));
    metrics_.setGauge("crocusport_refused_fingerprints",
                      "Requests that are refused because servers crashed while they ran.",
                      static_cast<double>(crashes_.refusedCount(monotonicNow())));
    metrics_.setGauge("crocusport_refused_prompt_parts",
                      "Prompt parts whose requests are refused because they crash servers.",
                      static_cast<double>(parts_.refusedCount()));
    metrics_.setGauge("crocusport_suspected_prompt_parts",
                      "Prompt parts that were running in a crash and were not answered since.",
                      static_cast<double>(parts_.suspectCount()));
    metrics_.setGauge("crocusport_stray_answers",
                      "Connections to backend servers closed because of bytes after an answer.",
                      static_cast<double>(backends_.strayConnections()));
    metrics_.setGauge("crocusport_exchange_misuses",
                      "Answers to callers that were dropped because a step came out of order.",
                      static_cast<double>(exchangeMisuses()));
    metrics_.setGauge("crocusport_callback_failures", "Callbacks that ended with an exception.",
                      static_cast<double>(callbackFailures()));
    if (startPace_)
        metrics_.setGauge("crocusport_start_windows",
                          "Backend servers whose requests are limited because they are new.",
                          static_cast<double>(startPace_->windows()));
    if (duties_)
        duties_->describe(metrics_);
    if (orders_)
        orders_->describe(metrics_);
    setClientGauges();
    exchange.reply(kOk, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics_.text());
}

void Gateway::tick()
{
    const auto now = monotonicNow();
    storedItems_->tick(feed_->mirror(), uptime());
    if (now - startedAt_ >= kMaxStartWait && !stopRequestedAt_)
        callers_->resumeAccepting();
    exchange_->tick(now);
    if (startPace_)
        startPace_->tick(exchange_->routers().fleetSize(), now);
    if (duties_)
        duties_->tick();
    if (orders_ && table_)
        orders_->tick(*table_, now);
    // Until the other routers are known, at least the seeds count.
    admission_.setFleet(std::max(exchange_->routers().fleetSize(), settings_.seeds.size()),
                        exchange_->loads().hasReports(now), now);
    updateRegistration();
    if (feed_->mirror().isComplete()) {
        const auto rank = exchange_->routers().rank(uptime());
        crashRecords_->update(rank, now);
        partRecords_->update(rank, now);
    }
    if (!waiting_.empty() && !waitingTimer_.isActive())
        waitingTimer_.startOnce(Duration::zero());
    if (now >= nextHousekeeping_) {
        nextHousekeeping_ = now + kHousekeepingInterval;
        logClientLosses();
        expireServers(now);
        prefixes_.expire(now);
        crashes_.expire(now);
        parts_.expire(now);
        admission_.expire(now);
        // For routers that have just started, or that have missed the reports.
        for (const auto &refusal : parts_.nextRefusals(kMaxReminders))
            exchange_->notePartReport(refusal);
    }
    if (stopRequestedAt_)
        continueShutdown();
}

void Gateway::updateRegistration()
{
    const auto boot = uptime();
    if (!feed_->mirror().isComplete() || monotonicNow() - startedAt_ < kDiscoveryTime
        || stopRequestedAt_)
        return;
    const auto rank = exchange_->routers().rank(boot);
    const auto silentRouters = rank == 0
        ? exchange_->routers().silentRegisteredRouters(kMaxEntrySilence, boot)
        : std::vector<RouterName>();
    registration_->update(feed_->mirror(), rank < kRegisteredRouters, silentRouters, boot);
}

void Gateway::reload(const GatewaySettings &settings)
{
    settings_.revocationBound = settings.revocationBound;
    settings_.isRevocationStrict = settings.isRevocationStrict;
    settings_.configurationBound = settings.configurationBound;
    settings_.leavingBound = settings.leavingBound;
    settings_.serverHeartbeat = settings.serverHeartbeat;
    settings_.stabilityWindow = settings.stabilityWindow;
    settings_.retryRatio = settings.retryRatio;
    settings_.retrySlack = settings.retrySlack;
    settings_.shutdownGrace = settings.shutdownGrace;
    feed_->setLimits(planLimits());
    log_.write(LogLine("settings_reloaded").text());
}

void Gateway::shutDown()
{
    if (stopRequestedAt_)
        return;
    stopRequestedAt_ = monotonicNow();
    services_.isShuttingDown = true;
    callers_->closeAfterResponses();
    if (duties_)
        duties_->giveUp();
    log_.write(LogLine("shutdown_started").add("open", services_.open.size()).text());
}

void Gateway::continueShutdown()
{
    const auto elapsed = monotonicNow() - *stopRequestedAt_;
    // New requests arrive and are served until the load balancer has noticed the unready state.
    if (elapsed < kAcceptAfterStop)
        return;
    callers_->stopAccepting();
    services_.isStopping = elapsed >= kServeAfterStop;
    if (elapsed >= settings_.shutdownGrace - kStopMargin) {
        for (const auto &request : std::vector(services_.open.begin(), services_.open.end()))
            request->stop();
    }
    const bool isIdle = services_.open.empty() && callers_->connectionCount() == 0;
    if (!isIdle && elapsed < settings_.shutdownGrace - kExitMargin)
        return;
    log_.write(LogLine("shutdown_finished").add("open", services_.open.size()).text());
    if (duties_)
        duties_->sendCounts();
    exchange_->reportShutdown();
    loop_.stop();
}

} // namespace crocusport
