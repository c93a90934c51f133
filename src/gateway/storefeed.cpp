#include "storefeed.h"

#include "uptime.h"

#include "crocusport/transport/eventloop.h"

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

// The empty prefix selects all items, so one call is enough.
const std::string kAllKeys;
// Another router responds from memory, usually within milliseconds.
constexpr Duration kRouterTimeout = std::chrono::milliseconds(300);
// The end of a call is noticed within this time unless the event loop was held up.
constexpr Duration kMaxLateness = std::chrono::milliseconds(200);
// Maximum response of the store or a router: several versions of a large configuration.
constexpr std::size_t kMaxAnswerBytes = 16UL * 1024 * 1024;
constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kTooManyCalls = 429;

} // namespace

StoreFeed::StoreFeed(EventLoop &loop, HttpClient &storeClient, HttpClient &routerClient,
                     const FormatTable &formats, RouterDirectory &routers, Options options,
                     StoreMirror mirror, ReachabilityHandler onReachabilityChanged,
                     UpdateHandler onUpdated, EraHandler onEraEnded)
    : storeClient_(storeClient), routerClient_(routerClient), formats_(formats), routers_(routers),
      options_(std::move(options)), onReachabilityChanged_(std::move(onReachabilityChanged)),
      onUpdated_(std::move(onUpdated)), onEraEnded_(std::move(onEraEnded)),
      mirror_(std::move(mirror)), plan_(options_.limits, uptime()),
      timer_(loop, [this] { onTimer(); })
{
    mirror_.outages().setLimits(options_.limits.outages);
    scheduleQuery();
}

void StoreFeed::setLimits(const StorePlan::Limits &limits)
{
    options_.limits = limits;
    plan_.setLimits(limits);
    mirror_.outages().setLimits(limits.outages);
}

std::optional<StoreHint> StoreFeed::hint() const
{
    // Other routers must not rely on a router that cannot read the store itself.
    if (!mirror_.isComplete() || !mirror_.freshAt() || plan_.isStoreFailing())
        return std::nullopt;
    const StorePosition notRead { mirror_.era(), 0 };
    return StoreHint { mirror_.isCurrent() ? mirror_.relevantPosition() : notRead,
                       std::chrono::ceil<Milliseconds>(uptime() - *mirror_.freshAt()) };
}

void StoreFeed::onTimer()
{
    if (call_ && !call_->isEnded()) {
        call_.reset();
        HttpCallEnd late;
        late.failure = HttpFailure::ProgressTimeout;
        onEnd(late);
        return;
    }
    const auto next = plan_.next(routers_, mirror_.position(), uptime());
    if (next.at > uptime())
        timer_.startOnce(next.at - uptime());
    else if (next.router)
        callRouter(*next.router);
    else
        callStore();
}

// Schedules the next query by the current plan.
void StoreFeed::scheduleQuery()
{
    const auto next = plan_.next(routers_, mirror_.position(), uptime());
    timer_.startOnce(std::max(next.at - uptime(), Duration::zero()));
}

void StoreFeed::rescheduleQuery()
{
    if (!call_ || call_->isEnded())
        scheduleQuery();
}

bool StoreFeed::isCutOff() const
{
    return plan_.isCutOff(routers_, uptime());
}

bool StoreFeed::noteEra(StoreEra era)
{
    const auto before = mirror_.era();
    const bool isLatest = mirror_.noteEra(era, uptime());
    if (mirror_.era() == before)
        return isLatest;
    step_ = Step::Listing;
    listedAfter_.clear();
    if (mirror_.isComplete()) {
        ++endedEras_;
        plan_.noteEra(mirror_.era(), uptime());
        onEraEnded_();
    }
    return isLatest;
}

void StoreFeed::onRouterReport()
{
    noteEra(routers_.latestHint(uptime()).era);
    if (const auto freshAt = routers_.latestHintFreshAt(uptime()))
        mirror_.outages().noteAnswered(*freshAt);
    rescheduleQuery();
}

void StoreFeed::refresh()
{
    plan_.requestRefresh();
    rescheduleQuery();
}

void StoreFeed::callStore()
{
    auto request = step_ == Step::Listing
        ? formats_.rangeCall(kAllKeys, listedAfter_)
        : formats_.watchCall(kAllKeys, mirror_.position().revision);
    request.address = options_.address;
    request.connectTimeout = options_.limits.callTimeout;
    request.progressTimeout = options_.limits.callTimeout;
    // A connection on which a response was lost stays silent, so a new one is used after a failure.
    if (plan_.isStoreFailing())
        request.connection = ConnectionUse::Fresh;
    question_ = { mirror_.era(), step_ == Step::Listing && listedAfter_.empty() };
    queriedRouter_.reset();
    ++storeCalls_;
    plan_.noteQuery(true, uptime());
    start(storeClient_, std::move(request));
}

void StoreFeed::callRouter(const RouterEntry &router)
{
    HttpCallRequest request;
    request.address = router.address;
    const auto position = mirror_.position();
    request.target = "/changes?after=" + std::to_string(position.revision)
        + "&era=" + std::to_string(position.era.value());
    request.connectTimeout = kRouterTimeout;
    request.progressTimeout = kRouterTimeout;
    queriedRouter_ = router;
    ++routerCalls_;
    plan_.noteQuery(false, uptime());
    start(routerClient_, std::move(request));
}

void StoreFeed::start(HttpClient &client, HttpCallRequest request)
{
    request.maxResponseBytes = kMaxAnswerBytes;
    // Limits the duration of the whole call, in case the response arrives very slowly.
    const auto limit = request.progressTimeout * 2;
    body_.clear();
    answeredEra_.reset();
    sentAt_ = uptime();
    HttpCallHandlers handlers;
    handlers.onHead = [this](int /*status*/, const HttpHeaders &headers) {
        answeredEra_ = formats_.storeEra(headers);
    };
    handlers.onBody = [this](std::string_view data) { body_ += data; };
    handlers.onEnd = [this](const HttpCallEnd &end) { onEnd(end); };
    call_ = client.start(std::move(request), std::move(handlers));
    timer_.startOnce(limit);
}

void StoreFeed::onEnd(const HttpCallEnd &end)
{
    // Scheduled first, so that the next query follows even if applying the response throws.
    scheduleQuery();
    if (queriedRouter_)
        onRouterEnd(end);
    else
        onStoreEnd(end);
}

void StoreFeed::onRouterEnd(const HttpCallEnd &end)
{
    const auto router = *queriedRouter_;
    const bool isAnswered = end.failure == HttpFailure::None && end.status == kOk;
    const bool isGood =
        isAnswered
        && handleErrors(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(heard, decodeStoreChanges(body_));
                onRouterChanges(heard);
                plan_.noteRouterAnswered(uptime());
                routers_.noteAnswer(router.name, { heard.relevant, heard.age }, uptime());
                return true;
            },
            [](const Error & /*Another router is queried.*/) { return false; });
    if (!isGood)
        routers_.noteNoAnswer(router.name, uptime());
    scheduleQuery();
}

void StoreFeed::onRouterChanges(const StoreChanges &heard)
{
    const auto freshAt = mirror_.freshAt();
    noteEra(heard.position.era);
    mirror_.addFromRouter(heard, sentAt_);
    if (mirror_.isCurrent())
        step_ = Step::Watching;
    notifyIfUpdated(freshAt);
}

void StoreFeed::onStoreEnd(const HttpCallEnd &end)
{
    if (end.failure != HttpFailure::None) {
        onStoreFailure(std::string(httpFailureName(end.failure)));
        return;
    }
    const auto era = answeredEra_.value_or(mirror_.era());
    if (!noteEra(era)) {
        // The era has ended since the store sent this.
        scheduleQuery();
        return;
    }
    if (end.status != kOk && end.status != kGone) {
        onStoreFailure("status " + std::to_string(end.status), end.status == kTooManyCalls);
        return;
    }
    if (question_.era != mirror_.era() && !question_.isFirstPage) {
        // The answer is to a question about an earlier history. The other routers are told, so that
        // they wait for the routers that read the new one first.
        onStoreSuccess();
        onUpdated_();
        scheduleQuery();
        return;
    }
    if (end.status == kGone) {
        onStoreSuccess();
        listAgain();
        return;
    }
    handleErrors(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(page,
                            step_ == Step::Listing ? formats_.decodeRange(era, body_)
                                                   : formats_.decodeWatch(era, body_));
            onPage(page);
            return {};
        },
        [&](const Error &error) { onStoreFailure(error.message); });
}

void StoreFeed::listAgain()
{
    step_ = Step::Listing;
    listedAfter_.clear();
    mirror_.beginListing();
    plan_.requestRefresh();
    scheduleQuery();
}

void StoreFeed::onPage(const StorePage &page)
{
    onStoreSuccess();
    const auto freshAt = mirror_.freshAt();
    if (step_ == Step::Watching) {
        mirror_.addWatched(page, sentAt_);
        notifyIfUpdated(freshAt);
        scheduleQuery();
        return;
    }
    const bool continues = page.changes.empty() || page.changes.back().key > listedAfter_;
    if (!mirror_.addListed(page, sentAt_) || !continues) {
        listAgain();
        return;
    }
    if (!page.changes.empty())
        listedAfter_ = page.changes.back().key;
    if (!page.hasMore || page.changes.empty()) {
        mirror_.finishListing(sentAt_);
        step_ = Step::Watching;
        listedAfter_.clear();
    }
    // A listing does not prove freshness, so the next page or the first watch follows at once.
    callStore();
}

// Other routers rely on this copy, so changes, and the end of a stale period, are reported at once.
void StoreFeed::notifyIfUpdated(std::optional<Duration> freshAtBefore)
{
    const auto relevant = mirror_.relevantPosition();
    const bool isChanged = std::exchange(notifiedRelevant_, relevant) != relevant;
    const bool wasOld =
        !freshAtBefore || uptime() - *freshAtBefore > plan_.interval() + kRouterTimeout;
    if (isChanged || wasOld)
        onUpdated_();
}

void StoreFeed::onStoreFailure(const std::string &reason, bool isLimited)
{
    if (!plan_.isStoreFailing())
        onReachabilityChanged_(reason);
    // A store that limits calls is up. If the end of the call is noticed late, this router was
    // stopped or slow itself.
    const bool isLate = uptime() - sentAt_ > options_.limits.callTimeout * 2 + kMaxLateness;
    if (!isLimited && !isLate)
        mirror_.outages().noteFailed(sentAt_);
    plan_.noteStoreFailed(routers_.rank(uptime()), uptime());
    scheduleQuery();
}

void StoreFeed::onStoreSuccess()
{
    if (!plan_.isStoreFailing())
        return;
    plan_.noteStoreAnswered();
    onReachabilityChanged_({});
}

} // namespace crocusport
