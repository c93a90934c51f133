#include "crocusport/protocol/ssereader.h"

#include "protocol/hostileinput.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <tuple>

using namespace crocusport;
using namespace crocusport::test;

namespace {

//! id, event, data.
using Event = std::tuple<std::string, std::string, std::string>;

struct Reading
{
    std::vector<Event> events;
    std::optional<Error> error;
    bool hasPartialEvent = false;
};

//! Reads \a pieces one after the other, each from its own memory.
Reading readPieces(const std::vector<std::string> &pieces, std::size_t limit = 1000)
{
    Reading reading;
    SseReader reader(limit);
    const auto onEvent = [&](const SseEvent &event) {
        reading.events.emplace_back(event.id, event.event, event.data);
    };
    for (const auto &piece : pieces) {
        auto copy = std::make_unique<std::string>(piece);
        reading.error = errorOf([&]() -> Result<int> {
            BOOST_LEAF_CHECK(reader.read(*copy, onEvent));
            return 0;
        });
        if (reading.error)
            break;
    }
    reading.hasPartialEvent = reader.hasPartialEvent();
    return reading;
}

std::vector<std::string> splitAnywhere(const std::string &text)
{
    std::vector<std::string> pieces;
    for (std::size_t at = 0; at < text.size();) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 12);
        pieces.push_back(text.substr(at, size));
        at += size;
    }
    return pieces;
}

} // namespace

SCENARIO("Server-sent events are read as the HTML standard says")
{
    // The cases are those of the standard's section 9.2.6, "Interpreting an event stream".
    THEN("fields are joined, defaulted and ignored")
    {
        REQUIRE(readPieces({ "data: YHOO\ndata: +2\ndata: 10\n\n" }).events
                == std::vector<Event> { { "", "", "YHOO\n+2\n10" } });
        REQUIRE(
            readPieces({ ": test stream\n\ndata: first event\nid: 1\n\ndata:second event\nid\n\n"
                         "data:  third event\n\n" })
                .events
            == std::vector<Event> { { "1", "", "first event" },
                                    { "", "", "second event" },
                                    { "", "", " third event" } });
        REQUIRE(readPieces({ "data\n\ndata\ndata\n\ndata:" }).events
                == std::vector<Event> { { "", "", "" }, { "", "", "\n" } });
        REQUIRE(readPieces({ "\xEF\xBB\xBF"
                             "event: add\rdata: 1\r\rid: 7\r\n\r\nretry: 3\ndata: 2\n\n" })
                    .events
                == std::vector<Event> { { "", "add", "1" }, { "7", "", "2" } });
    }

    // Guards against a cut stream passing for a complete one.
    THEN("an event without its blank line is not passed on")
    {
        const auto reading = readPieces({ "data: 1\n\ndata: 2\n" });
        REQUIRE(reading.events.size() == 1);
        REQUIRE(reading.hasPartialEvent);
        REQUIRE_FALSE(readPieces({ "data: 1\n\n" }).hasPartialEvent);
    }

    // Guards against a backend server that fills the router's memory.
    THEN("events have a limit, in one line or in many")
    {
        const std::string piece(60, 'x');
        REQUIRE(readPieces({ "data: " + piece, piece }, 100).error->code
                == ResultCode::ResponseTooLarge);
        REQUIRE(readPieces({ "data: " + piece + "\ndata: " + piece }, 100).error->code
                == ResultCode::ResponseTooLarge);
        REQUIRE_FALSE(readPieces({ "data: " + piece + "\n\ndata: " + piece + "\n\n" }, 100).error);
    }

    // Guards against views into pieces that are gone, and line breaks between pieces.
    rc::prop("how a stream is cut into pieces makes no difference", [] {
        const auto fields =
            *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
                "data: a", "data:b", "id: 5", "event: e", ":", "", "", "data", "\xEF\xBB\xBF"));
        std::string text;
        for (const auto &field : fields)
            text += field + *rc::gen::element<std::string>("\n", "\r", "\r\n");
        RC_ASSERT(readPieces(splitAnywhere(text)).events == readPieces({ text }).events);
    });

    rc::prop("what is written is read back", [] {
        const auto data = *rc::gen::container<std::string>(rc::gen::element('a', ':', ' ', '\n'));
        std::string text;
        appendSseEvent(text, { "1\n2", "x\ndata: y", data });
        const auto reading = readPieces(splitAnywhere(text));
        RC_ASSERT(reading.events == std::vector<Event>({ { "12", "xdata: y", data } }));
    });

    rc::prop("random and mutated input never crashes and errors are clear", [] {
        const auto text =
            hostileInput("id: 1\nevent: e\ndata: {\"x\":1}\ndata: 2\r\n\r\ndata: 3\n\n");
        requireClear(readPieces(splitAnywhere(text), 30).error, { ResultCode::ResponseTooLarge });
    });
}

// Not a check of speed, which depends on the machine: run with "[benchmark]" to measure.
TEST_CASE("Reading and writing events takes little time", "[.][benchmark]")
{
    std::string piece;
    for (int i = 0; i < 10; ++i)
        appendSseEvent(piece, { std::to_string(i), "", std::string(180, 'x') });
    SseReader reader(10'000);
    std::string output;
    std::size_t count = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 100'000; ++i) {
        output.clear();
        errorOf([&]() -> Result<int> {
            BOOST_LEAF_CHECK(reader.read(piece, [&](const SseEvent &event) {
                ++count;
                appendSseEvent(output, event);
            }));
            return 0;
        });
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - begin;
    REQUIRE(count == 1'000'000);
    WARN("one event read and written: " << elapsed.count() / static_cast<double>(count) << " ns");
}
