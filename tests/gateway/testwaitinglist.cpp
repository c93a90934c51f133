#include "waitinglist.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace crocusport;

SCENARIO("Requests that wait for a place")
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

    // Guards against a burst of reports that holds up urgent requests which come after it.
    WHEN("a burst of reports waits when urgent requests come")
    {
        for (int i = 0; i < 20; ++i)
            add("report", 2, Milliseconds(1500));
        add("late-chat", 0, Milliseconds(600));
        add("early-chat", 0, Milliseconds(300));
        places = 3;
        list.startAll();
        THEN("the most urgent start first, and among them the one that must start first")
        {
            REQUIRE(started == std::vector<std::string> { "early-chat", "late-chat", "report" });
            REQUIRE(list.size(pool) == 19);
        }
    }
    WHEN("a request is withdrawn")
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
    // Guards against a full pool that holds up the requests of another.
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
