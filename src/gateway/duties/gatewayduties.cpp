#include "gatewayduties.h"

#include "logline.h"
#include "numbertext.h"
#include "uptime.h"

#include <algorithm>
#include <random>
#include <utility>

namespace crocusport {

namespace {

const std::string kHolderKey = "crocusport/duties/holder";
const std::string kUsagePrefix = "crocusport/usage/";
// A killed router loses at most the counts of this time: a tenth of its share of a window of 5 s.
constexpr Duration kSendInterval = std::chrono::milliseconds(500);
constexpr Duration kDutyCallTimeout = std::chrono::milliseconds(1500);
// Reports may use half of the calls that the platform accepts, and orders the other half.
constexpr double kCallShare = 0.5;
// Counts of windows that have not begun by this router's clock, which may be slow.
constexpr UsageWindow kMaxFutureWindows = 2;
// Whether a request that was retried or resumed at another server after it had begun to run counts
// again, since both servers ran it.
constexpr bool kCountsRepeats = true;
const TeamName kLimiterName("orders");

Incarnation randomIncarnation()
{
    std::random_device random;
    return Incarnation((std::uint64_t { random() } << 31) ^ random());
}

Duration wallClock()
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::system_clock::now().time_since_epoch());
}

std::string usageKey(UsageWindow window)
{
    return kUsagePrefix + std::to_string(window);
}

//! Returns the router's address in the owner's name, which GatewayDuties has made.
SocketAddress addressOf(const std::string &owner)
{
    const auto space = owner.rfind(' ');
    return SocketAddress(space == std::string::npos ? std::string() : owner.substr(space + 1));
}

} // namespace

GatewayDuties::GatewayDuties(const Parts &parts)
    : parts_(parts), incarnation_(randomIncarnation()),
      owner_(parts_.settings.router.value() + ' ' + parts_.exchange.self().address.value()),
      trueTime_(wallClock(), uptime()), knownSince_(trueTime_.now(uptime())),
      reports_({ parts_.settings.duties.usageWindow, parts_.settings.duties.usageDelay }),
      store_(parts_.client, parts_.formats, parts_.settings.store,
             { [this] { return parts_.mirror.era(); }, parts_.noteEra }),
      calls_(parts_.client),
      holder_(store_, kHolderKey, owner_, incarnation_,
              std::chrono::floor<Milliseconds>(parts_.settings.duties.lease), bootNow())
{
    Team limit;
    limit.name = kLimiterName;
    limit.requestsPerSecond = parts_.settings.duties.callsPerSecond * kCallShare;
    orderLimiter_.setTeams({ { kLimiterName, limit } });
}

bool GatewayDuties::isUsageKey(const std::string &key)
{
    return key.starts_with(kUsagePrefix);
}

Instant GatewayDuties::bootNow()
{
    return Instant(uptime());
}

Duration GatewayDuties::trueNow() const
{
    return trueTime_.now(uptime());
}

Duration GatewayDuties::clock() const
{
    return trueTime_.own(uptime());
}

void GatewayDuties::noteClock(const RouterName &router, Duration clock)
{
    trueTime_.noteClock(router, clock, uptime());
}

DutyAuthority GatewayDuties::authority(FencingToken token) const
{
    return { parts_.settings.router, token };
}

void GatewayDuties::noteBegan(const TeamName &team, bool isRepeat)
{
    if (isRepeat && !kCountsRepeats)
        return;
    if (parts_.settings.duties.reportsUsage && !team.value().empty())
        counter_.note(team, reports_.windowAt(trueNow()));
}

void GatewayDuties::noteSent(const PoolName &pool, const ServerLoad &load)
{
    auto &demand = demand_[pool];
    ++demand.requests;
    demand.prefillTokens += load.prefillTokens;
}

void GatewayDuties::noteOutput(const PoolName &pool, std::uint64_t count)
{
    demand_[pool].outputTokens += count;
}

void GatewayDuties::tick()
{
    const auto now = bootNow();
    const auto keyValue = parts_.mirror.value(kHolderKey);
    const auto &routers = parts_.exchange.routers();
    holder_.tick({ parts_.mirror.isComplete(), keyValue, routers.rank(uptime()), routers.zoneRank(),
                   isStopping_ },
                 now);
    noteHolder(keyValue, now);
    const auto oldest = reports_.oldestWindow(trueNow());
    counter_.dropBefore(oldest);
    ledger_.dropBefore(oldest);
    lostTexts_.erase(lostTexts_.begin(), lostTexts_.lower_bound(oldest));
    if (now >= sendAt_)
        sendCounts();
    if (parts_.settings.duties.reportsUsage && mayAct() && now >= reportAt_)
        reportNext(now);
}

void GatewayDuties::giveUp()
{
    isStopping_ = true;
    holder_.release(bootNow());
    noteHolder(parts_.mirror.value(kHolderKey), bootNow());
}

// The older copy may lack texts that were sent. Whoever reports their windows must send the same.
void GatewayDuties::endEra()
{
    for (const auto &[window, text] : reports_.texts()) {
        lostTexts_.insert_or_assign(window, text);
        store_.compareAndSwap({ usageKey(window), text, 0, std::nullopt },
                              [](const AsyncResult<SwapReply> & /*result*/) {});
    }
    hasEraEnded_ = holder_.isHeld();
    holder_.endEra(bootNow());
    noteHolder(parts_.mirror.value(kHolderKey), bootNow());
}

void GatewayDuties::noteLost(const std::string &key, const std::string &value)
{
    if (!isUsageKey(key))
        return;
    if (const auto window =
            parseNumber<UsageWindow>(std::string_view(key).substr(kUsagePrefix.size())))
        lostTexts_.emplace(*window, value);
}

void GatewayDuties::noteHolder(const std::optional<std::string> &keyValue, Instant now)
{
    const auto owner = DutyHolder<DutyStore>::ownerOf(keyValue.value_or(""));
    if (std::exchange(holderOwner_, owner) != owner) {
        counter_.restartSending();
        sendAt_ = now;
        parts_.log.write(
            LogLine("duty_holder_changed").add("holder", owner.substr(0, owner.rfind(' '))).text());
    }
    if (std::exchange(isHolder_, holder_.isHeld()) == holder_.isHeld())
        return;
    if (isHolder_) {
        counter_.restartSending();
        const auto token = holder_.token(now);
        parts_.log.write(
            LogLine("duties_acquired").add("token", token ? token->value() : 0).text());
        return;
    }
    reports_.reset();
    ledger_.clear();
    parts_.log.write(LogLine("duties_ended")
                         .add("reason",
                              isStopping_                              ? "stopping"
                                  : std::exchange(hasEraEnded_, false) ? "store_restored"
                                  : std::exchange(wasRefused_, false)  ? "refused"
                                                                       : "lease")
                         .text());
}

std::map<PoolName, PoolDemand> GatewayDuties::currentDemand() const
{
    auto demand = demand_;
    parts_.servers.forEach([&](const ServerDirectory::ServerPointer &server) {
        if (server->own.requests > 0)
            demand[server->entry.pool].running += server->own.requests;
    });
    return demand;
}

DutyReport GatewayDuties::makeReport()
{
    DutyReport report { parts_.settings.router, incarnation_, sequence_, {}, {} };
    report.counts = counter_.nextToSend(
        [this](UsageWindow window) { return parts_.mirror.value(usageKey(window)).has_value(); });
    if (parts_.settings.duties.ordersServers)
        report.demand = currentDemand();
    return report;
}

void GatewayDuties::sendCounts()
{
    const auto address = addressOf(holderOwner_);
    if (!isHolder_ && (holderOwner_ == owner_ || address.value().empty()))
        return;
    sendAt_ = bootNow() + kSendInterval;
    auto report = makeReport();
    if (isHolder_) {
        ++report.sequence;
        ++sequence_;
        takeReport(report);
    } else {
        sequence_ += parts_.exchange.sendDutyReport(address, report);
    }
}

// Reports are taken also before this router knows that its claim has succeeded.
void GatewayDuties::takeReport(const DutyReport &report)
{
    const auto newest = reports_.windowAt(trueNow()) + kMaxFutureWindows;
    const auto oldest = reports_.oldestWindow(trueNow());
    for (const auto &counts : report.counts) {
        if (counts.window >= oldest && counts.window <= newest)
            ledger_.merge(report.router, report.incarnation, counts);
    }
    auto &[incarnation, sequence] = sequences_[report.router];
    if (incarnation == report.incarnation && report.sequence <= sequence)
        return;
    incarnation = report.incarnation;
    sequence = report.sequence;
    if (!onDemand_)
        return;
    for (const auto &[pool, demand] : report.demand)
        onDemand_(report.router, pool, demand);
}

void GatewayDuties::reportNext(Instant now)
{
    const auto step = reports_.next(
        { trueNow(), now, holder_.heldSince(), knownSince_, ledger_,
          [this](UsageWindow window) { return parts_.mirror.value(usageKey(window)); },
          [this](UsageWindow window) {
              const auto found = lostTexts_.find(window);
              return found == lostTexts_.end() ? std::nullopt : std::optional(found->second);
          } });
    if (!step)
        return;
    switch (step->action) {
    case UsageReports::Action::Write:
        writeText(step->window,
                  step->text.empty() ? parts_.formats.usageBody({ step->window, step->counts })
                                     : step->text);
        return;
    case UsageReports::Action::Send:
        sendText(step->window, step->text);
        return;
    case UsageReports::Action::Remove:
        store_.remove(usageKey(step->window));
        reports_.noteRemoved();
        return;
    }
}

void GatewayDuties::writeText(UsageWindow window, const std::string &text)
{
    store_.compareAndSwap({ usageKey(window), text, 0, std::nullopt },
                          [this, window, text](const AsyncResult<SwapReply> &result) {
                              const auto *const reply = std::get_if<SwapReply>(&result);
                              if (reply && reply->isSwapped)
                                  reports_.noteWritten(window, text);
                              else if (reply && reply->current)
                                  reports_.noteWritten(window, reply->current->value);
                              else
                                  reports_.noteStoreFailure(window, bootNow());
                              if (mayAct() && bootNow() >= reportAt_)
                                  reportNext(bootNow());
                          });
}

void GatewayDuties::sendText(UsageWindow window, const std::string &text)
{
    const auto rate = std::max(parts_.settings.duties.callsPerSecond * kCallShare, 1.0);
    reportAt_ =
        bootNow() + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
    const auto token = startCall(
        Duty::Usage,
        [&](const DutyAuthority &authority) { return parts_.formats.usageCall(text, authority); },
        [this, window](FencingToken token, DutyOutcome outcome) {
            onReportEnd(window, token, outcome);
        });
    if (!token)
        reports_.noteSent(window, DutyOutcome::NoResponse, trueNow(), bootNow());
}

void GatewayDuties::onReportEnd(UsageWindow window, FencingToken token, DutyOutcome outcome)
{
    const auto now = bootNow();
    const auto end = parts_.settings.duties.usageWindow * static_cast<std::int64_t>(window + 1);
    reports_.noteSent(window, outcome, trueNow(), now);
    if (outcome == DutyOutcome::Accepted)
        ledger_.drop(window);
    parts_.log.write(
        LogLine("usage_report")
            .add("window", window)
            .add("token", token.value())
            .add("outcome", dutyOutcomeName(outcome))
            .add("after_end_ms", std::chrono::duration_cast<Milliseconds>(trueNow() - end).count())
            .text());
    if (outcome != DutyOutcome::Refused || holder_.token(now) != token)
        return;
    // Another router has used a higher token.
    wasRefused_ = true;
    holder_.release(now);
}

std::optional<FencingToken>
GatewayDuties::startCall(Duty duty,
                         const std::function<HttpCallRequest(const DutyAuthority &)> &makeCall,
                         std::function<void(FencingToken, DutyOutcome)> onEnd)
{
    const auto token = holder_.token(bootNow());
    if (!token)
        return std::nullopt;
    auto request = makeCall(authority(*token));
    request.address = parts_.settings.duties.address;
    calls_.start(
        std::move(request), kDutyCallTimeout,
        [this, token] { return holder_.token(bootNow()) == token; },
        [this, duty, token, onEnd = std::move(onEnd)](const HttpCallEnd &end,
                                                      const CallResponse & /*response*/) {
            const auto outcome = dutyOutcome(end.failure == HttpFailure::None ? end.status : 0);
            ++outcomes_.at(static_cast<std::size_t>(duty)).at(static_cast<std::size_t>(outcome));
            onEnd(*token, outcome);
        });
    return token;
}

bool GatewayDuties::sendOrder(const ServerOrder &order, OrderHandler onEnd)
{
    if (!mayAct() || orderLimiter_.request(kLimiterName, bootNow()))
        return false;
    return startCall(
               Duty::Order,
               [&](const DutyAuthority &authority) {
                   return parts_.formats.orderCall(order, authority);
               },
               [this, order, onEnd = std::move(onEnd)](FencingToken token, DutyOutcome outcome) {
                   parts_.log.write(LogLine("server_order")
                                        .add("pool", order.pool.value())
                                        .add("zone", order.zone.value())
                                        .add("spot", order.isSpot ? "true" : "false")
                                        .add("count", order.count)
                                        .add("token", token.value())
                                        .add("outcome", dutyOutcomeName(outcome))
                                        .text());
                   onEnd(outcome);
               })
        .has_value();
}

void GatewayDuties::describe(RequestMetrics &metrics) const
{
    const auto token = holder_.token(bootNow());
    metrics.setGauge("crocusport_duty_holder", "Whether this router holds the duties.",
                     isHolder_ ? 1 : 0);
    metrics.setGauge("crocusport_duty_token",
                     "Fencing token of this router; 0 if it may make no duty call.",
                     token ? static_cast<double>(token->value()) : 0);
    metrics.setGauge("crocusport_usage_reports_sent", "Usage reports that the platform accepted.",
                     static_cast<double>(reports_.sentCount()));
    metrics.setGauge("crocusport_usage_reports_late", "Usage reports accepted after their time.",
                     static_cast<double>(reports_.lateCount()));
    metrics.setGauge("crocusport_usage_reports_missing",
                     "Usage windows that this router could not report in time as the holder.",
                     static_cast<double>(reports_.missingCount()));
    metrics.setGauge("crocusport_clock_correction_seconds",
                     "Correction of this host's clock by the clocks of other routers.",
                     toSeconds(trueTime_.correction()));
    static constexpr std::array<const char *, kDuties> kNames { "usage", "order" };
    for (std::size_t duty = 0; duty < kDuties; ++duty) {
        for (std::size_t outcome = 0; outcome < kOutcomes; ++outcome)
            metrics.setGauge(std::string("crocusport_duty_") + kNames.at(duty) + "_calls_"
                                 + dutyOutcomeName(static_cast<DutyOutcome>(outcome)),
                             "Duty calls to the platform by outcome.",
                             static_cast<double>(outcomes_.at(duty).at(outcome)));
    }
}

} // namespace crocusport
