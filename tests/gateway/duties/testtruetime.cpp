#include "loadexchange.h"
#include "truetime.h"

#include <catch2/catch.hpp>

using namespace crocusport;
using namespace std::chrono_literals;

namespace {

constexpr Duration kTrue = 1'000'000s;
constexpr Duration kBoot = 500s;

} // namespace

SCENARIO("The wall clocks of some hosts have jumped")
{
    // Guards against windows that move with the clock of one host.
    const auto note = [](TrueTime &time, int router, Duration offset, Duration boot) {
        time.noteClock(RouterName(std::to_string(router)), kTrue + boot - kBoot + offset, boot);
    };

    SECTION("This host's clock is wrong by 4 s when the process starts")
    {
        TrueTime time(kTrue + 4s, kBoot);
        for (int router = 0; router < 3; ++router)
            note(time, router, 0s, kBoot);
        REQUIRE(time.now(kBoot) == kTrue);
        REQUIRE(time.own(kBoot) == kTrue + 4s);
        REQUIRE(time.now(kBoot + 7s) == kTrue + 7s);
    }
    SECTION("Fewer than half of the other clocks are wrong, and reports are delayed")
    {
        TrueTime time(kTrue, kBoot);
        for (int router = 0; router < 6; ++router)
            note(time, router, router < 3 ? 5s : 0s, kBoot);
        REQUIRE(time.now(kBoot) == kTrue);
        for (int router = 3; router < 6; ++router)
            note(time, router, -800ms, kBoot + 1s);
        REQUIRE(time.correction() == 0s);
    }
}

SCENARIO("A load report contains the sender's clock")
{
    // Guards against a row that earlier versions take as a pace.
    LoadReport report;
    report.router = { RouterName("r"), SocketAddress("127.0.0.1:1"), AvailabilityZone("z") };
    report.paces = { { ServerHash(5), 70 } };
    report.clock = 1'700'000'000'123ms;
    const auto decoded = handleErrors(
        [&] { return decodeLoadReport(encodeLoadReport(report)); },
        [](const Error &error) -> LoadReport { throw std::runtime_error(error.message); });
    REQUIRE(decoded.clock == report.clock);
    REQUIRE(decoded.paces == report.paces);
}
