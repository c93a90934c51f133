#include "account/logaccount.h"

#include "crocusport/state/outcome.h"
#include "crocusport/state/resultcode.h"

#include <algorithm>
#include <charconv>
#include <iomanip>

namespace crocusport {

namespace {

constexpr double kMedian = 0.5;
constexpr double kTail = 0.9;
constexpr int kRouteWidth = 18;
constexpr int kNumberWidth = 9;
constexpr std::int64_t kMsPerSecond = 1000;
// Times further from the median are taken for those of wrong clocks.
constexpr std::int64_t kMaxSpanMs = 30LL * 60 * kMsPerSecond;

std::optional<std::int64_t> numberOf(const std::map<std::string_view, std::string_view> &fields,
                                     std::string_view name)
{
    const auto found = fields.find(name);
    if (found == fields.end())
        return std::nullopt;
    std::int64_t number = 0;
    const auto text = found->second;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::string_view textOf(const std::map<std::string_view, std::string_view> &fields,
                        std::string_view name)
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view() : found->second;
}

std::int64_t quantile(std::vector<std::int64_t> values, double share)
{
    if (values.empty())
        return -1;
    const auto position =
        static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

} // namespace

void LogAccount::add(std::string_view line)
{
    // Quoted values are not needed, so a space always ends a pair.
    Fields fields;
    while (!line.empty()) {
        const auto end = line.find(' ');
        const auto word = line.substr(0, end);
        if (const auto equals = word.find('='); equals != std::string_view::npos)
            fields.emplace(word.substr(0, equals), word.substr(equals + 1));
        if (end == std::string_view::npos)
            break;
        line.remove_prefix(end + 1);
    }
    const auto time = numberOf(fields, "time_ms");
    if (!time)
        return;
    const auto interval = *time / intervalMs_;
    const auto event = textOf(fields, "event");
    if (event == "request_ended")
        addRequest(fields, interval);
    else if (event == "attempt_failed")
        addAttempt(fields, interval);
}

void LogAccount::addRequest(const Fields &fields, std::int64_t interval)
{
    auto &row = rows_[{ interval, std::string(textOf(fields, "route")) }];
    ++row.requests;
    const auto outcome = textOf(fields, "outcome");
    const auto late = textOf(fields, "late");
    if (outcome == outcomeName(Outcome::NotRun))
        ++row.notRun;
    else if (outcome != outcomeName(Outcome::Completed))
        ++row.failed;
    else if (late == "first_event")
        ++row.lateFirst;
    else if (late == "pause")
        ++row.latePause;
    else if (late == "answer")
        ++row.lateAnswer;
    else
        ++row.inTarget;
    const auto prompt = static_cast<std::uint64_t>(numberOf(fields, "prompt").value_or(0));
    const auto cached = static_cast<std::uint64_t>(numberOf(fields, "cached").value_or(0));
    const auto most = static_cast<std::uint64_t>(numberOf(fields, "most_cached").value_or(0));
    row.promptTokens += prompt;
    row.cachedTokens += std::min(prompt, cached);
    row.rereadTokens += most - std::min(most, cached);
    if (const auto first = numberOf(fields, "first_ms"); first && *first >= 0)
        row.firstMs.push_back(*first);
    if (const auto wait = numberOf(fields, "wait_ms"); wait && *wait >= 0)
        row.waitMs.push_back(*wait);
}

void LogAccount::addAttempt(const Fields &fields, std::int64_t interval)
{
    auto &attempts = attempts_[interval];
    switch (static_cast<ResultCode>(numberOf(fields, "code").value_or(0))) {
    case ResultCode::BackendServerRefused:
        ++attempts.refused;
        break;
    case ResultCode::ConnectFailed:
        ++attempts.unreachable;
        break;
    case ResultCode::ProgressTimeout:
        ++attempts.silent;
        break;
    case ResultCode::BackendServerError:
        ++attempts.failed;
        break;
    default:
        ++attempts.broken;
        break;
    }
}

// Hosts whose clocks are wrong write other times, so the first one in the logs is not the start.
std::int64_t LogAccount::firstInterval() const
{
    std::vector<std::int64_t> intervals;
    for (const auto &[key, row] : rows_)
        intervals.push_back(key.first);
    if (intervals.empty())
        return 0;
    const auto earliest = quantile(intervals, kMedian) - kMaxSpanMs / intervalMs_;
    return *std::lower_bound(intervals.begin(), intervals.end(), earliest);
}

void LogAccount::write(std::ostream &output) const
{
    const auto number = [&](auto value) { output << std::setw(kNumberWidth) << value; };
    output << std::setw(kNumberWidth) << "second" << ' ' << std::left << std::setw(kRouteWidth)
           << "route" << std::right;
    for (const auto *title :
         { "requests", "in_target", "first", "pause", "answer", "not_run", "failed", "first_p50",
           "first_p90", "wait_p90", "prompt_k", "cached_k", "reread_k" })
        number(title);
    output << '\n';
    const auto start = firstInterval();
    const auto second = [&](std::int64_t interval) {
        return static_cast<double>((interval - start) * intervalMs_) / kMsPerSecond;
    };
    output << std::fixed << std::setprecision(1);
    constexpr std::uint64_t kThousand = 1000;
    for (const auto &[key, row] : rows_) {
        number(second(key.first));
        output << ' ' << std::left << std::setw(kRouteWidth) << key.second << std::right;
        for (const auto value : { row.requests, row.inTarget, row.lateFirst, row.latePause,
                                  row.lateAnswer, row.notRun, row.failed })
            number(value);
        number(quantile(row.firstMs, kMedian));
        number(quantile(row.firstMs, kTail));
        number(quantile(row.waitMs, kTail));
        number(row.promptTokens / kThousand);
        number(row.cachedTokens / kThousand);
        number(row.rereadTokens / kThousand);
        output << '\n';
    }
    output << '\n' << std::setw(kNumberWidth) << "second";
    for (const auto *title : { "refused", "no_conn", "broken", "silent", "failed" })
        number(title);
    output << '\n';
    for (const auto &[interval, attempts] : attempts_) {
        number(second(interval));
        for (const auto value : { attempts.refused, attempts.unreachable, attempts.broken,
                                  attempts.silent, attempts.failed })
            number(value);
        output << '\n';
    }
}

} // namespace crocusport
