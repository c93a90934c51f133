#include "unansweredruns.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace crocusport {

namespace {

// The store entry of a dead server expires within about four seconds; routers read that soon after.
constexpr Duration kRetentionTime = std::chrono::seconds(10);
constexpr std::size_t kMaxRuns = 4096;

} // namespace

void UnansweredRuns::add(const BackendServerName &server, StartNumber start,
                         Fingerprint fingerprint, CrashEvidence evidence, Instant now,
                         std::vector<Fingerprint> parts)
{
    expire(now);
    if (runs_.size() == kMaxRuns)
        runs_.pop_front();
    runs_.push_back({ server,
                      start,
                      { { fingerprint, crashId(server, start), evidence }, std::move(parts) },
                      now });
}

std::vector<CrashedRun> UnansweredRuns::take(const BackendServerName &server, StartNumber start,
                                             Instant now)
{
    expire(now);
    const auto isMatching = [&](const Run &run) {
        return run.server == server && run.start == start;
    };
    std::vector<CrashedRun> taken;
    for (const auto &run : runs_) {
        if (isMatching(run))
            taken.push_back(run.run);
    }
    std::erase_if(runs_, isMatching);
    return taken;
}

void UnansweredRuns::expire(Instant now)
{
    while (!runs_.empty() && runs_.front().at + kRetentionTime <= now)
        runs_.pop_front();
}

} // namespace crocusport
