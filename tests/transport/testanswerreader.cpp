#include "answerreader.h"

#include <catch2/catch.hpp>

using namespace crocusport;

// Guards against a checker that accepts bytes which are not a response.
SCENARIO("The bytes of a connection are parsed as responses")
{
    const std::string plain = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    const std::string stream = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
    const auto read = [](const std::string &bytes, std::size_t requests,
                         ConnectionEnd end = ConnectionEnd::Open) {
        return readAnswers(bytes, requests, end);
    };

    WHEN("they are complete responses")
    {
        const auto connection = read(plain + stream + "0\r\n\r\n" + plain, 3);
        REQUIRE(connection.fault.empty());
        REQUIRE(connection.answers.size() == 3);
        REQUIRE(connection.answers[1].body == "abc");
        REQUIRE(connection.answers[2].isComplete);
    }
    WHEN("the last response is truncated at any byte")
    {
        const std::string whole = stream + "0\r\n\r\n";
        for (std::size_t size = 1; size < whole.size(); ++size) {
            CAPTURE(size);
            const auto connection = read(whole.substr(0, size), 1, ConnectionEnd::Reset);
            REQUIRE(connection.fault.empty());
            REQUIRE_FALSE(connection.answers.at(0).isComplete);
        }
    }
    WHEN("a response is delimited only by the close")
    {
        const std::string bytes = "HTTP/1.1 200 OK\r\n\r\nabc";
        REQUIRE(read(bytes, 1, ConnectionEnd::Closed).answers.at(0).isComplete);
        REQUIRE_FALSE(read(bytes, 1, ConnectionEnd::Reset).answers.at(0).isComplete);
    }
    WHEN("there are more responses than requests")
    {
        REQUIRE(read(plain + plain, 1).fault.starts_with("bytes without a request"));
    }
    WHEN("there is a second head inside a chunked body")
    {
        REQUIRE(read(stream + plain, 2).fault.starts_with("invalid response body"));
        REQUIRE(read(stream + "HT", 2).fault.starts_with("invalid response body"));
    }
    WHEN("there are other bytes before a response")
    {
        REQUIRE(read("x" + plain, 1).fault.starts_with("invalid response head"));
    }
}
