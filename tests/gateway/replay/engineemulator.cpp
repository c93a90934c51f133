#include "engineemulator.h"

#include <algorithm>
#include <tuple>

namespace crocusport::replay {

namespace {

Duration milliseconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(count));
}

} // namespace

bool ReplayedRequest::isInTarget() const
{
    return isDone && firstEvent && *firstEvent - arrival <= target
        && (maxPause == Duration::zero() || longestPause <= maxPause);
}

bool EngineEmulator::isBefore(const Job &left, const Job &right)
{
    return std::tuple(left.request->urgency, left.order)
        < std::tuple(right.request->urgency, right.order);
}

bool EngineEmulator::submit(const RequestPointer &request, Instant now)
{
    if (!isUp_ || waiting_.size() >= limits_.queue)
        return false;
    if (running_.empty() && waiting_.empty())
        now_ = std::max(now_, now);
    const Job job { request, ++submitted_, 0 };
    waiting_.insert(std::upper_bound(waiting_.begin(), waiting_.end(), job, isBefore), job);
    return true;
}

void EngineEmulator::advance(Instant until)
{
    while (isUp_ && now_ < until && (!running_.empty() || !waiting_.empty())) {
        admit();
        step();
    }
    now_ = std::max(now_, until);
}

void EngineEmulator::crash()
{
    isUp_ = false;
    for (auto *const jobs : { &waiting_, &running_ }) {
        for (const auto &job : *jobs) {
            job.request->isCut = true;
            ended_.push_back(job.request);
        }
        jobs->clear();
    }
    cache_.clear();
}

void EngineEmulator::restart(Instant now)
{
    isUp_ = true;
    now_ = now;
}

std::vector<EngineEmulator::RequestPointer> EngineEmulator::takeEnded()
{
    return std::exchange(ended_, {});
}

std::size_t EngineEmulator::leastUrgent() const
{
    const auto last = std::max_element(running_.begin(), running_.end(), isBefore);
    return static_cast<std::size_t>(last - running_.begin());
}

std::uint64_t EngineEmulator::usedTokens() const
{
    std::uint64_t used = 0;
    for (const auto &job : running_)
        used += job.request->work.promptTokens + job.request->generated;
    return used;
}

std::uint32_t EngineEmulator::cachedTokens(const WorkProfile &work) const
{
    std::uint32_t tokens = 0;
    for (std::size_t i = 0; i < work.parts.size() && cache_.contains(work.prefixHashes[i]); ++i)
        tokens += work.parts[i].tokens;
    return tokens;
}

void EngineEmulator::preempt(std::size_t index)
{
    const auto job = running_[index];
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
    ++preemptions_;
    waiting_.insert(std::upper_bound(waiting_.begin(), waiting_.end(), job, isBefore), job);
}

void EngineEmulator::admit()
{
    while (!waiting_.empty()) {
        const auto &first = waiting_.front();
        if (running_.size() >= limits_.slots) {
            const auto last = leastUrgent();
            if (running_[last].request->urgency <= first.request->urgency)
                return;
            preempt(last);
            continue;
        }
        if (!running_.empty()
            && usedTokens() + first.request->work.promptTokens > limits_.memoryTokens)
            return;
        auto job = first;
        waiting_.erase(waiting_.begin());
        const auto &work = job.request->work;
        const auto cached = cachedTokens(work);
        job.unread = work.promptTokens - cached + job.request->generated;
        running_.push_back(std::move(job));
    }
}

void EngineEmulator::makeRoom()
{
    while (running_.size() > 1 && usedTokens() > limits_.memoryTokens)
        preempt(leastUrgent());
}

double EngineEmulator::noise()
{
    if (now_ >= noiseUntil_) {
        noise_ = std::bernoulli_distribution(limits_.noiseShare)(random_) ? limits_.noiseFactor : 1;
        noiseUntil_ = now_ + limits_.noiseLength;
    }
    return noise_;
}

void EngineEmulator::step()
{
    std::uint32_t budget = limits_.chunkTokens;
    std::uint32_t read = 0;
    std::vector<std::size_t> generating;
    for (std::size_t i = 0; i < running_.size(); ++i) {
        auto &job = running_[i];
        if (job.unread == 0) {
            generating.push_back(i);
            continue;
        }
        const auto part = std::min(job.unread, budget);
        job.unread -= part;
        budget -= part;
        read += part;
        if (job.unread == 0)
            cache_.insert(job.request->work.prefixHashes.begin(),
                          job.request->work.prefixHashes.end());
    }
    now_ += milliseconds(noise()
                         * (limits_.stepMs
                            + limits_.stepMsPerRequest * static_cast<double>(running_.size())
                            + read / limits_.prefillTokensPerMs));
    for (const auto index : generating) {
        auto &request = *running_[index].request;
        ++request.generated;
        const bool isLast = request.generated >= request.work.outputTokens;
        if (isLast || request.generated % limits_.tokensPerEvent == 0) {
            if (!request.firstEvent)
                request.firstEvent = now_;
            else
                request.longestPause = std::max(request.longestPause, now_ - *request.lastEvent);
            request.lastEvent = now_;
        }
    }
    std::erase_if(running_, [this](const Job &job) {
        job.request->isDone = job.request->generated >= job.request->work.outputTokens;
        if (job.request->isDone)
            ended_.push_back(job.request);
        return job.request->isDone;
    });
    makeRoom();
}

} // namespace crocusport::replay
