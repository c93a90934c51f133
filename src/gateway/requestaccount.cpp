#include "requestaccount.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace crocusport {

namespace {

// The pace of a stream with at most this many events is too inaccurate.
constexpr std::uint64_t kMaxEventsWithoutPace = 5;
constexpr double kMsPerSecond = 1000;

constexpr std::array<std::string_view, 4> kLatenessNames { "none", "first_event", "pause",
                                                           "answer" };

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

} // namespace

std::string_view latenessName(Lateness lateness)
{
    return kLatenessNames.at(static_cast<std::size_t>(lateness));
}

void RequestAccount::noteAttempt(std::uint32_t cachedTokens, std::uint32_t mostCachedTokens,
                                 Instant now)
{
    if (!firstAttemptAt_)
        firstAttemptAt_ = now;
    attemptAt_ = now;
    attemptEvents_ = 0;
    cachedTokens_ = cachedTokens;
    mostCachedTokens_ = mostCachedTokens;
}

bool RequestAccount::noteEvents(std::uint64_t count, Instant now)
{
    const bool isFirst = attemptEvents_ == 0;
    if (isFirst)
        attemptFirstEventAt_ = now;
    if (!firstEventAt_)
        firstEventAt_ = now;
    else
        longestPause_ = std::max(longestPause_, now - lastEventAt_);
    lastEventAt_ = now;
    attemptEvents_ += count;
    events_ += count;
    return isFirst;
}

std::optional<double> RequestAccount::eventPaceMs(Instant now) const
{
    if (attemptEvents_ <= kMaxEventsWithoutPace)
        return std::nullopt;
    return toSeconds(now - attemptFirstEventAt_) * kMsPerSecond
        / static_cast<double>(attemptEvents_ - 1);
}

Lateness RequestAccount::lateness(const Route &route, bool isCompleted, Instant now) const
{
    if (!isCompleted)
        return Lateness::None;
    if (!firstEventAt_)
        return now - arrival_ > route.target ? Lateness::Answer : Lateness::None;
    if (*firstEventAt_ - arrival_ > route.target)
        return Lateness::FirstEvent;
    if (route.maxPause > Duration::zero() && longestPause_ > route.maxPause)
        return Lateness::Pause;
    return Lateness::None;
}

void RequestAccount::measure(RequestMeasurement &measurement, Instant now) const
{
    measurement.answer = now - arrival_;
    if (firstAttemptAt_)
        measurement.queueWait = *firstAttemptAt_ - arrival_;
    if (firstEventAt_)
        measurement.firstToken = *firstEventAt_ - arrival_;
    measurement.outputTokens = events_;
}

void RequestAccount::describe(LogLine &line, Instant now) const
{
    constexpr std::int64_t kNever = -1;
    line.add("events", events_)
        .add("cached", cachedTokens_)
        .add("most_cached", mostCachedTokens_)
        .add("wait_ms", firstAttemptAt_ ? toMs(*firstAttemptAt_ - arrival_) : kNever)
        .add("first_ms", firstEventAt_ ? toMs(*firstEventAt_ - arrival_) : kNever)
        .add("longest_pause_ms", toMs(longestPause_))
        .add("total_ms", toMs(now - arrival_));
}

} // namespace crocusport
