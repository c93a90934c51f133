#include "crocusport/protocol/classfiles.h"
#include "crocusport/protocol/settings.h"
#include "crocusport/state/resultcode.h"

#include "protocol/hostileinput.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <map>
#include <sstream>

using namespace crocusport;
using namespace crocusport::test;

namespace {

std::string path(const std::string &name)
{
    return std::string(CROCUSPORT_SOURCE_DIRECTORY) + '/' + name;
}

std::string readFile(const std::string &name)
{
    std::ifstream stream(path(name));
    std::ostringstream text;
    text << stream.rdbuf();
    REQUIRE_FALSE(text.str().empty());
    return text.str();
}

//! Cells of the rows of a table in Markdown whose first cell is a number.
std::map<int, std::vector<std::string>> numberedRows(const std::string &markdown)
{
    std::map<int, std::vector<std::string>> rows;
    std::istringstream lines(markdown);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("| ") || !std::isdigit(static_cast<unsigned char>(line[2])))
            continue;
        std::vector<std::string> cells;
        std::size_t begin = 2;
        for (auto end = line.find(" |", begin); end != std::string::npos;
             end = line.find(" |", begin)) {
            cells.push_back(line.substr(begin, end - begin));
            begin = end + 3;
        }
        const int number = std::stoi(cells.at(0));
        REQUIRE(rows.emplace(number, cells).second);
    }
    return rows;
}

} // namespace

// Guards against codes that operators and callers cannot look up.
TEST_CASE("docs/result-codes.md lists exactly the result codes")
{
    constexpr int kLastCode = 599;
    const auto rows = numberedRows(readFile("docs/result-codes.md"));
    for (int number = 0; number <= kLastCode; ++number) {
        const std::string name { resultCodeName(static_cast<ResultCode>(number)) };
        const auto row = rows.find(number);
        INFO(number << ' ' << name);
        REQUIRE((row != rows.end()) == (name != "Unlisted"));
        if (row == rows.end())
            continue;
        REQUIRE(row->second.size() == 5);
        REQUIRE(row->second[1] == name);
        REQUIRE_FALSE(row->second[4].empty());
    }
    REQUIRE(rows.rbegin()->first <= kLastCode);
}

// Guards against documentation of keys that do not exist, or have another range.
TEST_CASE("The documented keys are those of the programs")
{
    REQUIRE(readFile("docs/settings.md").find(Settings::reference()) != std::string::npos);
    REQUIRE(readFile("docs/class-files.md").find(classFileReference()) != std::string::npos);
}

// Guards against examples that are refused.
TEST_CASE("The examples of docs/class-files.md are valid together")
{
    const auto markdown = readFile("docs/class-files.md");
    const std::string fence = "```toml\n# ";
    std::vector<ClassFile> files;
    for (auto at = markdown.find(fence); at != std::string::npos; at = markdown.find(fence, at)) {
        at += fence.size();
        const auto lineEnd = markdown.find('\n', at);
        const auto end = markdown.find("```", at);
        files.push_back(
            { markdown.substr(at, lineEnd - at), markdown.substr(lineEnd, end - lineEnd) });
    }
    REQUIRE(files.size() == 3);
    const auto error = errorOf([&] { return parseClassFiles(files); });
    INFO((error ? error->message : std::string()));
    REQUIRE_FALSE(error.has_value());
}

// Guards against sample files that no longer load, and bookings that could run twice.
TEST_CASE("The sample class files are valid")
{
    for (const std::string user : { "balai", "poerandaliit" }) {
        const auto error = errorOf([&] { return loadClassFiles(path("config/" + user)); });
        INFO((error ? error->message : std::string()));
        REQUIRE_FALSE(error.has_value());
        const auto configuration = valueOf([&] { return loadClassFiles(path("config/" + user)); });
        REQUIRE(configuration->classes.size() == 5);
        for (const auto &[name, requestClass] : configuration->classes) {
            const bool isBooking = name.value().ends_with("-booking");
            REQUIRE((requestClass.repeat == RepeatRule::Never) == isBooking);
        }
    }
}
