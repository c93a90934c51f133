#include "loadgenerator.h"

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

constexpr Duration kLimitCheckPeriod = std::chrono::milliseconds(50);
// Enough that a pause of the routers does not make the generator open thousands of connections
// anew.
constexpr std::size_t kDefaultIdleConnections = 4096;
constexpr std::size_t kDefaultCallers = 64;

HttpClient::Options clientOptions(const LoadOptions &options)
{
    HttpClient::Options client;
    client.maxIdlePerAddress =
        options.connections != 0 ? options.connections : kDefaultIdleConnections;
    return client;
}

} // namespace

LoadGenerator::LoadGenerator(EventLoop &loop, const Mix &mix, const LoadOptions &options,
                             std::function<void()> onEnd)
    : mix_(mix), options_(options), onEnd_(std::move(onEnd)), tasks_(loop),
      client_(loop, clientOptions(options)), environment_ { client_, tasks_, mix, options.routers,
                                                            std::mt19937_64(options.seed) },
      limitTimer_(loop, [this] { checkLimits(); })
{
    std::vector<double> rates;
    for (const auto &loadClass : mix.classes) {
        if (loadClass.rate <= 0)
            continue;
        rates.push_back(loadClass.rate);
        statistics_.push_back(std::make_unique<ClassStatistics>(loadClass));
        sources_.push_back(std::make_unique<Source>(
            Source { loadClass,
                     *statistics_.back(),
                     ArrivalSchedule(loadClass, mix.bursts, options.rateFactor, options.seed),
                     RequestFactory(loadClass, mix, options.runName, options.seed),
                     {} }));
    }
    sourceWeights_ = std::discrete_distribution<std::size_t>(rates.begin(), rates.end());
}

void LoadGenerator::start()
{
    startedAt_ = monotonicNow();
    limitTimer_.startPeriodic(kLimitCheckPeriod);
    if (options_.isSaturating) {
        const auto callers = options_.connections != 0 ? options_.connections : kDefaultCallers;
        for (std::size_t caller = 0; caller < callers; ++caller)
            startFromAnySource();
        return;
    }
    for (const auto &source : sources_)
        scheduleArrival(*source);
}

void LoadGenerator::scheduleArrival(Source &source)
{
    const auto time = source.schedule.next();
    if (time >= options_.length)
        return;
    const auto due = startedAt_ + time;
    tasks_.runAt(due, [this, &source, due] {
        latenessMs_.push_back(static_cast<float>(toSeconds(monotonicNow() - due) * 1000));
        startRequest(source);
        scheduleArrival(source);
    });
}

void LoadGenerator::startFromAnySource()
{
    startRequest(*sources_[sourceWeights_(environment_.random)]);
}

void LoadGenerator::startRequest(Source &source)
{
    auto plan = source.factory.make();
    const auto now = monotonicNow();
    plan.isAtPeak = isPeak(now - startedAt_);
    source.statistics.addSent(plan);
    auto request = std::make_shared<LoadRequest>(
        environment_, source.loadClass, std::move(plan),
        [this, &source](const LoadRequest &ended) { onDone(source, ended); });
    source.limits.emplace_back(now + source.loadClass.timeout, request);
    open_.emplace(request.get(), request);
    mostOpen_ = std::max(mostOpen_, open_.size());
    request->start();
}

void LoadGenerator::onDone(Source &source, const LoadRequest &request)
{
    const auto &record = request.record();
    source.statistics.add(request.plan(), record);
    const bool isBooking = source.loadClass.kind == LoadKind::Booking;
    if (request.isToldNotRun() && source.loadClass.kind != LoadKind::Lookup)
        toldNotRun_.push_back(isBooking ? request.plan().marker : request.plan().hash);
    if (isBooking && record.result == RequestResult::Completed)
        completedBookings_.push_back(request.plan().marker);
    open_.erase(&request);
    if (options_.isSaturating && monotonicNow() - startedAt_ < options_.length)
        tasks_.runAfter(Duration::zero(), [this] { startFromAnySource(); });
}

void LoadGenerator::checkLimits()
{
    const auto now = monotonicNow();
    const bool isOver = now - startedAt_ > options_.length + options_.drain;
    for (const auto &source : sources_) {
        // All limits of a class have the same length, so the first one ends first.
        auto &limits = source->limits;
        while (!limits.empty()
               && (isOver || limits.front().first <= now || limits.front().second.expired())) {
            const auto request = limits.front().second.lock();
            limits.pop_front();
            if (request)
                request->giveUp();
        }
    }
    checkEnd();
}

void LoadGenerator::checkEnd()
{
    if (isEnded_ || !open_.empty() || monotonicNow() - startedAt_ < options_.length)
        return;
    isEnded_ = true;
    limitTimer_.stop();
    onEnd_();
}

bool LoadGenerator::isPeak(Duration time) const
{
    return std::any_of(mix_.bursts.begin(), mix_.bursts.end(), [time](const LoadBurst &burst) {
        return time >= burst.start && time < burst.start + burst.length;
    });
}

} // namespace crocusport
