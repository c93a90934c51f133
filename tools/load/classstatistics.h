#ifndef CROCUSPORT_CLASSSTATISTICS_H
#define CROCUSPORT_CLASSSTATISTICS_H

#include "answercheck.h"
#include "crocusport/state/instant.h"
#include "mix.h"
#include "requestplan.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace crocusport {

//! How a request ended for its caller. Cut: an answer that broke off and does not say its outcome.
enum class RequestResult { Completed, NotRun, Unknown, Failed, ConnectionError, Cut, TimedOut };

//! Returns a stable name for reports. Safe from any thread.
std::string_view requestResultName(RequestResult result);

//! One request after its last attempt.
struct RequestRecord
{
    RequestResult result = RequestResult::Failed;
    AnswerVerdict verdict = AnswerVerdict::Whole; //!< Of completed answers.
    bool isForeign = false;   //!< Whether any attempt saw a token of another request.
    Duration firstToken {};   //!< Since the arrival; 0 when there was none.
    Duration answer {};       //!< Since the arrival.
    std::uint32_t tokens = 0; //!< Received in the last attempt.
    std::uint32_t attempts = 0;
    std::vector<std::string> codes; //!< "<status>/<result code>" of each attempt.
};

/*!
    What the requests of one class have met.

    Thread safety: none; use from one thread.
*/
class ClassStatistics
{
public:
    explicit ClassStatistics(const LoadClass &loadClass) : class_(loadClass) { }

    void addSent(const RequestPlan &plan);
    void add(const RequestPlan &plan, const RequestRecord &record);
    //! Completed answers that are not whole or not the request's own, and cut ones shown as whole.
    std::uint64_t badAnswers() const;
    std::uint64_t sent() const { return sent_; }
    std::uint64_t met() const { return met_; }
    //! Tokens of whole answers, whether in time or not.
    std::uint64_t usefulTokens() const { return usefulTokens_; }

    struct TeamCounts
    {
        std::uint64_t sent = 0;
        std::uint64_t met = 0;
    };
    const std::map<std::string, TeamCounts> &teams() const { return teams_; }
    const LoadClass &loadClass() const { return class_; }

    nlohmann::json toJson(Duration length) const;

    //! The value below which \a share of \a samples lie; 0 without samples.
    static double quantile(std::vector<float> samples, double share);

private:
    bool isTargetMet(const RequestRecord &record) const;

    const LoadClass &class_;
    std::uint64_t sent_ = 0;
    std::uint64_t met_ = 0;
    std::uint64_t sentAtPeak_ = 0;
    std::uint64_t metAtPeak_ = 0;
    std::uint64_t retries_ = 0;
    std::uint64_t tokens_ = 0;
    std::uint64_t metTokens_ = 0;
    std::uint64_t usefulTokens_ = 0;
    std::uint64_t incomplete_ = 0;
    std::uint64_t wrong_ = 0;
    std::uint64_t foreign_ = 0;
    std::array<std::uint64_t, 7> results_ {};
    std::map<std::string, std::uint64_t> codes_;
    std::map<std::string, TeamCounts> teams_;
    std::vector<float> firstTokenMs_; //!< Of completed requests.
    std::vector<float> answerMs_;     //!< Of completed requests.
};

} // namespace crocusport

#endif // CROCUSPORT_CLASSSTATISTICS_H
