#include "storefeed.h"

#include "uptime.h"

#include "crocusport/transport/eventloop.h"

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

// All items: one prefix costs one call.
const std::string kAllKeys;
// Pause after a failed call; short, since keys are refused while the store is not heard. It doubles
// up to the maximum: calls are priced, and a store that is overloaded needs fewer.
constexpr Duration kMinFailurePause = std::chrono::milliseconds(200);
constexpr Duration kMaxFailurePause = std::chrono::milliseconds(1000);
// Changes often come together; this much after the last call they are read with one.
constexpr Duration kMinRefreshPause = std::chrono::milliseconds(500);
// A router that was sure so short a time ago has heard the store itself, or from one that has.
constexpr Duration kBackAgainTime = std::chrono::milliseconds(1000);
// Failures for less than this are single calls, in which no entry lapses.
constexpr Duration kOutageTime = std::chrono::milliseconds(1000);
constexpr int kOk = 200;
constexpr int kGone = 410;

} // namespace

StoreFeed::StoreFeed(EventLoop &loop, HttpClient &client, const FormatTable &formats,
                     Options options, ChangeHandler onChange, ReachHandler onReachChanged)
    : loop_(loop), client_(client), formats_(formats), options_(std::move(options)),
      onChange_(std::move(onChange)), onReachChanged_(std::move(onReachChanged)),
      timer_(loop, [this] { onTimer(); })
{
    timer_.startOnce(Duration::zero());
}

bool StoreFeed::isJustBack() const
{
    return isFailing_ || (backSince_ && uptime() < *backSince_ + kReturnTime);
}

void StoreFeed::onTimer()
{
    if (call_ && !call_->isEnded()) {
        call_.reset();
        fail("no answer in time");
        return;
    }
    call();
}

void StoreFeed::call()
{
    auto request = step_ == Step::Listing ? formats_.rangeCall(kAllKeys, listedAfter_)
                                          : formats_.watchCall(kAllKeys, revision_);
    request.address = options_.address;
    request.connectTimeout = options_.callTimeout;
    request.progressTimeout = options_.callTimeout;
    // A channel on which an answer was lost stays silent, so failures are followed by a new one.
    if (isFailing_)
        request.connection = ConnectionUse::Fresh;
    body_.clear();
    sentAt_ = uptime();
    ++startedCalls_;
    HttpCallHandlers handlers;
    handlers.onBody = [this](std::string_view data) { body_ += data; };
    handlers.onEnd = [this](const HttpCallEnd &end) { onEnd(end); };
    call_ = client_.start(std::move(request), std::move(handlers));
    // Bounds the whole call, also one whose bytes come slowly.
    timer_.startOnce(options_.callTimeout * 2);
}

void StoreFeed::onEnd(const HttpCallEnd &end)
{
    timer_.stop();
    if (end.failure != HttpFailure::None) {
        fail(std::string(httpFailureName(end.failure)));
        return;
    }
    if (end.status == kGone && step_ == Step::Watching) {
        step_ = Step::Listing;
        listedAfter_.clear();
        listRevision_.reset();
        listed_.clear();
        timer_.startOnce(Duration::zero());
        return;
    }
    if (end.status != kOk) {
        fail("status " + std::to_string(end.status));
        return;
    }
    handleErrors(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(page,
                            step_ == Step::Listing ? formats_.decodeRange(body_)
                                                   : formats_.decodeWatch(body_));
            onPage(page);
            return {};
        },
        [&](const Error &error) { fail(error.message); });
}

void StoreFeed::onPage(const StorePage &page)
{
    succeed();
    for (const auto &change : page.changes) {
        applyChange(change);
        if (step_ == Step::Listing) {
            listed_[change.key] = change.revision;
            listedAfter_ = change.key;
        }
    }
    if (step_ == Step::Listing) {
        if (!listRevision_)
            listRevision_ = page.revision;
        if (page.hasMore && !page.changes.empty()) {
            timer_.startOnce(Duration::zero());
            return;
        }
        finishListing();
    } else {
        revision_ = std::max(revision_, page.revision);
    }
    lastContact_ = sentAt_;
    const auto elapsed = uptime() - sentAt_;
    callAfter(std::max(options_.pollInterval - elapsed, Duration::zero()));
}

// Pages are no snapshot, so the changes since the first page follow.
void StoreFeed::finishListing()
{
    std::vector<std::string> missing;
    for (const auto &[key, revision] : known_) {
        if (!listed_.contains(key) && revision <= *listRevision_)
            missing.push_back(key);
    }
    for (const auto &key : missing)
        applyChange({ key, std::nullopt, *listRevision_ });
    revision_ = *listRevision_;
    step_ = Step::Watching;
    listedAfter_.clear();
    listRevision_.reset();
    listed_.clear();
    isSynchronized_ = true;
}

void StoreFeed::applyChange(const StoreChange &change)
{
    const auto known = known_.find(change.key);
    if (known != known_.end() && change.revision <= known->second && change.value)
        return;
    if (change.value)
        known_[change.key] = change.revision;
    else if (known != known_.end() && change.revision >= known->second)
        known_.erase(known);
    else
        return;
    if (onChange_(change))
        relevantRevision_ = std::max(relevantRevision_, change.revision);
}

// What came after the revision up to that time was no more than signs of life. So a router that has
// read beyond the revision knows the state at that time.
void StoreFeed::hear(StoreRevision revision, Duration at)
{
    if (!isSynchronized_ || step_ == Step::Listing)
        return;
    // While the store is out, one router that reaches it again calls the others back.
    if (isFailing_ && at > uptime() - kBackAgainTime && nextCallAt_ > uptime() + kMinRefreshPause)
        callAfter(kMinRefreshPause);
    if (revision <= revision_) {
        lastContact_ = std::max(lastContact_.value_or(at), at);
        return;
    }
    refresh();
}

void StoreFeed::refresh()
{
    const bool isCalling = call_ && !call_->isEnded();
    if (isCalling || isFailing_)
        return;
    const auto due = std::max(sentAt_ + kMinRefreshPause, uptime());
    if (due < nextCallAt_)
        callAfter(due - uptime());
}

void StoreFeed::callAfter(Duration delay)
{
    nextCallAt_ = uptime() + delay;
    timer_.startOnce(delay);
}

void StoreFeed::fail(const std::string &reason)
{
    if (!std::exchange(isFailing_, true)) {
        failingSince_ = uptime();
        failurePause_ = kMinFailurePause;
        onReachChanged_(reason);
    }
    callAfter(failurePause_);
    const auto limit = std::max(kMaxFailurePause, options_.pollInterval);
    failurePause_ = std::min(failurePause_ * 2, limit);
}

void StoreFeed::succeed()
{
    if (!std::exchange(isFailing_, false))
        return;
    if (uptime() - failingSince_ >= kOutageTime)
        backSince_ = uptime();
    onReachChanged_({});
}

} // namespace crocusport
