#include "account/logaccount.h"

#include <catch2/catch.hpp>

#include <iterator>
#include <sstream>
#include <string>
#include <vector>

using namespace crocusport;

SCENARIO("An account of gateway logs")
{
    LogAccount account(1000);
    const auto written = [&] {
        std::ostringstream output;
        account.write(output);
        return output.str();
    };

    WHEN("requests of two seconds and a failed attempt are read")
    {
        account.add("time_ms=5100 event=request_ended id=a route=chat outcome=completed code=0"
                    " prompt=600 late=pause cached=100 most_cached=400 wait_ms=0 first_ms=90");
        account.add("12.1 front-1 time_ms=5900 event=request_ended id=b route=chat"
                    " outcome=not_run code=205 wait_ms=-1 first_ms=-1");
        account.add("time_ms=6500 event=request_ended id=c route=chat outcome=completed code=0"
                    " late=none first_ms=70");
        account.add("time_ms=6600 event=attempt_failed id=d code=209 status=503");
        account.add("time_ms=6700 event=server_removed server=x");
        // Guards against a table that leaves out or counts twice what a day has lost.
        THEN("each is in the row of its second and cause")
        {
            std::istringstream lines(written());
            std::string line;
            std::getline(lines, line);
            const auto row = [&] {
                std::getline(lines, line);
                std::istringstream words(line);
                std::vector<std::string> values(std::istream_iterator<std::string>(words), {});
                return values;
            };
            REQUIRE(row()
                    == std::vector<std::string> { "0.0", "chat", "2", "0", "0", "1", "0", "1", "0",
                                                  "90", "90", "0", "0", "0", "0" });
            REQUIRE(row()
                    == std::vector<std::string> { "1.0", "chat", "1", "1", "0", "0", "0", "0", "0",
                                                  "70", "70", "-1", "0", "0", "0" });
            row();
            row();
            REQUIRE(row() == std::vector<std::string> { "1.0", "1", "0", "0", "0", "0" });
        }
    }
    // Guards against a table whose seconds count from a host with a wrong clock.
    WHEN("one host's clock is wrong")
    {
        account.add("time_ms=100 event=request_ended route=chat outcome=completed late=none");
        for (const auto *time : { "9000000", "9001000", "9002000" })
            account.add("time_ms=" + std::string(time)
                        + " event=request_ended route=chat outcome=completed late=none");
        REQUIRE(written().find(" 2.0 chat") != std::string::npos);
        REQUIRE(written().find(" -9000.0 chat") != std::string::npos);
    }
    // Guards against a tool that stops at a line that was cut or forged.
    WHEN("lines without their fields are read")
    {
        account.add("");
        account.add("time_ms=");
        account.add("event=request_ended route=chat");
        account.add("time_ms=x event=request_ended route=chat");
        REQUIRE(written().find("chat") == std::string::npos);
    }
}
