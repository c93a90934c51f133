#ifndef CROCUSPORT_LOADGENERATOR_H
#define CROCUSPORT_LOADGENERATOR_H

#include "arrivalschedule.h"
#include "classstatistics.h"
#include "crocusport/transport/timer.h"
#include "loadrequest.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace crocusport {

//! Settings of one run.
struct LoadOptions
{
    std::vector<SocketAddress> routers;
    std::uint64_t seed = 1;
    Duration length = std::chrono::seconds(10);
    Duration drain = std::chrono::seconds(30); //!< Longest wait for answers after the last arrival.
    double rateFactor = 1;
    //! Idle connections kept for each router; callers when saturating. 0: a default for each.
    std::size_t connections = 0;
    bool isSaturating = false; //!< Closed loop: each caller sends when it has an answer.
    std::string runName = "run";
    std::map<std::string, std::string> labels; //!< Copied to the report.
};

/*!
    Sends the requests of a mix. In the open loop arrivals follow the schedule alone, so a slow
   answer never delays the next request.

    Thread safety: loop thread only. The loop must outlive the generator.
*/
class LoadGenerator
{
public:
    //! \a onEnd is called once, when all requests have ended.
    LoadGenerator(EventLoop &loop, const Mix &mix, const LoadOptions &options,
                  std::function<void()> onEnd);

    void start();

    const std::vector<std::unique_ptr<ClassStatistics>> &statistics() const { return statistics_; }
    //! Markers of bookings, and hashes of engine requests, whose callers were told "not run" only.
    const std::vector<std::string> &toldNotRun() const { return toldNotRun_; }
    //! Markers of bookings that completed.
    const std::vector<std::string> &completedBookings() const { return completedBookings_; }
    std::size_t mostOpen() const { return mostOpen_; }
    //! How late arrivals were because this process was busy, in milliseconds.
    const std::vector<float> &latenessMs() const { return latenessMs_; }

private:
    struct Source
    {
        const LoadClass &loadClass;
        ClassStatistics &statistics;
        ArrivalSchedule schedule;
        RequestFactory factory;
        std::deque<std::pair<Instant, std::weak_ptr<LoadRequest>>> limits;
    };

    void scheduleArrival(Source &source);
    void startRequest(Source &source);
    void startFromAnySource();
    void onDone(Source &source, const LoadRequest &request);
    void checkLimits();
    void checkEnd();
    bool isPeak(Duration time) const;

    const Mix &mix_;
    LoadOptions options_;
    std::function<void()> onEnd_;
    TaskQueue tasks_;
    HttpClient client_;
    LoadEnvironment environment_;
    std::vector<std::unique_ptr<ClassStatistics>> statistics_;
    std::vector<std::unique_ptr<Source>> sources_;
    std::discrete_distribution<std::size_t> sourceWeights_;
    std::unordered_map<const LoadRequest *, std::shared_ptr<LoadRequest>> open_;
    std::vector<std::string> toldNotRun_;
    std::vector<std::string> completedBookings_;
    std::vector<float> latenessMs_;
    std::size_t mostOpen_ = 0;
    Instant startedAt_ {};
    bool isEnded_ = false;
    Timer limitTimer_;
};

} // namespace crocusport

#endif // CROCUSPORT_LOADGENERATOR_H
