#include "dutyreport.h"
#include "usagereports.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <functional>
#include <map>
#include <vector>

using namespace crocusport;
using namespace std::chrono_literals;

namespace {

const TeamName kTeam("team");

//! Two routers that both believe to be the holder, a store, and the reports that the platform got.
struct Reporters
{
    struct Reporter
    {
        UsageReports reports { { 5s, 10s } };
        UsageLedger ledger;
        std::map<UsageWindow, std::string> copy;
    };

    void run(std::size_t index, int fault)
    {
        auto &reporter = reporters.at(index);
        const auto step = reporter.reports.next(
            { now, Instant(now), Instant(now - 1h), now, reporter.ledger, [&](UsageWindow window) {
                 const auto found = reporter.copy.find(window);
                 return found == reporter.copy.end() ? std::nullopt : std::optional(found->second);
             } });
        if (!step)
            return;
        switch (step->action) {
        case UsageReports::Action::Write: {
            const auto text = std::to_string(step->counts.at(kTeam));
            const auto write = [this, window = step->window, text] {
                return store.try_emplace(window, text).first->second;
            };
            if (fault == 0)
                reporter.reports.noteWritten(step->window, write());
            else
                reporter.reports.noteStoreFailure(step->window, Instant(now));
            if (fault == 1)
                lateWrites.emplace_back(write);
            return;
        }
        case UsageReports::Action::Send: {
            const auto outcome = static_cast<DutyOutcome>(fault);
            if (outcome == DutyOutcome::Accepted || outcome == DutyOutcome::NoResponse)
                isUnique = isUnique
                    && sent.try_emplace(step->window, step->text).first->second == step->text;
            reporter.reports.noteSent(step->window, outcome, now, Instant(now));
            return;
        }
        case UsageReports::Action::Remove:
            store.erase(step->window);
            reporter.reports.noteRemoved();
            return;
        }
    }

    std::vector<Reporter> reporters { 2 };
    std::map<UsageWindow, std::string> store;
    std::vector<std::function<std::string()>> lateWrites;
    std::map<UsageWindow, std::string> sent;
    bool isUnique = true;
    Duration now = 100'000s;
};

} // namespace

TEST_CASE("The platform gets one text for each window")
{
    // Guards against two different reports of a window from holders with different counts, whose
    // writes and calls get no response or take effect late.
    rc::prop("two holders with different counts", [] {
        Reporters test;
        const auto first = static_cast<UsageWindow>(test.now / 5s);
        constexpr UsageWindow kCounted = 6;
        for (UsageWindow window = first; window < first + kCounted; ++window) {
            test.reporters.at(0).ledger.merge(RouterName("a"), Incarnation(1),
                                              { window, { { kTeam, 10 } } });
            test.reporters.at(1).ledger.merge(RouterName("a"), Incarnation(1),
                                              { window, { { kTeam, 11 } } });
        }
        const auto end = test.now + 5s * static_cast<int>(kCounted) + 1s;
        while (test.now < end) {
            test.now += *rc::gen::element<Duration>(50ms, 400ms, 1500ms);
            const auto index = *rc::gen::inRange<std::size_t>(0, 2);
            test.run(index, *rc::gen::inRange(0, 5));
            if (*rc::gen::inRange(0, 4) == 0)
                test.reporters.at(index).copy = test.store;
            if (*rc::gen::inRange(0, 4) == 0) {
                for (const auto &write : test.lateWrites)
                    write();
                test.lateWrites.clear();
            }
            RC_ASSERT(test.isUnique);
        }
        for (int i = 0; i < 200; ++i) {
            test.now += 50ms;
            test.run(0, 0);
        }
        RC_ASSERT(test.isUnique);
        RC_ASSERT(test.sent.size() == kCounted);
        for (const auto &[window, text] : test.sent)
            RC_ASSERT(test.store.at(window) == text);
    });
}

SCENARIO("A platform is slower than the timeout of a call")
{
    // Guards against one window that is sent again and again while the newer ones are due.
    Reporters test;
    const auto first = static_cast<UsageWindow>(test.now / 5s);
    for (UsageWindow window = first; window < first + 4; ++window)
        test.reporters.at(0).ledger.merge(RouterName("a"), Incarnation(1),
                                          { window, { { kTeam, 1 } } });
    while (test.now < 100'000s + 30s) {
        test.now += 100ms;
        const bool isWritten = test.store.size() == 4;
        test.run(0, isWritten ? static_cast<int>(DutyOutcome::NoResponse) : 0);
    }
    REQUIRE(test.sent.size() == 4);
    test.now += 90s;
    for (int i = 0; i < 100; ++i) {
        test.reporters.at(0).copy = test.store;
        test.now += 2s;
        test.run(0, 0);
    }
    REQUIRE(!test.store.contains(first)); // Texts of old windows are removed.
}

SCENARIO("A window has no counts")
{
    // Guards against an empty report of requests whose counts are late or were lost by a restart.
    Reporters test;
    const auto first = static_cast<UsageWindow>(test.now / 5s);
    const auto end = test.now + 5s;
    const auto next = [&](Duration knownSince) {
        return test.reporters.front().reports.next({ test.now, Instant(test.now), Instant(end - 1h),
                                                     knownSince, test.reporters.front().ledger,
                                                     [](UsageWindow) { return std::nullopt; } });
    };
    test.now = end + 6s;
    REQUIRE(!next(end - 5s));
    test.now = end + 7s;
    REQUIRE(!next(end - 4s)); // The process has not seen the whole window.
    const auto step = next(end - 5s);
    REQUIRE(step);
    REQUIRE(step->window == first);
    REQUIRE(step->counts.empty());
}

TEST_CASE("Counts reach the holder despite lost, doubled and late datagrams")
{
    // Guards against requests that are counted twice or lost on the way to the holder.
    rc::prop("cumulative counts", [] {
        std::vector<std::string> sent;
        std::vector<UsageCounter> routers(3);
        std::vector<std::uint64_t> sequences(3);
        std::map<std::pair<UsageWindow, TeamName>, std::uint64_t> truth;
        UsageLedger ledger;
        const auto deliver = [&](const std::string &datagram) {
            RC_ASSERT(datagram.size() <= 1400U);
            const auto report = decodeDutyReport(datagram);
            RC_ASSERT(report.has_value());
            for (const auto &counts : report->counts)
                ledger.merge(report->router, report->incarnation, counts);
        };
        const auto send = [&](std::size_t router) {
            std::vector<std::string> datagrams =
                encodeDutyReport({ RouterName("r" + std::to_string(router)),
                                   Incarnation(7),
                                   sequences.at(router),
                                   routers.at(router).nextToSend([](UsageWindow) { return false; }),
                                   { { PoolName("pool"), { 1, 2, 3, 4 } } } });
            sequences.at(router) += datagrams.size();
            return datagrams;
        };
        for (auto steps = *rc::gen::inRange(1, 400); steps > 0; --steps) {
            const auto router = *rc::gen::inRange<std::size_t>(0, 3);
            const auto window = *rc::gen::inRange<UsageWindow>(70'000, 70'003);
            const TeamName team("team-" + std::to_string(*rc::gen::inRange(0, 150)));
            routers.at(router).note(team, window);
            ++truth[{ window, team }];
            if (*rc::gen::inRange(0, 10) == 0) {
                for (auto &datagram : send(router))
                    sent.push_back(std::move(datagram));
            }
            if (!sent.empty() && *rc::gen::inRange(0, 5) == 0)
                deliver(sent.at(*rc::gen::inRange<std::size_t>(0, sent.size())));
        }
        for (std::size_t router = 0; router < routers.size(); ++router) {
            routers.at(router).restartSending(); // As after a change of holder.
            for (const auto &datagram : send(router))
                deliver(datagram);
        }
        for (const auto &datagram : sent) // Late and doubled ones.
            deliver(datagram);
        for (const auto &[key, count] : truth)
            RC_ASSERT(ledger.sums(key.first).at(key.second) == count);
    });
    // Guards against a crash by datagrams of others.
    rc::prop("damaged datagrams are rejected or decoded", [](std::size_t at, std::uint8_t value) {
        auto datagram = encodeDutyReport({ RouterName("r"),
                                           Incarnation(1),
                                           0,
                                           { { 5, { { kTeam, 3 } } } },
                                           { { PoolName("p"), {} } } })
                            .front();
        datagram.at(at % datagram.size()) = static_cast<char>(value);
        decodeDutyReport(datagram);
    });
}
