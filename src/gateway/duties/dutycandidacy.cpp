#include "dutycandidacy.h"

#include <algorithm>

namespace crocusport {

namespace {

// Long enough for a claim of three store calls and its way into the copies of the others.
constexpr Duration kRankDelay = std::chrono::milliseconds(400);
// Links between zones are slower, and copies of other zones are read later.
constexpr Duration kZoneDelay = std::chrono::seconds(1);
constexpr std::size_t kMaxRank = 8;
constexpr std::size_t kMaxZoneRank = 4;

} // namespace

Duration DutyCandidacy::delay(std::size_t rank, std::size_t zoneRank)
{
    return kRankDelay * static_cast<int>(std::min(rank, kMaxRank))
        + kZoneDelay * static_cast<int>(std::min(zoneRank, kMaxZoneRank));
}

// The key of an earlier process of this host has another incarnation and counts as another's.
bool DutyCandidacy::isOwn(const std::string &value) const
{
    return value.starts_with(identity_ + '/');
}

bool DutyCandidacy::wants(const DutyView &view, bool isHeld, Instant now)
{
    if (!view.isCopyComplete || (view.keyValue && !view.keyValue->empty()))
        absentSince_.reset();
    else if (!absentSince_)
        absentSince_ = now;
    if (view.isStopping || isResting(now))
        return false;
    if (isHeld)
        return true;
    if (absentSince_)
        return now - *absentSince_ >= delay(view.rank, view.zoneRank);
    // A write of this process whose response was lost has to be read back.
    return view.isCopyComplete && view.keyValue && isOwn(*view.keyValue);
}

} // namespace crocusport
