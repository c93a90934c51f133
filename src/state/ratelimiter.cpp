#include "crocusport/state/ratelimiter.h"

#include <algorithm>
#include <cmath>

namespace crocusport {

namespace {

//! This much counts as a whole token: times are whole microseconds, so rounding can leave a bucket
//! slightly below one token when the next token is due.
constexpr double kFullToken = 1 - 1e-6;

} // namespace

double RateLimiter::Bucket::size() const
{
    return std::max(1.0, rate);
}

void RateLimiter::setTeams(const std::map<TeamName, Team> &teams)
{
    std::erase_if(buckets_, [&](const auto &item) {
        const auto found = teams.find(item.first);
        return found == teams.end() || found->second.requestsPerSecond <= 0;
    });
    for (const auto &[name, team] : teams) {
        if (team.requestsPerSecond > 0)
            buckets_[name].rate = team.requestsPerSecond;
    }
}

std::optional<Duration> RateLimiter::request(const TeamName &team, Instant now)
{
    const auto found = buckets_.find(team);
    if (found == buckets_.end())
        return std::nullopt;
    auto &bucket = found->second;
    const auto added =
        bucket.updated ? toSeconds(now - *bucket.updated) * bucket.rate : bucket.size();
    bucket.tokens = std::min(bucket.size(), bucket.tokens + added);
    bucket.updated = now;
    if (bucket.tokens >= kFullToken) {
        bucket.tokens = std::max(0.0, bucket.tokens - 1);
        return std::nullopt;
    }
    const auto missing = (1 - bucket.tokens) / bucket.rate;
    return Duration(std::llround(std::ceil(missing * Duration::period::den)));
}

} // namespace crocusport
