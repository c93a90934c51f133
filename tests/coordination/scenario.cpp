#include "scenario.h"

#include "cluster.h"

#include <sstream>
#include <stdexcept>

namespace crocusport::testing {

namespace {

using namespace std::chrono_literals;

Duration parseDuration(const std::string &text)
{
    std::size_t end = 0;
    const auto number = std::stoll(text, &end);
    const auto unit = text.substr(end);
    if (unit == "ms")
        return std::chrono::milliseconds(number);
    if (unit == "s")
        return std::chrono::seconds(number);
    throw std::runtime_error("invalid time: " + text);
}

void check(bool isMet, const std::string &found)
{
    if (!isMet)
        throw std::runtime_error("found " + found);
}

std::string join(const std::vector<std::string> &names)
{
    std::string text;
    for (const auto &name : names)
        text += name + " ";
    return text;
}

class Script
{
public:
    Script(const std::vector<std::string> &names, std::uint64_t seed)
        : names_(names), cluster_(names, seed), start_(cluster_.now())
    { }

    void run(std::istringstream &line)
    {
        std::string at;
        std::string time;
        std::string command;
        if (!(line >> at >> time >> command) || at != "at")
            throw std::runtime_error("expected: at TIME COMMAND");
        cluster_.advanceTo(start_ + parseDuration(time));
        if (command == "expect")
            expect(line);
        else
            act(command, line);
    }

private:
    //! Reads a router's name, which may also be "holder:POOL" or "other:POOL"; see runScenario().
    std::string router(std::istringstream &line) const
    {
        auto name = word(line);
        const auto colon = name.find(':');
        if (colon == std::string::npos)
            return name;
        const auto holder =
            cluster_.holderSeenBy(cluster_.runningNodes().front(), name.substr(colon + 1));
        auto known = holders_.emplace(name.substr(colon + 1), holder).first->second;
        if (name.substr(0, colon) == "holder")
            return known;
        return names_.front() == known ? names_.at(1) : names_.front();
    }

    static std::string word(std::istringstream &line)
    {
        std::string text;
        if (!(line >> text))
            throw std::runtime_error("an argument is missing");
        return text;
    }

    void act(const std::string &command, std::istringstream &line)
    {
        if (command == "cut") {
            const auto first = router(line);
            cluster_.cut(first, router(line));
        } else if (command == "heal") {
            cluster_.healAll();
        } else if (command == "pause") {
            cluster_.pause(router(line));
        } else if (command == "resume") {
            cluster_.resume(router(line));
        } else if (command == "kill") {
            cluster_.kill(router(line));
        } else if (command == "start") {
            cluster_.start(router(line));
        } else if (command == "leave") {
            cluster_.leave(router(line));
        } else if (command == "loss") {
            cluster_.loss = std::stod(word(line));
        } else if (command == "request") {
            request(line);
        } else if (command == "cancel") {
            cluster_.cancelAll(router(line));
        } else if (command == "observe") {
            const auto observer = router(line);
            cluster_.observe(observer, word(line));
        } else if (command == "publish") {
            cluster_.publish(word(line));
        } else if (command == "store") {
            cluster_.store.isUnavailable = word(line) == "out";
        } else {
            throw std::runtime_error("unknown command: " + command);
        }
    }

    void request(std::istringstream &line)
    {
        const auto receiver = router(line);
        const auto pool = word(line);
        const auto tier = std::stoi(word(line));
        const auto count = std::stoi(word(line));
        const auto deadline = parseDuration(word(line));
        const auto service = parseDuration(word(line));
        for (int i = 0; i < count; ++i)
            cluster_.request(receiver, pool, tier, deadline, service);
    }

    void expect(std::istringstream &line)
    {
        const auto what = word(line);
        if (what == "all-agree") {
            for (const auto &name : cluster_.runningNodes())
                check(cluster_.liveSeenBy(name) == cluster_.runningNodes(),
                      name + " sees " + join(cluster_.liveSeenBy(name)));
        } else if (what == "live") {
            const auto seen = cluster_.liveSeenBy(router(line));
            std::vector<std::string> expected;
            for (std::string name; line >> name;)
                expected.push_back(name);
            check(seen == expected, join(seen));
        } else if (what == "drops") {
            check(cluster_.drops() == std::stoi(word(line)), std::to_string(cluster_.drops()));
        } else if (what == "decided") {
            expectDecided();
        } else if (what == "granted") {
            int granted = 0;
            for (const auto &[id, request] : cluster_.requests())
                granted += request.grants;
            check(granted == std::stoi(word(line)), std::to_string(granted));
        } else if (what == "slots") {
            const auto slots = cluster_.countedSlots();
            check(slots == std::stoul(word(line)), std::to_string(slots));
        } else if (what == "version" || what == "same-version") {
            const auto expected =
                what == "version" ? std::stoull(word(line)) : cluster_.storedVersion();
            for (const auto &name : cluster_.runningNodes())
                check(cluster_.versionOf(name) == expected,
                      std::to_string(cluster_.versionOf(name)) + " at " + name);
        } else if (what == "ready") {
            const auto name = router(line);
            check(cluster_.isReady(name), name + " not ready");
        } else if (what == "observed") {
            const auto expected = std::stoul(word(line));
            for (const auto &name : cluster_.runningNodes())
                check(cluster_.observationsAt(name) == expected,
                      std::to_string(cluster_.observationsAt(name)) + " at " + name);
        } else if (what == "published") {
            const auto found = cluster_.publications().find(word(line));
            const auto result = found == cluster_.publications().end() ? "nothing" : found->second;
            check(result == word(line), result);
        } else {
            throw std::runtime_error("unknown expectation: " + what);
        }
    }

    void expectDecided() const
    {
        for (const auto &[id, request] : cluster_.requests()) {
            const auto decisions = request.grants + request.refusals;
            check(decisions <= 1, std::to_string(decisions) + " decisions on " + id);
            check(decisions == (request.isCancelled ? 0 : 1)
                      || !cluster_.hasIncarnation(request.router, request.incarnation),
                  std::to_string(decisions) + " decisions on " + id);
        }
    }

    std::vector<std::string> names_;
    Cluster cluster_;
    Instant start_;
    mutable std::map<std::string, std::string> holders_;
};

} // namespace

std::string runScenario(const std::string &script, std::uint64_t seed)
{
    std::istringstream lines(script);
    std::unique_ptr<Script> running;
    for (std::string text; std::getline(lines, text);) {
        std::istringstream line(text);
        std::string first;
        if (!(line >> first) || first.front() == '#')
            continue;
        try {
            if (first == "routers") {
                std::vector<std::string> names;
                for (std::string name; line >> name;)
                    names.push_back(name);
                running = std::make_unique<Script>(names, seed);
            } else if (running) {
                line.seekg(0);
                running->run(line);
            }
        } catch (const std::exception &error) {
            return text + ": " + error.what();
        }
    }
    return running ? "" : "no line \"routers\"";
}

} // namespace crocusport::testing
