#include "routerexchange.h"

#include "logline.h"
#include "numbertext.h"
#include "uptime.h"

#include "crocusport/transport/eventloop.h"

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

// Other routers keep few connections open; at the limit the longest idle one gives way.
constexpr std::size_t kMaxQueryConnections = 128;

constexpr Duration kHousekeepingInterval = std::chrono::seconds(1);
// Routers whose load does not change report at this interval, as a heartbeat.
constexpr Duration kIdleReportInterval = std::chrono::milliseconds(500);
// With this, reports in a zone of 40 routers use about 3 % of links of 20 Mbit/s.
constexpr Duration kReportIntervalPerRouter = std::chrono::milliseconds(4);
// Links between zones are expensive. Interval of reports to other zones, and of those reports that
// include prompt prefixes.
constexpr Duration kZoneReportInterval = std::chrono::milliseconds(300);
constexpr Duration kZonePromptPrefixInterval = std::chrono::seconds(1);
// Interval between queries for neighbours. It doubles with each query, from twice the minimum to
// the maximum. The later queries connect groups of routers that have not discovered each other.
constexpr Duration kMinQueryInterval = std::chrono::milliseconds(100);
constexpr Duration kMaxQueryInterval = std::chrono::milliseconds(2000);
// Crash suspicions are repeated in reports for this long, since datagrams may be lost.
constexpr Duration kSuspicionRepeatTime = std::chrono::milliseconds(500);
// Long enough for several reports to other zones, which go to different routers of each zone.
constexpr Duration kZoneSuspicionRepeatTime = std::chrono::milliseconds(1500);
// Only the newest are reported; hundreds of requests may be running on a server that crashes.
constexpr std::size_t kMaxReportedSuspicions = 256;
// Reports about parts that wait to be sent.
constexpr std::size_t kMaxPartReports = 128;
// Reports about parts in one datagram; each takes about 40 bytes, and another 25 for each further
// crash. Relaying the sums of other zones takes most of a link of 10 Mbit/s.
constexpr std::size_t kMaxPartReportsToRouter = 16;
constexpr std::size_t kMaxPartReportsToZone = 8;
constexpr std::size_t kMaxReportedPromptPrefixes = 64;
constexpr std::size_t kMaxReportedPaces = 32;
constexpr double kPaceUnitsPerMs = 10;
// Maximum number of prefixes that a zone reports per kZonePromptPrefixInterval; this many take
// about 20 kB.
constexpr std::size_t kMaxZonePromptPrefixes = 1500;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

//! Returns the host of \a address with the port of \a other; all routers use the same port.
SocketAddress withPortOf(const SocketAddress &address, const SocketAddress &other)
{
    const auto host = address.value().substr(0, address.value().rfind(':'));
    return SocketAddress(host + other.value().substr(other.value().rfind(':')));
}

//! Returns the position in a query, or nothing if it is malformed. Routers of earlier versions send
//! no era; they count as readers of era 0.
std::optional<StorePosition> positionFrom(std::string_view revisionText, std::string_view eraText)
{
    const auto revision = parseNumber<StoreRevision>(revisionText);
    const auto era = parseNumber<std::uint64_t>(eraText);
    if (!revision || *revision < 0 || !era || *era > kMaxEra)
        return std::nullopt;
    return StorePosition { StoreEra(*era), *revision };
}

} // namespace

// Only the router of rank 0 sends zone reports, so the lists of the others are not sent and
// expired.
template<typename T>
void RouterExchange::add(Repeated<T> &items, const T &item, std::size_t maxCount)
{
    if (items.size() >= maxCount)
        items.pop_front();
    items.emplace_back(monotonicNow(), item);
}

template<typename T>
std::vector<T> RouterExchange::current(Repeated<T> &items, Duration maxAge, std::size_t maxCount,
                                       Instant now)
{
    while (!items.empty() && (items.front().first + maxAge < now || items.size() > maxCount))
        items.pop_front();
    std::vector<T> reported;
    for (const auto &[at, item] : items)
        reported.push_back(item);
    return reported;
}

// A part with one crash may be the cause, but many such parts are reported when many servers crash.
int RouterExchange::importance(const PartReport &report)
{
    constexpr int kDecided = 2;
    if (report.verdict == PartVerdict::Refused || report.verdict == PartVerdict::Tried)
        return kDecided;
    return report.crashes.size() > 1 ? 1 : 0;
}

std::vector<PartReport> RouterExchange::mostImportant(std::vector<PartReport> reports,
                                                      std::size_t count)
{
    std::reverse(reports.begin(), reports.end()); // The newest first.
    std::stable_sort(reports.begin(), reports.end(), [](const auto &left, const auto &right) {
        return importance(left) > importance(right);
    });
    reports.resize(std::min(reports.size(), count));
    return reports;
}

Result<std::unique_ptr<RouterExchange>> RouterExchange::create(EventLoop &loop, Parts parts)
{
    std::unique_ptr<RouterExchange> exchange(new RouterExchange(loop, std::move(parts)));
    BOOST_LEAF_CHECK(exchange->listen(loop));
    return exchange;
}

RouterExchange::RouterExchange(EventLoop &loop, Parts parts)
    : parts_(std::move(parts)), routers_(parts_.settings.router, parts_.settings.zone),
      loads_(parts_.servers, parts_.settings.zone),
      reportTimer_(loop, [this] { sendReport(false); }), reportedAt_(monotonicNow()),
      nextHousekeeping_(reportedAt_), nextQueryAt_(reportedAt_), queryInterval_(kMinQueryInterval)
{ }

// Queries (TCP) and datagrams (UDP) use the same address, so a router's entry contains only one.
Result<void> RouterExchange::listen(EventLoop &loop)
{
    const auto &settings = parts_.settings;
    const SocketAddress address(settings.ip + ':' + std::to_string(settings.reportPort));
    BOOST_LEAF_ASSIGN(queryServer_,
                      HttpServer::create(loop, address,
                                         HttpServerLimits::withoutBodies(kMaxQueryConnections),
                                         [this](const std::shared_ptr<HttpExchange> &exchange) {
                                             answerQuery(*exchange);
                                         }));
    BOOST_LEAF_ASSIGN(
        datagrams_,
        DatagramSocket::create(loop, queryServer_->address(),
                               [this](std::string_view bytes) { onDatagram(bytes); }));
    self_ = { settings.router, datagrams_->address(), settings.zone };
    queryNeighbours(monotonicNow());
    return {};
}

void RouterExchange::answerQuery(HttpExchange &exchange) const
{
    const auto after = positionFrom(exchange.queryParameter("after").value_or(""),
                                    exchange.queryParameter("era").value_or("0"));
    if (exchange.path() != "/changes" || !after) {
        exchange.reply(kNotFound, {}, "");
        return;
    }
    if (const auto changes = parts_.storeChanges(*after))
        exchange.reply(kOk, { { "Content-Type", "application/cbor" } },
                       encodeStoreChanges(*changes));
    else
        exchange.reply(kUnavailable, {}, "");
}

void RouterExchange::onDatagram(std::string_view bytes)
{
    if (const auto neighbours = decodeNeighbours(bytes)) {
        takeNeighbours(*neighbours);
        return;
    }
    if (isDutyReport(bytes)) {
        const auto report = decodeDutyReport(bytes);
        if (report && parts_.dutyReported)
            parts_.dutyReported(*report);
        return;
    }
    handleErrors(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(report, decodeLoadReport(bytes));
            if (report.router.name != self_.name)
                takeReport(report);
            return {};
        },
        [&](const Error &error) {
            parts_.log.write(LogLine("load_report_rejected").add("error", error.message).text());
        });
}

void RouterExchange::takeReport(const LoadReport &report)
{
    const auto now = monotonicNow();
    const auto boot = uptime();
    if (report.scope == ReportScope::Router) {
        if (report.isLeaving)
            routers_.noteShutdown(report.router.name);
        else
            routers_.noteMessage(report.router, report.store, boot);
        if (report.clock && parts_.clockReported)
            parts_.clockReported(report.router.name, *report.clock);
    } else {
        routers_.noteMention(report.router, boot);
        routers_.noteZoneSize(report.router.zone, report.zoneSize, boot);
    }
    if (report.isNeighbourQuery)
        replyToNeighbourQuery(report.router);
    const bool hasLoads = !report.isNeighbourQuery && !report.isNeighbourReply;
    if (hasLoads && loads_.applyReport(report, now)) {
        applyHints(report, now);
        if (report.scope == ReportScope::Zone && !report.isRelayed)
            relay(report);
    }
    parts_.reportReceived();
}

void RouterExchange::applyHints(const LoadReport &report, Instant now)
{
    for (const auto &[server, prefix] : report.promptPrefixes) {
        parts_.prefixes.note(server, prefix, now);
        if (report.scope == ReportScope::Router)
            noteZonePromptPrefix(server, prefix);
    }
    for (const auto &[hash, pace] : report.paces) {
        if (const auto server = parts_.servers.findRetained(hash))
            server->pace.note(pace / kPaceUnitsPerMs, now);
    }
    for (const auto hash : report.broken) {
        if (const auto server = parts_.servers.findRetained(hash))
            server->health.noteBrokenElsewhere(now);
    }
    for (const auto &[hash, start] : report.leaving) {
        const auto server = parts_.servers.findRetained(hash);
        if (server && server->entry.start == start)
            parts_.serverLeaves(*server, report.router.name);
    }
    for (const auto &suspicion : report.suspicions) {
        const bool isNew = parts_.crashSuspected(suspicion, report.router.name);
        if (isNew && report.scope == ReportScope::Router)
            add(zoneSuspicions_, suspicion, kMaxReportedSuspicions);
    }
    for (const auto &part : report.partReports) {
        const bool isNew = parts_.partReported(part, report.router.name);
        if (isNew && report.scope == ReportScope::Router)
            add(zonePartReports_, part, kMaxPartReports);
    }
}

// The response contains a store hint, so a starting router knows at once which router to query.
void RouterExchange::replyToNeighbourQuery(const RouterEntry &router)
{
    auto reply = makeReport();
    reply.isNeighbourReply = true;
    datagrams_->send(router.address, encodeLoadReport(reply));
    datagrams_->send(router.address, encodeNeighbours(routers_.neighboursOf(router, uptime())));
}

void RouterExchange::takeNeighbours(const std::vector<RouterEntry> &neighbours)
{
    const auto boot = uptime();
    for (const auto &router : neighbours)
        routers_.noteMention(router, boot);
    // The report makes this router known to the new neighbours.
    scheduleReport();
}

void RouterExchange::relay(LoadReport report)
{
    report.isRelayed = true;
    sendTo(routers_.neighbours(), report);
}

void RouterExchange::sendTo(const std::vector<RouterEntry> &routers, const LoadReport &report)
{
    const auto datagram = encodeLoadReport(report);
    for (const auto &router : routers)
        datagrams_->send(router.address, datagram);
}

// Only the router of rank 0 reports these prefixes. Every router collects them, since its rank may
// become 0.
void RouterExchange::noteZonePromptPrefix(ServerHash server, PromptPrefixHash prefix)
{
    if (routers_.isFullMesh())
        return;
    // Shared prefixes are sent often; a prefix that does not fit now is added at a later request.
    if (zonePromptPrefixes_.size() < kMaxZonePromptPrefixes)
        zonePromptPrefixes_.emplace(server, prefix);
}

void RouterExchange::notePromptPrefix(ServerHash server, PromptPrefixHash prefix)
{
    if (newPromptPrefixes_.size() < kMaxReportedPromptPrefixes)
        newPromptPrefixes_.emplace_back(server, prefix);
    noteZonePromptPrefix(server, prefix);
}

void RouterExchange::notePace(ServerHash server, double ms)
{
    if (newPaces_.size() < kMaxReportedPaces)
        newPaces_.emplace_back(server, static_cast<std::uint32_t>(ms * kPaceUnitsPerMs));
}

void RouterExchange::noteCrashSuspicion(const CrashSuspicion &suspicion)
{
    add(suspicions_, suspicion, kMaxReportedSuspicions);
    add(zoneSuspicions_, suspicion, kMaxReportedSuspicions);
    scheduleReport();
}

void RouterExchange::notePartReport(const PartReport &report)
{
    add(partReports_, report, kMaxPartReports);
    add(zonePartReports_, report, kMaxPartReports);
    scheduleReport();
}

void RouterExchange::refreshLoads()
{
    loads_.refresh(monotonicNow());
}

// The number of datagrams grows with the square of the number of routers. The interval therefore
// grows with the number of routers, to protect slow links and CPUs.
Duration RouterExchange::reportInterval() const
{
    const auto routers = static_cast<int>(routers_.neighbours().size());
    return std::max<Duration>(parts_.settings.reportInterval, kReportIntervalPerRouter * routers);
}

void RouterExchange::scheduleReport()
{
    if (reportTimer_.isActive())
        return;
    const auto due = reportedAt_ + reportInterval() - monotonicNow();
    reportTimer_.startOnce(std::max<Duration>(due, Duration::zero()));
}

void RouterExchange::report()
{
    reportTimer_.stop();
    sendReport(false);
}

void RouterExchange::reportShutdown()
{
    sendReport(true);
}

std::size_t RouterExchange::sendDutyReport(const SocketAddress &address, const DutyReport &report)
{
    const auto datagrams = encodeDutyReport(report);
    for (const auto &datagram : datagrams)
        datagrams_->send(address, datagram);
    return datagrams.size();
}

LoadReport RouterExchange::makeReport()
{
    LoadReport report;
    report.router = self_;
    report.sequence = ++sequence_;
    report.store = parts_.storeHint();
    return report;
}

void RouterExchange::sendReport(bool isLeaving)
{
    const auto now = monotonicNow();
    reportedAt_ = now;
    auto report = makeReport();
    report.isLeaving = isLeaving;
    report.clock = parts_.clock ? parts_.clock() : std::nullopt;
    parts_.servers.forEach([&](const ServerDirectory::ServerPointer &server) {
        if (server->own.requests > 0)
            report.loads.emplace_back(server->hash, server->own);
        if (server->health.isJustBroken(now))
            report.broken.push_back(server->hash);
        if (server->isLeaving)
            report.leaving.emplace_back(server->hash, server->entry.start);
    });
    report.promptPrefixes = std::exchange(newPromptPrefixes_, {});
    report.paces = std::exchange(newPaces_, {});
    report.suspicions = current(suspicions_, kSuspicionRepeatTime, kMaxReportedSuspicions, now);
    report.partReports = mostImportant(
        current(partReports_, kSuspicionRepeatTime, kMaxPartReports, now), kMaxPartReportsToRouter);
    sendTo(routers_.neighbours(), report);
}

void RouterExchange::sendZoneSum(Instant now)
{
    zoneReportedAt_ = now;
    auto report = makeReport();
    report.scope = ReportScope::Zone;
    report.zoneSize = routers_.livingNeighbourCount(uptime()) + 1;
    auto sums = loads_.zoneLoads(now);
    parts_.servers.forEach([&](const ServerDirectory::ServerPointer &server) {
        if (server->own.requests > 0)
            sums[server->hash] += server->own;
    });
    report.loads.assign(sums.begin(), sums.end());
    report.suspicions =
        current(zoneSuspicions_, kZoneSuspicionRepeatTime, kMaxReportedSuspicions, now);
    report.partReports =
        mostImportant(current(zonePartReports_, kZoneSuspicionRepeatTime, kMaxPartReports, now),
                      kMaxPartReportsToZone);
    if (now - zonePromptPrefixesSentAt_ >= kZonePromptPrefixInterval) {
        zonePromptPrefixesSentAt_ = now;
        report.promptPrefixes.assign(zonePromptPrefixes_.begin(), zonePromptPrefixes_.end());
        zonePromptPrefixes_.clear();
    }
    sendTo(routers_.farRouters(++zoneTurn_), report);
}

// A starting router knows no other routers, so it queries the seeds. The query also makes the
// router known to them.
void RouterExchange::queryNeighbours(Instant now)
{
    queryInterval_ = std::min(queryInterval_ * 2, kMaxQueryInterval);
    nextQueryAt_ = now + queryInterval_;
    auto query = makeReport();
    query.isNeighbourQuery = true;
    const auto datagram = encodeLoadReport(query);
    if (routers_.livingNeighbourCount(uptime()) == 0) {
        for (const auto &seed : parts_.settings.seeds) {
            const auto address = withPortOf(seed, self_.address);
            if (address != self_.address)
                datagrams_->send(address, datagram);
        }
    }
    const auto neighbours = routers_.neighbours();
    if (neighbours.empty())
        return;
    std::uniform_int_distribution<std::size_t> drawn(0, neighbours.size() - 1);
    datagrams_->send(neighbours[drawn(parts_.random)].address, datagram);
}

void RouterExchange::tick(Instant now)
{
    if (now - reportedAt_ >= kIdleReportInterval)
        report();
    if (now >= nextQueryAt_)
        queryNeighbours(now);
    if (now - zoneReportedAt_ >= kZoneReportInterval && !routers_.isFullMesh()
        && routers_.rank(uptime()) == 0)
        sendZoneSum(now);
    if (now >= nextHousekeeping_) {
        nextHousekeeping_ = now + kHousekeepingInterval;
        routers_.expire(uptime());
        loads_.refresh(now);
    }
}

} // namespace crocusport
