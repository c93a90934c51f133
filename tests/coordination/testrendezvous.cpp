#include "crocusport/coordination/rendezvous.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace crocusport;

namespace {

std::vector<RouterName> routers(int count)
{
    std::vector<RouterName> names;
    for (int i = 0; i < count; ++i)
        names.emplace_back("router-" + std::to_string(i));
    return names;
}

} // namespace

SCENARIO("Roles are spread over the members by rendezvous hashing")
{
    GIVEN("nine routers and 90 pools")
    {
        const auto members = routers(9);

        THEN("the order of the member list does not matter")
        {
            auto reversed = members;
            std::reverse(reversed.begin(), reversed.end());
            REQUIRE(rendezvousOrder("pool-1", members, 3)
                    == rendezvousOrder("pool-1", reversed, 3));
        }

        WHEN("one member is removed")
        {
            auto fewer = members;
            const auto removed = fewer.back();
            fewer.pop_back();

            // Guards against a hash that reassigns many roles on each change of the members.
            THEN("only the roles of the removed member are reassigned")
            {
                for (int pool = 0; pool < 90; ++pool) {
                    const auto role = "pool-" + std::to_string(pool);
                    const auto before = rendezvousOrder(role, members, 1).front();
                    const auto after = rendezvousOrder(role, fewer, 1).front();
                    REQUIRE((before == removed || before == after));
                }
            }
        }
    }
}
