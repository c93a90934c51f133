#include "requestmetrics.h"

#include <prometheus/text_serializer.h>

namespace crocusport {

namespace {

// Bounds in seconds around the targets in use: 1.4 s for the first token, minutes for reports.
const prometheus::Histogram::BucketBoundaries kLatencyBounds = { 0.005, 0.02, 0.05, 0.1, 0.2,
                                                                 0.5,   1.0,  1.4,  2.5, 5.0,
                                                                 15.0,  60.0, 600.0 };
const prometheus::Histogram::BucketBoundaries kTokenBounds = {
    1, 8, 32, 128, 512, 2048, 8192, 32768
};

prometheus::Family<prometheus::Counter> &counters(prometheus::Registry &registry,
                                                  const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram> &
histograms(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

} // namespace

RequestMetrics::RequestMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(counters(*registry_, "crocusport_requests_total",
                         "Requests by class, team, outcome and result code.")),
      targetMet_(counters(*registry_, "crocusport_target_met_total",
                          "Requests that met the targets of their class.")),
      retries_(counters(*registry_, "crocusport_retries_total",
                        "Retries by class, and whether the budget allowed them.")),
      queueWait_(histograms(*registry_, "crocusport_queue_wait_seconds",
                            "Time from arrival to the start on a backend server.")),
      firstToken_(histograms(*registry_, "crocusport_first_token_seconds",
                             "Time from arrival to the first token.")),
      answer_(histograms(*registry_, "crocusport_answer_seconds",
                         "Time from arrival to the end of the answer.")),
      outputTokens_(
          histograms(*registry_, "crocusport_output_tokens", "Tokens streamed for each request."))
{ }

void RequestMetrics::observe(const RequestMeasurement &measurement)
{
    auto &series = seriesFor(measurement.requestClass, measurement.team);
    auto &counter = series.outcomes[{ measurement.outcome, measurement.code }];
    if (!counter) {
        auto labels = series.labels;
        labels["outcome"] = outcomeName(measurement.outcome);
        labels["code"] = std::to_string(static_cast<int>(measurement.code));
        counter = &requests_.Add(labels);
    }
    counter->Increment();
    auto &report = classReports_[ClassName(series.labels.at("class"))];
    ++report.ended;
    report.completed += measurement.outcome == Outcome::Completed ? 1 : 0;
    report.targetMet += measurement.isTargetMet ? 1 : 0;
    if (measurement.queueWait)
        series.queueWait->Observe(toSeconds(*measurement.queueWait));
    if (measurement.firstToken)
        series.firstToken->Observe(toSeconds(*measurement.firstToken));
    if (measurement.outcome == Outcome::Completed)
        series.answer->Observe(toSeconds(measurement.answer));
    if (measurement.outputTokens > 0)
        series.outputTokens->Observe(static_cast<double>(measurement.outputTokens));
    if (measurement.isTargetMet)
        series.targetMet->Increment();
}

RequestMetrics::Series &RequestMetrics::seriesFor(const ClassName &requestClass,
                                                  const TeamName &team)
{
    const auto known = series_.find({ requestClass, team });
    if (known != series_.end())
        return known->second;
    if (series_.size() >= kMaxLabelSets && requestClass != ClassName("other"))
        return seriesFor(ClassName("other"), TeamName("other"));
    const prometheus::Labels labels { { "class", requestClass.value() }, { "team", team.value() } };
    return series_.emplace(std::pair(requestClass, team), makeSeries(labels)).first->second;
}

RequestMetrics::Series RequestMetrics::makeSeries(const prometheus::Labels &labels)
{
    Series series;
    series.labels = labels;
    series.queueWait = &queueWait_.Add(labels, kLatencyBounds);
    series.firstToken = &firstToken_.Add(labels, kLatencyBounds);
    series.answer = &answer_.Add(labels, kLatencyBounds);
    series.outputTokens = &outputTokens_.Add(labels, kTokenBounds);
    series.targetMet = &targetMet_.Add(labels);
    return series;
}

void RequestMetrics::setGauge(const std::string &name, const std::string &help, double value)
{
    auto &gauge = gauges_[name];
    if (!gauge)
        gauge = &prometheus::BuildGauge().Name(name).Help(help).Register(*registry_).Add({});
    gauge->Set(value);
}

void RequestMetrics::countRetry(const ClassName &requestClass, bool isAllowed)
{
    retries_.Add({ { "class", requestClass.value() }, { "allowed", isAllowed ? "yes" : "no" } })
        .Increment();
}

std::vector<ClassReport> RequestMetrics::classReports() const
{
    std::vector<ClassReport> reports;
    reports.reserve(classReports_.size());
    for (const auto &[name, report] : classReports_) {
        reports.push_back(report);
        reports.back().name = name;
    }
    return reports;
}

std::string RequestMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace crocusport
