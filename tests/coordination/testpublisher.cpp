#include "crocusport/coordination/publisher.h"
#include "fakestore.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <sstream>

using namespace crocusport;
using namespace crocusport::testing;
using namespace std::chrono_literals;

namespace {

Publication publication(const std::string &publishId)
{
    return { publishId,
             [](ConfigurationVersion version, const std::string &id) {
                 return std::to_string(version.value()) + " " + id;
             },
             [](const std::string &value) -> std::optional<PublishedDocument> {
                 std::istringstream text(value);
                 std::uint64_t version = 0;
                 std::string id;
                 if (!(text >> version >> id))
                     return std::nullopt;
                 return PublishedDocument { ConfigurationVersion(version), id };
             },
             {} };
}

} // namespace

TEST_CASE("The result of a publication agrees with what is in the store")
{
    // Guards against a publisher that reports a conflict because of its own write, whose reply was
    // lost, and against one that replaces another operator's document without an error.
    rc::prop("a document is written once if published, never if reported as not published", [] {
        FakeStore store(*rc::gen::arbitrary<std::uint64_t>());
        store.replyLoss = *rc::gen::element(0.0, 0.3, 0.7);
        store.lateWrites = *rc::gen::element(0.0, 0.3);
        Publisher publisher(store);
        std::map<std::string, std::vector<std::uint64_t>> written;
        std::uint64_t newest = 0;
        store.onWrite = [&](const std::string &value) {
            const auto document = publication("").decode(value);
            RC_ASSERT(document->version.value() == newest + 1);
            newest = document->version.value();
            written[document->publishId].push_back(newest);
        };
        std::map<std::string, AsyncResult<ConfigurationVersion>> results;
        Instant now(1s);
        const auto operators = *rc::gen::inRange(1, 5);
        for (int i = 0; i < operators; ++i) {
            const auto id = "operator" + std::to_string(i);
            publisher.publish(publication(id), [&results, id](auto result) {
                RC_ASSERT(results.emplace(id, std::move(result)).second);
            });
            store.isUnavailable = *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } });
            now += *rc::gen::element<Duration>(0ms, 3ms, 300ms);
            store.advance(now);
        }
        store.isUnavailable = *rc::gen::arbitrary<bool>();
        store.advance(now + 60s);
        RC_ASSERT(results.size() == static_cast<std::size_t>(operators));
        for (const auto &[id, result] : results) {
            const auto *const version = std::get_if<ConfigurationVersion>(&result);
            if (version) {
                RC_ASSERT(written[id] == std::vector { version->value() });
                continue;
            }
            const auto code = std::get<Error>(result).code;
            if (code == ResultCode::OutcomeUnknown)
                RC_ASSERT(written[id].size() <= 1);
            else
                RC_ASSERT(written[id].empty());
        }
    });

    SECTION("two operators publish at the same time")
    {
        FakeStore store(7);
        Publisher publisher(store);
        std::vector<AsyncResult<ConfigurationVersion>> results;
        const auto keep = [&](auto result) { results.push_back(std::move(result)); };
        publisher.publish(publication("first"), keep);
        publisher.publish(publication("second"), keep);
        store.advance(Instant(1s));
        REQUIRE(results.size() == 2);
        REQUIRE(std::get<ConfigurationVersion>(results[0]) == ConfigurationVersion(1));
        REQUIRE(std::get<Error>(results[1]).code == ResultCode::PublishConflict);
        publisher.publish(publication("second-again"), keep);
        store.advance(Instant(2s));
        REQUIRE(std::get<ConfigurationVersion>(results.at(2)) == ConfigurationVersion(2));
    }
    SECTION("a document that fails validation is rejected with the error of the validation")
    {
        FakeStore store(7);
        Publisher publisher(store);
        auto refused = publication("refused");
        refused.validate = [](const std::optional<std::string> &current) -> std::optional<Error> {
            REQUIRE_FALSE(current);
            return Error { ResultCode::ConflictingClassFiles, "two teams define the class" };
        };
        std::optional<ResultCode> code;
        publisher.publish(refused, [&](auto result) { code = std::get<Error>(result).code; });
        store.advance(Instant(1s));
        REQUIRE(code == ResultCode::ConflictingClassFiles);
    }
}
