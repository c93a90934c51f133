#ifndef CROCUSPORT_REQUESTMETRICS_H
#define CROCUSPORT_REQUESTMETRICS_H

#include "crocusport/protocol/statusdocument.h"
#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"
#include "crocusport/state/outcome.h"
#include "crocusport/state/resultcode.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace crocusport {

//! What is known of a request when it has ended.
struct RequestMeasurement
{
    ClassName requestClass; //!< Empty when the request named no configured class.
    TeamName team;          //!< Empty when the request named no configured team.
    Outcome outcome = Outcome::Failed;
    ResultCode code = ResultCode::Ok;
    std::optional<Duration> queueWait;
    std::optional<Duration> firstToken;
    Duration answer {};
    std::uint64_t outputTokens = 0;
    bool isTargetMet = false;
};

/*!
    Metrics in Prometheus text format. Label sets are bounded: classes and teams come from the
    configuration, and sets beyond kMaxLabelSets share the label "other".

    Thread safety: loop thread only.
*/
class RequestMetrics
{
public:
    static constexpr std::size_t kMaxLabelSets = 4000;

    RequestMetrics();

    void observe(const RequestMeasurement &measurement);
    //! Sets a gauge without labels, such as "crocusport_members".
    void setGauge(const std::string &name, const std::string &help, double value);
    void countRetry(const ClassName &requestClass, bool isAllowed);
    //! One entry for each class that had requests.
    std::vector<ClassReport> classReports() const;
    //! All metrics in the text exposition format, version 0.0.4.
    std::string text() const;

private:
    struct Series
    {
        prometheus::Labels labels;
        prometheus::Histogram *queueWait = nullptr;
        prometheus::Histogram *firstToken = nullptr;
        prometheus::Histogram *answer = nullptr;
        prometheus::Histogram *outputTokens = nullptr;
        prometheus::Counter *targetMet = nullptr;
        std::map<std::pair<Outcome, ResultCode>, prometheus::Counter *> outcomes;
    };

    Series &seriesFor(const ClassName &requestClass, const TeamName &team);
    Series makeSeries(const prometheus::Labels &labels);

    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter> &requests_;
    prometheus::Family<prometheus::Counter> &targetMet_;
    prometheus::Family<prometheus::Counter> &retries_;
    prometheus::Family<prometheus::Histogram> &queueWait_;
    prometheus::Family<prometheus::Histogram> &firstToken_;
    prometheus::Family<prometheus::Histogram> &answer_;
    prometheus::Family<prometheus::Histogram> &outputTokens_;
    std::map<std::pair<ClassName, TeamName>, Series> series_;
    std::map<ClassName, ClassReport> classReports_;
    std::map<std::string, prometheus::Gauge *> gauges_;
};

} // namespace crocusport

#endif // CROCUSPORT_REQUESTMETRICS_H
