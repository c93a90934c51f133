#include "startpace.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace crocusport {

namespace {

constexpr std::array<std::string_view, 3> kChangeNames = { "opened", "halved", "ended" };

// A router that has just started sees all servers for the first time within this time.
constexpr Duration kDiscoveryTime = std::chrono::seconds(3);
// Share of a server's slots with which its window begins.
constexpr double kFirstShare = 0.25;
constexpr double kMinFirstWindow = 2;
constexpr double kMinWindow = 1;
// The window doubles in this time without any answers.
constexpr Duration kDoublingTime = std::chrono::seconds(3);
// The window ends after this time without faults.
constexpr Duration kMaxTime = std::chrono::seconds(10);
// Reports of other routers are 0.1 to 0.5 s old; they show the requests of the turn before.
constexpr Duration kTurn = std::chrono::seconds(1);
// Simultaneous faults, such as all requests of a crashed server, halve the window once.
constexpr Duration kHalvingInterval = std::chrono::milliseconds(250);
// Answers of servers at normal speed differ by up to the first factor; the second is clearly slow.
constexpr double kNearRatio = 1.6;
constexpr double kSlowRatio = 2.5;
// A server whose connections broke this often, each time soon after the last, gets a window.
constexpr int kRepeatedFaults = 3;
constexpr Duration kFaultMemory = std::chrono::seconds(2);
// One good answer stands for at most this many answers to all routers.
constexpr double kMaxAnswerWeight = 4;
// Weight of the newest answer in the mean of a route; sizes of prompts vary widely.
constexpr double kBeginWeight = 0.05;
constexpr double kMsPerSecond = 1000;

} // namespace

std::string_view paceChangeName(PaceChange change)
{
    return kChangeNames.at(static_cast<std::size_t>(change));
}

StartPace::StartPace(RouterName router, OnChange onChange)
    : router_(std::move(router)), onChange_(std::move(onChange))
{ }

void StartPace::noteConfiguration(Instant now)
{
    if (!discoveryEnd_)
        discoveryEnd_ = now + kDiscoveryTime;
}

void StartPace::noteServer(const KnownServer &server, Instant now)
{
    const auto &entry = server.entry;
    const auto [found, isFirst] = servers_.try_emplace(entry.name);
    auto &state = found->second;
    if (!isFirst && state.start == entry.start)
        return;
    state = { entry.start, {}, 0, {} };
    const bool isDiscovery = isFirst && (!discoveryEnd_ || now < *discoveryEnd_);
    if (!isDiscovery || entry.coldRemaining > Milliseconds::zero())
        open(state, server, now);
}

void StartPace::removeServer(const BackendServerName &name)
{
    servers_.erase(name);
}

void StartPace::tick(std::size_t routers, Instant now)
{
    routers_ = std::max<std::size_t>(1, routers);
    for (auto &[name, state] : servers_) {
        if (!state.window)
            continue;
        const auto size = sizeAt(*state.window, now);
        if (size < state.window->slots && now - state.window->openedAt < kMaxTime)
            continue;
        state.window.reset();
        report(name, PaceChange::Ended, size);
    }
}

double StartPace::sizeAt(const Window &window, Instant now)
{
    const double doublings = toSeconds(now - window.sizedAt) / toSeconds(kDoublingTime);
    return std::min<double>(window.slots, window.size * std::exp2(doublings));
}

double StartPace::share(const BackendServerName &name, const Window &window, Instant now) const
{
    const double even = sizeAt(window, now) / static_cast<double>(routers_);
    const double whole = std::floor(even);
    const auto turn = static_cast<std::uint64_t>((now - window.openedAt) / kTurn);
    const auto seed = XXH64(name.value().data(), name.value().size(), turn);
    const auto hash = XXH64(router_.value().data(), router_.value().size(), seed);
    const bool isRoundedUp = std::ldexp(static_cast<double>(hash), -64) < even - whole;
    return whole + (isRoundedUp ? 1 : 0);
}

bool StartPace::admits(const KnownServer &server, Instant now) const
{
    const auto found = servers_.find(server.entry.name);
    if (found == servers_.end() || !found->second.window)
        return true;
    const auto &window = *found->second.window;
    const auto size = sizeAt(window, now);
    if (size >= window.slots)
        return true;
    return server.load().requests + 1 <= std::max(kMinWindow, size)
        && server.own.requests + 1 <= share(server.entry.name, window, now);
}

bool StartPace::isNew(const BackendServerName &name) const
{
    const auto found = servers_.find(name);
    return found != servers_.end() && found->second.window;
}

double StartPace::window(const KnownServer &server, Instant now) const
{
    const auto found = servers_.find(server.entry.name);
    if (found == servers_.end() || !found->second.window)
        return server.entry.slots;
    return sizeAt(*found->second.window, now);
}

std::size_t StartPace::windows() const
{
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(),
                      [](const auto &item) { return item.second.window.has_value(); }));
}

void StartPace::noteBegin(const KnownServer &server, const std::string &route, Duration time,
                          Instant now)
{
    const double ms = toSeconds(time) * kMsPerSecond;
    const auto found = beginMs_.find(route);
    if (!isNew(server.entry.name)) {
        if (found == beginMs_.end())
            beginMs_.emplace(route, ms);
        else
            found->second += kBeginWeight * (ms - found->second);
        return;
    }
    // Without other servers to compare with, an answer shows only that the server works.
    const bool isComparable = found != beginMs_.end() && found->second > 0;
    noteFirstEvent(server, isComparable ? ms / found->second : 1, now);
}

void StartPace::noteFirstEvent(const KnownServer &server, double ratio, Instant now)
{
    const auto found = servers_.find(server.entry.name);
    if (found == servers_.end() || !found->second.window)
        return;
    auto &window = *found->second.window;
    if (ratio > kSlowRatio) {
        halve(window, server, now);
        return;
    }
    if (ratio > kNearRatio)
        return;
    const auto size = sizeAt(window, now);
    const double own = std::max(1U, server.own.requests);
    window.size = size + std::clamp(server.load().requests / own, 1.0, kMaxAnswerWeight);
    window.sizedAt = now;
    if (window.size < window.slots)
        return;
    const auto last = window.size;
    found->second.window.reset();
    report(server.entry.name, PaceChange::Ended, last);
}

void StartPace::noteRefusal(const KnownServer &server, Instant now)
{
    const auto found = servers_.find(server.entry.name);
    if (found != servers_.end() && found->second.window)
        halve(*found->second.window, server, now);
}

void StartPace::noteFault(const KnownServer &server, Instant now)
{
    const auto found = servers_.find(server.entry.name);
    if (found == servers_.end())
        return;
    auto &state = found->second;
    if (state.window) {
        halve(*state.window, server, now);
        return;
    }
    // Simultaneous faults have one cause.
    if (state.faults > 0 && now - state.faultAt < kHalvingInterval)
        return;
    state.faults = now - state.faultAt > kFaultMemory ? 1 : state.faults + 1;
    state.faultAt = now;
    if (state.faults >= kRepeatedFaults)
        open(state, server, now);
}

void StartPace::open(State &state, const KnownServer &server, Instant now)
{
    const auto size = std::max(kMinFirstWindow, kFirstShare * server.entry.slots);
    state.faults = 0;
    if (size >= server.entry.slots)
        return;
    state.window = Window { server.entry.slots, size, now, now, {} };
    report(server.entry.name, PaceChange::Opened, size);
}

void StartPace::halve(Window &window, const KnownServer &server, Instant now)
{
    if (window.halvedAt != Instant() && now - window.halvedAt < kHalvingInterval)
        return;
    window.size = std::max(kMinWindow, sizeAt(window, now) / 2);
    window.openedAt = now;
    window.sizedAt = now;
    window.halvedAt = now;
    report(server.entry.name, PaceChange::Halved, window.size);
}

void StartPace::report(const BackendServerName &name, PaceChange change, double size) const
{
    if (onChange_)
        onChange_(name, change, size);
}

} // namespace crocusport
