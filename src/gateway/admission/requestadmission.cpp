#include "requestadmission.h"

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

// Share of the latency objective for which a request may wait for a free server.
constexpr double kWaitShare = 0.5;
// Retry-After for callers when the router itself cannot serve the request.
constexpr Duration kRetryAfterUnready = std::chrono::milliseconds(500);

// Work of a usual engine for one token, relative to its other requests. Generation of a token takes
// one of about 16 slots for 15 ms.
constexpr Duration kOutputTokenWork = std::chrono::microseconds(1000);
constexpr Duration kPromptTokenWork = std::chrono::microseconds(12);

} // namespace

void RequestAdmission::begin(AdmissionFacts facts, Instant now)
{
    facts_ = std::move(facts);
    facts_->isReturned = plan_.isReturned(facts_->fingerprint, now);
    facts_->teamFactor = plan_.noteArrival(*facts_, now, share().work);
}

bool RequestAdmission::isHeld(Instant now)
{
    if (!facts_ || isSent_)
        return false;
    reason_ = plan_.hold(*facts_, now);
    if (reason_ == HoldReason::None)
        return false;
    lastReason_ = reason_;
    return true;
}

bool RequestAdmission::accepts(const KnownServer &server, std::uint32_t unreadTokens, Instant now)
{
    if (!facts_ || isSent_ || plan_.isInTime(LoadEstimate(), server, *facts_, unreadTokens, now))
        return true;
    reason_ = lastReason_ = HoldReason::TooLate;
    return false;
}

void RequestAdmission::noteSent(Instant now)
{
    isSent_ = true;
    if (facts_)
        plan_.noteSent(*facts_, now);
}

std::optional<Instant> RequestAdmission::latestWait(Instant arrival, Duration target, Instant now)
{
    const auto latest = arrival + std::chrono::duration_cast<Duration>(target * kWaitShare);
    if (!facts_ || isSent_ || reason_ == HoldReason::None || reason_ == HoldReason::Start)
        return latest;
    if (reason_ == HoldReason::TooLate || now + plan_.expectedWait(*facts_, now) > latest)
        return std::nullopt;
    return latest;
}

Instant RequestAdmission::latestStart(Instant arrival, Duration target) const
{
    return facts_ && facts_->isReturned ? arrival : arrival + target;
}

TeamShare RequestAdmission::share() const
{
    if (!facts_)
        return {};
    return { facts_->team,
             facts_->outputTokens * kOutputTokenWork + facts_->promptTokens * kPromptTokenWork };
}

Duration RequestAdmission::retryAfter(Duration pause, std::size_t routerCount, Instant now)
{
    const auto usual = std::max<Duration>(kRetryAfterUnready, pause);
    if (!facts_ || (reason_ == HoldReason::None && !plan_.isFull(facts_->pool, now)))
        return usual;
    const auto planned = plan_.refuse(*facts_, reason_, routerCount, now);
    return std::max(planned, pause);
}

void RequestAdmission::describe(LogLine &line) const
{
    line.add("held", holdReasonName(lastReason_)).add("returned", facts_ && facts_->isReturned);
}

} // namespace crocusport
