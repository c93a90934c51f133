#include "classstatistics.h"

#include <algorithm>

namespace crocusport {

namespace {

constexpr std::array<std::string_view, 7> kResultNames = {
    "completed", "not_run", "unknown", "failed", "connection_error", "cut", "timed_out"
};

float toMs(Duration duration)
{
    return static_cast<float>(toSeconds(duration) * 1000);
}

nlohmann::json quantiles(const std::vector<float> &samples)
{
    return { { "p50", ClassStatistics::quantile(samples, 0.5) },
             { "p95", ClassStatistics::quantile(samples, 0.95) },
             { "p99", ClassStatistics::quantile(samples, 0.99) },
             { "min", ClassStatistics::quantile(samples, 0) } };
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

std::string_view requestResultName(RequestResult result)
{
    return kResultNames.at(static_cast<std::size_t>(result));
}

double ClassStatistics::quantile(std::vector<float> samples, double share)
{
    if (samples.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(samples.size()));
    const auto index = std::min(rank, samples.size() - 1);
    const auto at = samples.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(samples.begin(), at, samples.end());
    return *at;
}

void ClassStatistics::addSent(const RequestPlan &plan)
{
    ++sent_;
    ++teams_[plan.team].sent;
    if (plan.isAtPeak)
        ++sentAtPeak_;
}

bool ClassStatistics::isTargetMet(const RequestRecord &record) const
{
    if (record.result != RequestResult::Completed || record.verdict != AnswerVerdict::Whole)
        return false;
    // Without a stream there is no first token apart from the whole answer.
    if (class_.isStreamed && class_.firstTokenTarget
        && record.firstToken > *class_.firstTokenTarget)
        return false;
    return !class_.answerTarget || record.answer <= *class_.answerTarget;
}

void ClassStatistics::add(const RequestPlan &plan, const RequestRecord &record)
{
    ++results_.at(static_cast<std::size_t>(record.result));
    retries_ += record.attempts - 1;
    tokens_ += record.tokens;
    for (const auto &code : record.codes)
        ++codes_[code];
    if (record.isForeign)
        ++foreign_;
    if (record.result == RequestResult::Completed) {
        incomplete_ += record.verdict == AnswerVerdict::Incomplete ? 1 : 0;
        wrong_ += record.verdict == AnswerVerdict::Wrong ? 1 : 0;
        if (record.verdict == AnswerVerdict::Whole)
            usefulTokens_ += record.tokens;
        answerMs_.push_back(toMs(record.answer));
        if (class_.isStreamed)
            firstTokenMs_.push_back(toMs(record.firstToken));
    }
    if (!isTargetMet(record))
        return;
    ++met_;
    ++teams_[plan.team].met;
    metTokens_ += record.tokens;
    if (plan.isAtPeak)
        ++metAtPeak_;
}

std::uint64_t ClassStatistics::badAnswers() const
{
    return incomplete_ + wrong_ + foreign_;
}

nlohmann::json ClassStatistics::toJson(Duration length) const
{
    nlohmann::json results = nlohmann::json::object();
    for (std::size_t index = 0; index < results_.size(); ++index)
        results[std::string(kResultNames.at(index))] = results_.at(index);
    nlohmann::json teams = nlohmann::json::object();
    for (const auto &[team, counts] : teams_)
        teams[team] = { { "sent", counts.sent }, { "met", counts.met } };
    const auto seconds = toSeconds(length);
    const auto &waits = class_.isStreamed ? firstTokenMs_ : answerMs_;
    return {
        { "name", class_.name },
        { "sent", sent_ },
        { "met", met_ },
        { "attainment", share(met_, sent_) },
        { "sent_at_peak", sentAtPeak_ },
        { "attainment_at_peak", share(metAtPeak_, sentAtPeak_) },
        { "goodput_per_s", static_cast<double>(met_) / seconds },
        { "good_tokens_per_s", static_cast<double>(metTokens_) / seconds },
        { "tokens", tokens_ },
        { "first_token_ms", quantiles(firstTokenMs_) },
        { "answer_ms", quantiles(answerMs_) },
        // The fastest request of the class did not wait.
        { "wait_p99_ms", quantile(waits, 0.99) - quantile(waits, 0) },
        { "results", std::move(results) },
        { "codes", codes_ },
        { "teams", std::move(teams) },
        { "is_urgent_stream", class_.isStreamed && class_.firstTokenTarget.has_value() },
        { "retries", retries_ },
        { "incomplete", incomplete_ },
        { "wrong", wrong_ },
        { "foreign", foreign_ },
    };
}

} // namespace crocusport
