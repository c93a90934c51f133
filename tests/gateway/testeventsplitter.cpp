#include "eventsplitter.h"

#include <rapidcheck/catch.h>

#include <string>

using namespace crocusport;

SCENARIO("A stream is split into complete events")
{
    // Guards against lost, duplicated or withheld bytes, whatever the pieces in which data arrives.
    rc::prop("for any events and any pieces of data", [] {
        const auto count = *rc::gen::inRange(1, 20);
        std::string stream;
        for (int id = 1; id <= count; ++id) {
            const auto end = *rc::gen::element<std::string>("\n", "\r\n");
            stream.append("id: ").append(std::to_string(id)).append(end);
            stream.append("data: x").append(end).append(end);
        }
        EventSplitter splitter;
        std::string passed;
        std::size_t events = 0;
        std::optional<std::uint64_t> last;
        std::size_t position = 0;
        while (position < stream.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 30);
            const auto batch = splitter.add(stream.substr(position, size), last);
            position += size;
            passed += batch.text;
            events += batch.count;
            if (batch.lastId)
                last = batch.lastId;
            // Each batch ends at the end of an event.
            RC_ASSERT(batch.text.empty() || batch.text.ends_with("\n"));
        }
        RC_ASSERT(passed == stream);
        RC_ASSERT(events == static_cast<std::size_t>(count));
        RC_ASSERT(last == static_cast<std::uint64_t>(count));
        RC_ASSERT_FALSE(splitter.hasPartialEvent());
    });

    // Guards against bytes of another response that are treated as events.
    WHEN("data without an id follows events with ids")
    {
        EventSplitter splitter;
        const auto batch =
            splitter.add("id: 1\ndata: a\n\nHTTP/1.1 200 OK\n\nid: 2\ndata: b\n\n", {});
        REQUIRE(batch.isBroken);
        REQUIRE(batch.text == "id: 1\ndata: a\n\n");
        REQUIRE(splitter.hasPartialEvent());
    }
    WHEN("no event has an id")
    {
        EventSplitter splitter;
        const auto batch = splitter.add("data: a\n\ndata: b\n\n", {});
        REQUIRE_FALSE(batch.isBroken);
        REQUIRE_FALSE(batch.isNumbered);
        REQUIRE(batch.count == 2);
    }
    WHEN("events arrive that were returned before")
    {
        EventSplitter splitter;
        const auto batch = splitter.add("id: 3\ndata: a\n\nid: 4\ndata: b\n\nid: 5", 3);
        REQUIRE(batch.text == "id: 4\ndata: b\n\n");
        REQUIRE(batch.lastId == 4);
        REQUIRE(splitter.hasPartialEvent());
    }
}
