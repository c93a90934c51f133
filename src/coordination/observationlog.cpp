#include "observationlog.h"

#include <algorithm>
#include <bit>

namespace crocusport {

namespace {

//! How long an observation is sent by gossip. Crash marks are valid for 10 minutes (docs/design.md
//! section 4.5), and must reach routers that start in that time.
constexpr Duration kGossipDuration = std::chrono::minutes(10);
//! How long an observation is kept in known_: twice as long as it is sent by gossip, so that add()
//! recognises an observation that a peer still sends.
constexpr Duration kKnownRetention = 2 * kGossipDuration;
constexpr std::size_t kMaxKnown = 4096;
//! Number of older observations that are added to each message in rotation.
constexpr std::size_t kRotatedObservations = 2;
//! Number of transmissions of an observation for each doubling of the number of members.
constexpr std::size_t kTransmissionsPerDoubling = 4;

} // namespace

bool ObservationLog::add(const Observation &observation, Instant now)
{
    if (!known_.emplace(observation, now).second)
        return false;
    gossipQueue_.add(observation);
    if (known_.size() <= kMaxKnown)
        return true;
    const auto oldest =
        std::min_element(known_.begin(), known_.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        });
    gossipQueue_.remove(oldest->first);
    known_.erase(oldest);
    return true;
}

std::vector<Observation> ObservationLog::take(std::size_t count, std::size_t memberCount,
                                              Instant now)
{
    auto taken =
        gossipQueue_.take(count, kTransmissionsPerDoubling * std::bit_width(memberCount + 1));
    const auto limit = std::min(count, taken.size() + kRotatedObservations);
    for (std::size_t seen = 0; seen < known_.size() && taken.size() < limit; ++seen) {
        auto next = known_.upper_bound(rotationCursor_);
        if (next == known_.end())
            next = known_.begin();
        rotationCursor_ = next->first;
        if (now - next->second < kGossipDuration
            && std::find(taken.begin(), taken.end(), next->first) == taken.end())
            taken.push_back(next->first);
    }
    return taken;
}

void ObservationLog::tick(Instant now)
{
    std::erase_if(known_,
                  [now](const auto &entry) { return now - entry.second >= kKnownRetention; });
}

} // namespace crocusport
