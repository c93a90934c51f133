#include "common/answertext.h"
#include "load/answercheck.h"
#include "load/arrivalschedule.h"
#include "load/classstatistics.h"
#include "load/comparison.h"
#include "load/eventstreamreader.h"
#include "load/mix.h"
#include "load/outputlength.h"
#include "load/requestplan.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace crocusport;

namespace {

std::string answer(const std::string &marker, std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t index = 1; index <= tokens; ++index)
        appendAnswerToken(text, markerHash(marker), index);
    return text;
}

AnswerVerdict verdictOf(const std::string &text, std::uint32_t expected, std::uint32_t claimed)
{
    AnswerCheck check(markerHash("own"), expected);
    check.addText(text);
    check.setClaimedCount(claimed);
    return check.verdict();
}

} // namespace

// Guards against a load tool that reports 0 wrong answers because it cannot see them.
SCENARIO("An answer is checked whole and its own")
{
    REQUIRE(verdictOf(answer("own", 5), 5, 5) == AnswerVerdict::Whole);

    THEN("a missing end is incomplete, whatever the answer says about itself")
    {
        REQUIRE(verdictOf(answer("own", 4), 5, 5) == AnswerVerdict::Incomplete);
        REQUIRE(verdictOf(answer("own", 4), 5, 4) == AnswerVerdict::Incomplete);
        REQUIRE(verdictOf(answer("own", 5).substr(0, 40), 5, 5) == AnswerVerdict::Incomplete);
    }
    THEN("an answer without the count of its finish event is incomplete")
    {
        REQUIRE(verdictOf(answer("own", 5), 5, 0) == AnswerVerdict::Incomplete);
    }
    THEN("repeated, left out and reordered tokens are wrong")
    {
        const auto text = answer("own", 3);
        const auto size = text.size() / 3;
        REQUIRE(verdictOf(text.substr(0, size) + text, 4, 4) == AnswerVerdict::Wrong);
        REQUIRE(verdictOf(text.substr(0, size) + text.substr(2 * size), 2, 2)
                == AnswerVerdict::Wrong);
        REQUIRE(verdictOf(text.substr(size) + text.substr(0, size), 3, 3) == AnswerVerdict::Wrong);
    }
    THEN("one token of another request makes it foreign")
    {
        const auto text = answer("own", 3);
        REQUIRE(verdictOf(text + answer("other", 4).substr(text.size()), 4, 4)
                == AnswerVerdict::Foreign);
    }
}

TEST_CASE("The check does not depend on how an answer is split")
{
    const bool isSame = rc::check([] {
        const auto tokens = *rc::gen::inRange(1, 20);
        const auto text = answer("own", static_cast<std::uint32_t>(tokens));
        AnswerCheck check(markerHash("own"), static_cast<std::uint32_t>(tokens));
        check.setClaimedCount(static_cast<std::uint32_t>(tokens));
        for (std::size_t at = 0; at < text.size();) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 15);
            check.addText(std::string_view(text).substr(at, size));
            at += size;
        }
        RC_ASSERT(check.verdict() == AnswerVerdict::Whole);
    });
    REQUIRE(isSame);
}

TEST_CASE("Events are the same however the stream is split")
{
    // Guards against tokens lost at the border of two reads.
    const std::string stream = ": comment\nid: 1\ndata: one\n\nevent: crocusport.outcome\r\n"
                               "data: {}\r\n\r\ndata: a\ndata: b\n\ndata: unfinished";
    const std::vector<std::string> expected = { "|one", "crocusport.outcome|{}", "|a\nb" };
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        std::vector<std::string> events;
        EventStreamReader reader([&](std::string_view name, std::string_view data) {
            events.push_back(std::string(name) + '|' + std::string(data));
        });
        for (std::size_t at = 0; at < stream.size(); at += size)
            reader.add(std::string_view(stream).substr(at, size));
        REQUIRE(events == expected);
    }
}

TEST_CASE("Answer lengths are lognormal with a heavy tail")
{
    // Guards against a mix whose few very long reports never appear.
    OutputLength::Parameters parameters;
    parameters.median = 100;
    parameters.sigma = 0.5;
    parameters.tailShare = 0.02;
    parameters.tailFactor = 50;
    parameters.max = 20'000;
    std::mt19937_64 random(7);
    std::vector<std::uint32_t> lengths;
    for (int draw = 0; draw < 20'000; ++draw)
        lengths.push_back(OutputLength(parameters).draw(random));
    std::sort(lengths.begin(), lengths.end());
    REQUIRE(lengths[lengths.size() / 2] > 92);
    REQUIRE(lengths[lengths.size() / 2] < 110);
    const auto longer = std::count_if(lengths.begin(), lengths.end(),
                                      [](std::uint32_t length) { return length > 1000; });
    REQUIRE(longer > 340);
    REQUIRE(longer < 460);
    REQUIRE(lengths.back() <= 20'000);
}

SCENARIO("Arrivals follow the mix and the seed")
{
    LoadClass loadClass;
    loadClass.name = "chat";
    loadClass.rate = 200;
    const std::vector<LoadBurst> bursts = {
        { "chat", std::chrono::seconds(10), std::chrono::seconds(5), 4 },
        { "tags", std::chrono::seconds(0), std::chrono::seconds(60), 100 },
    };
    const auto arrivals = [&](std::uint64_t seed) {
        ArrivalSchedule schedule(loadClass, bursts, 1, seed);
        std::vector<Duration> times;
        for (auto time = schedule.next(); time < std::chrono::seconds(20); time = schedule.next())
            times.push_back(time);
        return times;
    };
    const auto times = arrivals(1);

    // Guards against policies being compared under different loads.
    THEN("the same seed gives the same times, another one different times")
    {
        REQUIRE(arrivals(1) == times);
        REQUIRE(arrivals(2) != times);
    }
    THEN("a burst multiplies the rate of its class only")
    {
        const auto inBurst = std::count_if(times.begin(), times.end(), [](Duration time) {
            return time >= std::chrono::seconds(10) && time < std::chrono::seconds(15);
        });
        REQUIRE(inBurst > 3700);
        REQUIRE(inBurst < 4300);
        REQUIRE(times.size() - static_cast<std::size_t>(inBurst) > 2800);
        REQUIRE(times.size() - static_cast<std::size_t>(inBurst) < 3200);
    }
}

SCENARIO("Attainment counts every request that was sent")
{
    LoadClass loadClass;
    loadClass.name = "chat";
    loadClass.isStreamed = true;
    loadClass.firstTokenTarget = std::chrono::milliseconds(100);
    ClassStatistics statistics(loadClass);
    RequestPlan plan;
    RequestRecord record;
    record.attempts = 1;
    record.firstToken = std::chrono::milliseconds(50);
    const auto add = [&](RequestResult result, AnswerVerdict verdict) {
        record.result = result;
        record.verdict = verdict;
        statistics.addSent(plan);
        statistics.add(plan, record);
    };
    add(RequestResult::Completed, AnswerVerdict::Whole);
    REQUIRE(statistics.met() == 1);

    // Guards against a policy that looks good because it rejects or breaks what is late.
    THEN("not run, failed, cut and incomplete ones are missed")
    {
        add(RequestResult::NotRun, AnswerVerdict::Whole);
        add(RequestResult::Cut, AnswerVerdict::Whole);
        add(RequestResult::TimedOut, AnswerVerdict::Whole);
        add(RequestResult::Completed, AnswerVerdict::Incomplete);
        REQUIRE(statistics.met() == 1);
        REQUIRE(statistics.sent() == 5);
        REQUIRE(statistics.badAnswers() == 1);
    }
    THEN("a late first token is missed")
    {
        record.firstToken = std::chrono::milliseconds(101);
        add(RequestResult::Completed, AnswerVerdict::Whole);
        REQUIRE(statistics.met() == 1);
    }
}

SCENARIO("A mix file is read from TOML")
{
    const std::string text = R"(
[[class]]
name = "chat"
streamed = true
rate = 12.5
teams = { east = 3, west = 1 }
first_token_ms = 140
[[burst]]
class = "chat"
start_s = 1.5
duration_s = 2
factor = 4
[[team]]
name = "east"
credential = "secret"
)";
    const auto isRead = handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(mix, Mix::parse(text, false));
            REQUIRE(mix.classes.size() == 1);
            REQUIRE(mix.classes[0].rate == 12.5);
            REQUIRE(mix.classes[0].teams.size() == 2);
            REQUIRE(mix.classes[0].firstTokenTarget == std::chrono::milliseconds(140));
            REQUIRE(mix.bursts[0].start == std::chrono::milliseconds(1500));

            // Guards against prompts whose answers can't be told apart.
            RequestFactory factory(mix.classes[0], mix, "run", 1);
            const auto first = factory.make();
            const auto second = factory.make();
            REQUIRE(first.hash != second.hash);
            REQUIRE(markerOf(first.body) == first.marker);
            return true;
        },
        [](const Error &) { return false; });
    REQUIRE(isRead);

    THEN("a file without classes is rejected")
    {
        const auto isRejected = handleErrors(
            []() -> Result<bool> {
                BOOST_LEAF_CHECK(Mix::parse("retry_after_scale = 1", false));
                return false;
            },
            [](const Error &error) { return error.code == ResultCode::BadSettings; });
        REQUIRE(isRejected);
    }
}

SCENARIO("Reports of several runs are put side by side")
{
    const auto report = [](const std::string &policy, double attainment, std::uint64_t bad) {
        return nlohmann::json {
            { "labels", { { "scenario", "crest" }, { "policy", policy } } },
            { "total",
              { { "goodput_per_s", 10 },
                { "useful_tokens", 75 },
                { "attainment_of_smaller_teams", 1 },
                { "bad_answers", bad } } },
            { "truth",
              { { "duplicate_bookings", 1 },
                { "told_not_run_but_run", 0 },
                { "completed_bookings_not_run", 0 } } },
            { "engines", { { "engine_tokens_generated_total", 100 } } },
            { "classes",
              { { { "name", "chat" },
                  { "attainment", attainment },
                  { "attainment_at_peak", attainment },
                  { "is_urgent_stream", true },
                  { "wait_p99_ms", 5 },
                  { "first_token_ms", { { "p99", 9 } } } } } },
        };
    };
    const Comparison comparison(
        { report("holder", 1, 0), report("local", 0.5, 0), report("holder", 0.8, 2) });

    // Guards against faults of one run that a mean over the seeds hides.
    THEN("attainment is the mean over the runs of a policy, faults are added up")
    {
        const auto &rows = comparison.rows();
        REQUIRE(rows.size() == 2);
        REQUIRE(rows[0]["policy"] == "holder");
        REQUIRE(rows[0]["runs"] == 2);
        REQUIRE(rows[0]["classes"][0]["attainment"].get<double>() == Approx(0.9));
        REQUIRE(rows[0]["bad_answers"] == 2);
        REQUIRE(rows[0]["false_outcomes"] == 2);
        REQUIRE(rows[0]["wasted_share"].get<double>() == Approx(0.25));
    }
}
