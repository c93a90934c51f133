#include "waitinglist.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace crocusport;

SCENARIO("Requests that wait for free capacity")
{
    const PoolName pool("assistant");
    const Instant now(std::chrono::seconds(10));
    WaitingList list;
    std::vector<std::string> started;
    int places = 0;
    const auto add = [&](const std::string &name, int urgency, Milliseconds latestStart) {
        return list.add(pool, urgency, now + latestStart, [&, name] {
            if (places == 0)
                return false;
            --places;
            started.push_back(name);
            return true;
        });
    };

    // Guards against a burst of reports that delays urgent requests which arrive later.
    WHEN("urgent requests arrive while a burst of reports waits")
    {
        for (int i = 0; i < 20; ++i)
            add("report", 2, Milliseconds(1500));
        add("late-chat", 0, Milliseconds(600));
        add("early-chat", 0, Milliseconds(300));
        places = 3;
        list.startAll();
        THEN("the most urgent requests start first, and among these the one whose latest start "
             "comes first")
        {
            REQUIRE(started == std::vector<std::string> { "early-chat", "late-chat", "report" });
            REQUIRE(list.size(pool) == 19);
        }
    }
    WHEN("a request is removed")
    {
        const auto ticket = add("gone", 0, Milliseconds(100));
        add("next", 1, Milliseconds(100));
        list.remove(pool, ticket);
        list.remove(pool, ticket);
        places = 2;
        list.startAll();
        REQUIRE(started == std::vector<std::string> { "next" });
        REQUIRE(list.empty());
    }
    // Guards against a full pool that delays the requests of another pool.
    WHEN("one pool is full and another is not")
    {
        add("blocked", 0, Milliseconds(100));
        bool isStarted = false;
        list.add(PoolName("desk"), 5, now, [&] {
            isStarted = true;
            return true;
        });
        list.startAll();
        REQUIRE(isStarted);
        REQUIRE(list.size(pool) == 1);
    }
}

// Guards against requests that are held for a reason of their own and block those behind them.
SCENARIO("A waiting request is held while later ones may start")
{
    const PoolName pool("assistant");
    const Instant now(std::chrono::seconds(10));
    WaitingList list;
    std::vector<std::string> started;
    bool isHeld = true;
    const auto add = [&](const std::string &name, WaitingList::IsHeld held) {
        list.add(
            pool, 1, now,
            [&, name] {
                started.push_back(name);
                return true;
            },
            std::move(held));
    };
    add("held", [&] { return isHeld; });
    add("next", {});
    list.startAll();
    REQUIRE(started == std::vector<std::string> { "next" });
    REQUIRE(list.size() == 1);
    isHeld = false;
    list.startAll();
    REQUIRE(started == std::vector<std::string> { "next", "held" });
    REQUIRE(list.empty());
}

// Guards against a team that sends several times its usual load and takes all capacity.
SCENARIO("One team sends more requests than the others")
{
    const PoolName pool("assistant");
    const Instant now(std::chrono::seconds(10));
    const TeamName loud("loud");
    const TeamName quiet("quiet");
    WaitingList list;
    std::vector<std::string> started;
    int places = 4;
    std::vector<WaitingList::Ticket> tickets;
    const auto add = [&](const TeamName &team, Milliseconds latestStart, bool isHeld) {
        tickets.push_back(list.add(
            pool, 1, now + latestStart,
            [&, team] {
                if (places == 0)
                    return false;
                --places;
                started.push_back(team.value());
                return true;
            },
            [isHeld] { return isHeld; }, { team, Milliseconds(400) }));
    };
    for (int i = 0; i < 12; ++i)
        add(loud, Milliseconds(100), i == 0);
    for (int i = 0; i < 2; ++i)
        add(quiet, Milliseconds(900), false);

    THEN("the teams start in turn, although the requests of the loud one came first")
    {
        list.startAll();
        REQUIRE(std::count(started.begin(), started.end(), "quiet") == 2);
        REQUIRE(std::count(started.begin(), started.end(), "loud") == 2);
        REQUIRE(list.size(pool) == 10);
    }
    // Guards against a held request that is lost, or linked after it was removed.
    THEN("a request that was held can be removed afterwards")
    {
        list.startAll();
        list.remove(pool, tickets[0]);
        places = 20;
        list.startAll();
        REQUIRE(started.size() == 13);
        REQUIRE(list.empty());
    }
}

// Guards against requests that are lost, started twice or linked after their removal when requests
// are removed or added while others start.
SCENARIO("Waiting requests under arbitrary changes")
{
    rc::prop("each request is started or removed once, or still waits", [] {
        const PoolName pool("assistant");
        WaitingList list;
        std::map<int, WaitingList::Ticket> waiting;
        std::map<int, int> ends;
        int places = 0;
        int count = 0;
        const auto remove = [&](std::size_t index) {
            if (waiting.empty())
                return;
            const auto victim =
                std::next(waiting.begin(), static_cast<std::ptrdiff_t>(index % waiting.size()));
            list.remove(pool, victim->second);
            ++ends[victim->first];
            waiting.erase(victim);
        };
        const auto actions =
            *rc::gen::container<std::vector<unsigned>>(rc::gen::arbitrary<unsigned>());
        for (const auto action : actions) {
            places = static_cast<int>(action % 5);
            if (action % 3 == 0) {
                list.startAll();
            } else if (action % 7 == 0) {
                remove(action);
            } else {
                const int id = ++count;
                waiting[id] = list.add(
                    pool, static_cast<int>(action % 2), Instant(Duration(action % 11)),
                    [&, id, action] {
                        // The end of one request may remove another one.
                        if (places == 0)
                            return false;
                        --places;
                        ++ends[id];
                        waiting.erase(id);
                        if (action % 4 == 0)
                            remove(action);
                        return true;
                    },
                    [action] { return action % 6 == 1; },
                    { TeamName(std::to_string(action % 3)), Duration(action % 100) });
            }
        }
        RC_ASSERT(list.size() == waiting.size());
        RC_ASSERT(ends.size() + waiting.size() == static_cast<std::size_t>(count));
        RC_ASSERT(
            std::all_of(ends.begin(), ends.end(), [](const auto &end) { return end.second == 1; }));
    });
}
