#include "logline.h"

#include <catch2/catch.hpp>

using namespace crocusport;

SCENARIO("Log lines are key=value pairs whatever the values are")
{
    GIVEN("a value from outside with line breaks, quotes and an equals sign")
    {
        const auto line = LogLine("request_ended").add("team", "a\n\"b\" outcome=completed").text();

        // Guards against input that forges a pair or a second line.
        THEN("it stays one quoted value on one line")
        {
            REQUIRE(line == R"(event=request_ended team="a\x0a\"b\" outcome=completed")");
        }
    }

    GIVEN("plain words and numbers")
    {
        THEN("they are not quoted")
        {
            REQUIRE(LogLine("started").add("port", 80).add("zone", "z1").text()
                    == "event=started port=80 zone=z1");
        }
    }
}
