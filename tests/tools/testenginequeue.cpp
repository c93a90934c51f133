#include "standins/enginequeue.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace crocusport;

SCENARIO("A simulated engine starts waiting requests by priority")
{
    GIVEN("requests of two priorities")
    {
        EngineQueue queue;
        queue.push("report-1", 3);
        queue.push("chat-1", 1);
        queue.push("report-2", 3);
        queue.push("chat-2", 1);

        // Guards against an engine that hides the effect of the priority field in measurements.
        THEN("lower values start first, equal ones in the order of arrival")
        {
            REQUIRE(queue.pop() == "chat-1");
            REQUIRE(queue.pop() == "chat-2");
            REQUIRE(queue.pop() == "report-1");
            REQUIRE(queue.pop() == "report-2");
            REQUIRE_FALSE(queue.pop());
        }

        // Guards against slots given to callers that have left.
        WHEN("one is removed")
        {
            REQUIRE(queue.remove("chat-1"));
            THEN("it is not started, and can't be removed twice")
            {
                REQUIRE_FALSE(queue.remove("chat-1"));
                REQUIRE(queue.pop() == "chat-2");
                REQUIRE(queue.size() == 2);
            }
        }
    }
}

TEST_CASE("An engine's queue keeps every request that was neither started nor removed")
{
    // Guards against the two indexes of the queue getting out of step.
    const bool isKept = rc::check([](const std::vector<std::pair<int, int>> &steps) {
        EngineQueue queue;
        std::vector<std::string> expected;
        for (const auto &[action, priority] : steps) {
            const auto id = std::to_string(std::abs(action) % 8);
            if (action >= 0) {
                queue.push(id, priority);
                if (std::find(expected.begin(), expected.end(), id) == expected.end())
                    expected.push_back(id);
            } else {
                queue.remove(id);
                expected.erase(std::remove(expected.begin(), expected.end(), id), expected.end());
            }
        }
        RC_ASSERT(queue.size() == expected.size());
        std::vector<std::string> started;
        while (const auto id = queue.pop())
            started.push_back(*id);
        std::sort(started.begin(), started.end());
        std::sort(expected.begin(), expected.end());
        RC_ASSERT(started == expected);
    });
    REQUIRE(isKept);
}
