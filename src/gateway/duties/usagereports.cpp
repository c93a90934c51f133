#include "usagereports.h"

#include <algorithm>
#include <array>

namespace crocusport {

namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds(300);
// The interval grows with each call of a window without response, so that a platform that is slower
// than the timeout gets the newer windows too.
constexpr int kMaxRetryFactor = 10;
// The platform counts calls by the second.
constexpr Duration kLimitedPause = std::chrono::milliseconds(600);
constexpr Duration kFailedPause = std::chrono::seconds(1);
// The copy of the store shows a removal within this time.
constexpr Duration kRemovalInterval = std::chrono::seconds(2);
// Texts are removed this long after the window could last be reported, so that a router whose clock
// is slow does not write a second text.
constexpr Duration kRemovalMargin = std::chrono::seconds(10);
// Texts are looked for in this time before; longer without a holder, and texts remain.
constexpr Duration kRemovalRange = std::chrono::minutes(5);

// Time that a report needs for its calls to the store and the platform when some have to be
// repeated.
constexpr Duration kEmptyMargin = std::chrono::seconds(3);

constexpr int kNoStatus = 0;
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kTooManyCalls = 429;

} // namespace

std::string dutyOutcomeName(DutyOutcome outcome)
{
    static constexpr std::array<const char *, 5> kNames { "accepted", "refused", "limited",
                                                          "no_response", "failed" };
    return kNames.at(static_cast<std::size_t>(outcome));
}

DutyOutcome dutyOutcome(int status)
{
    switch (status) {
    case kNoStatus:
        return DutyOutcome::NoResponse;
    case kOk:
        return DutyOutcome::Accepted;
    case kConflict:
        return DutyOutcome::Refused;
    case kTooManyCalls:
        return DutyOutcome::Limited;
    default:
        return DutyOutcome::Failed;
    }
}

std::optional<UsageReports::Step> UsageReports::next(const View &view)
{
    if (isBusy_)
        return std::nullopt;
    dropOld(view);
    auto step = nextReport(view);
    if (!step)
        step = nextRemoval(view);
    isBusy_ = step.has_value();
    return step;
}

void UsageReports::dropOld(const View &view)
{
    const auto end = states_.lower_bound(oldestWindow(view.trueTime));
    for (auto state = states_.begin(); state != end; state = states_.erase(state)) {
        if (!state->second.isSent)
            ++missing_;
    }
}

std::optional<UsageReports::Step> UsageReports::nextReport(const View &view)
{
    const bool hasCollected = view.now - view.heldSince >= kCollectTime;
    for (auto window = oldestWindow(view.trueTime); endOf(window) + kSettleTime <= view.trueTime;
         ++window) {
        const auto found = states_.find(window);
        if (found != states_.end() && (found->second.isSent || view.now < found->second.retryAt))
            continue;
        auto text = found == states_.end() ? std::nullopt : found->second.text;
        if (!text)
            text = view.storedText(window);
        if (text) {
            if (view.now < sendAt_)
                continue;
            states_[window].text = text;
            return Step { Action::Send, window, *text, {} };
        }
        const auto lost = view.lostText ? view.lostText(window) : std::nullopt;
        if (lost) {
            states_.try_emplace(window);
            return Step { Action::Write, window, *lost, {} };
        }
        if (!hasCollected || (!view.ledger.has(window) && !isSurelyEmpty(window, view)))
            continue;
        states_.try_emplace(window);
        return Step { Action::Write, window, {}, view.ledger.sums(window) };
    }
    return std::nullopt;
}

// The routers may have sent their counts to the holder before, as their copies of the store are
// outdated. A report without counts therefore waits until it is almost due.
bool UsageReports::isSurelyEmpty(UsageWindow window, const View &view) const
{
    return endOf(window) - options_.window >= view.knownSince
        && view.trueTime >= endOf(window) + options_.due - kEmptyMargin;
}

std::optional<UsageReports::Step> UsageReports::nextRemoval(const View &view)
{
    if (view.now < removeAt_)
        return std::nullopt;
    removeAt_ = view.now + kRemovalInterval;
    const auto end = windowAt(view.trueTime - kMaxAge - kRemovalMargin);
    for (auto window = windowAt(view.trueTime - kMaxAge - kRemovalRange); window < end; ++window) {
        if (view.storedText(window))
            return Step { Action::Remove, window, {}, {} };
    }
    return std::nullopt;
}

void UsageReports::noteWritten(UsageWindow window, const std::string &text)
{
    isBusy_ = false;
    states_[window].text = text;
}

void UsageReports::noteStoreFailure(UsageWindow window, Instant now)
{
    isBusy_ = false;
    states_[window].retryAt = now + kRetryInterval;
}

void UsageReports::noteSent(UsageWindow window, DutyOutcome outcome, Duration trueTime, Instant now)
{
    isBusy_ = false;
    auto &state = states_[window];
    switch (outcome) {
    case DutyOutcome::Accepted:
        state.isSent = true;
        ++sent_;
        if (trueTime > endOf(window) + options_.due)
            ++late_;
        return;
    case DutyOutcome::Limited:
        sendAt_ = now + kLimitedPause;
        return;
    case DutyOutcome::Failed:
        state.retryAt = now + kFailedPause;
        return;
    case DutyOutcome::Refused:
    case DutyOutcome::NoResponse:
        state.failures = std::min(state.failures + 1, kMaxRetryFactor);
        state.retryAt = now + kRetryInterval * state.failures;
        return;
    }
}

std::map<UsageWindow, std::string> UsageReports::texts() const
{
    std::map<UsageWindow, std::string> texts;
    for (const auto &[window, state] : states_) {
        if (state.text)
            texts.emplace(window, *state.text);
    }
    return texts;
}

void UsageReports::reset()
{
    states_.clear();
    isBusy_ = false;
}

} // namespace crocusport
