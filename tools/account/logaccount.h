#ifndef CROCUSPORT_LOGACCOUNT_H
#define CROCUSPORT_LOGACCOUNT_H

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocusport {

/*!
    Sums up the logs of gateways by time and route: what became of requests, and why they were late.

    Thread safety: none; use from one thread.
*/
class LogAccount
{
public:
    //! \a intervalMs is the length of a row, at least 1.
    explicit LogAccount(std::int64_t intervalMs) : intervalMs_(intervalMs) { }

    //! Takes a line of a log; text before its first pair and lines of other events are ignored.
    void add(std::string_view line);
    //! Writes one row for each interval and route. Seconds count from the first interval at most
    //! half an hour before the median one.
    void write(std::ostream &output) const;

private:
    struct Row
    {
        std::uint64_t requests = 0;
        std::uint64_t inTarget = 0;
        std::uint64_t lateFirst = 0;
        std::uint64_t latePause = 0;
        std::uint64_t lateAnswer = 0;
        std::uint64_t notRun = 0;
        std::uint64_t failed = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t cachedTokens = 0;
        std::uint64_t rereadTokens = 0; //!< Read again though another server held them.
        std::vector<std::int64_t> firstMs;
        std::vector<std::int64_t> waitMs;
    };
    //! Of one interval, over all routes.
    struct Attempts
    {
        std::uint64_t refused = 0;
        std::uint64_t unreachable = 0;
        std::uint64_t broken = 0;
        std::uint64_t silent = 0;
        std::uint64_t failed = 0;
    };

    using Fields = std::map<std::string_view, std::string_view>;

    std::int64_t firstInterval() const;
    void addRequest(const Fields &fields, std::int64_t interval);
    void addAttempt(const Fields &fields, std::int64_t interval);

    std::int64_t intervalMs_;
    std::map<std::pair<std::int64_t, std::string>, Row> rows_;
    std::map<std::int64_t, Attempts> attempts_;
};

} // namespace crocusport

#endif // CROCUSPORT_LOGACCOUNT_H
