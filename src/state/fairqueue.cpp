#include "fairqueue.h"

#include <algorithm>
#include <tuple>

namespace crocusport {

namespace {

// A lane number is a combination of these bits.
constexpr std::size_t kLongLane = 1;
constexpr std::size_t kDueLane = 2;

bool passes(std::size_t lane, LaneFilter filter)
{
    const bool isDue = (lane & kDueLane) != 0;
    const bool isLong = (lane & kLongLane) != 0;
    switch (filter) {
    case LaneFilter::Any:
        return true;
    case LaneFilter::Short:
        return !isLong;
    case LaneFilter::Due:
        return isDue;
    case LaneFilter::DueShort:
        return isDue && !isLong;
    }
    return false;
}

template<typename Order, typename Team>
void linkInto(Order &order, Team &team, const RequestRecord *first)
{
    if (first != nullptr)
        order.insert(team);
}

template<typename Order, typename Team>
void unlinkFrom(Order &order, Team &team, const RequestRecord::Hook &hook)
{
    if (hook.is_linked())
        order.erase(order.iterator_to(team));
}

} // namespace

bool FairQueue::EarlierStart::operator()(const RequestRecord &left,
                                         const RequestRecord &right) const
{
    return std::tie(left.latestStart, left.sequence) < std::tie(right.latestStart, right.sequence);
}

bool FairQueue::EarlierTag::operator()(const TeamQueue &left, const TeamQueue &right) const
{
    return std::tie(left.startTag, left.team) < std::tie(right.startTag, right.team);
}

bool FairQueue::TeamQueue::empty() const
{
    return std::all_of(lanes.begin(), lanes.end(), [](const Lane &lane) { return lane.empty(); });
}

RequestRecord *FairQueue::TeamQueue::front(LaneFilter filter)
{
    RequestRecord *first = nullptr;
    for (std::size_t i = 0; i < lanes.size(); ++i) {
        if (!passes(i, filter) || lanes[i].empty())
            continue;
        auto &candidate = *lanes[i].begin();
        if (first == nullptr || EarlierStart {}(candidate, *first))
            first = &candidate;
    }
    return first;
}

FairQueue::FairQueue() = default;

FairQueue::~FairQueue()
{
    for (auto &team : teams_) {
        if (team)
            unlink(*team);
    }
}

std::size_t FairQueue::laneOf(const RequestRecord &record)
{
    return (record.isLong() ? kLongLane : 0) | (record.due ? kDueLane : 0);
}

FairQueue::TeamQueue &FairQueue::teamQueue(TeamIndex team)
{
    if (team.value() >= teams_.size()) {
        teams_.resize(team.value() + 1);
        sizes_.resize(team.value() + 1);
    }
    auto &queue = teams_[team.value()];
    if (!queue) {
        queue = std::make_unique<TeamQueue>();
        queue->team = team;
    }
    return *queue;
}

void FairQueue::link(TeamQueue &team)
{
    linkInto(any_, team, team.front(LaneFilter::Any));
    linkInto(short_, team, team.front(LaneFilter::Short));
    linkInto(due_, team, team.front(LaneFilter::Due));
    linkInto(dueShort_, team, team.front(LaneFilter::DueShort));
}

void FairQueue::unlink(TeamQueue &team)
{
    unlinkFrom(any_, team, team.anyHook);
    unlinkFrom(short_, team, team.shortHook);
    unlinkFrom(due_, team, team.dueHook);
    unlinkFrom(dueShort_, team, team.dueShortHook);
}

void FairQueue::insert(RequestRecord &record)
{
    auto &team = teamQueue(record.team);
    // A team gets no credit for the time in which it had no waiting request.
    if (team.empty())
        team.startTag = std::max(team.startTag, virtualTime_);
    restore(record);
}

void FairQueue::restore(RequestRecord &record)
{
    auto &team = teamQueue(record.team);
    auto &lane = team.lanes[laneOf(record)];
    const bool laneWasEmpty = lane.empty();
    lane.insert(record);
    ++size_;
    ++sizes_[record.team.value()];
    if (!laneWasEmpty)
        return;
    unlink(team);
    link(team);
}

void FairQueue::erase(RequestRecord &record)
{
    auto &team = teamQueue(record.team);
    auto &lane = team.lanes[laneOf(record)];
    lane.erase(lane.iterator_to(record));
    --size_;
    --sizes_[record.team.value()];
    if (lane.empty()) {
        unlink(team);
        link(team);
    }
}

void FairQueue::start(RequestRecord &record)
{
    auto &team = teamQueue(record.team);
    auto &lane = team.lanes[laneOf(record)];
    lane.erase(lane.iterator_to(record));
    --size_;
    --sizes_[record.team.value()];
    unlink(team);
    virtualTime_ = std::max(virtualTime_, team.startTag);
    team.startTag += record.expected;
    latestFinish_ = std::max(latestFinish_, team.startTag);
    link(team);
    // At the end of a busy period the virtual time becomes the largest finish tag, as in the cited
    // paper, so that the service time which a team used in one busy period does not delay it in the
    // next.
    if (size_ == 0)
        virtualTime_ = latestFinish_;
}

void FairQueue::makeDue(RequestRecord &record)
{
    erase(record);
    record.due = true;
    restore(record);
}

FairQueue::TeamQueue *FairQueue::firstTeam(LaneFilter filter)
{
    const auto first = [](auto &order) { return order.empty() ? nullptr : &*order.begin(); };
    switch (filter) {
    case LaneFilter::Any:
        return first(any_);
    case LaneFilter::Short:
        return first(short_);
    case LaneFilter::Due:
        return first(due_);
    case LaneFilter::DueShort:
        return first(dueShort_);
    }
    return nullptr;
}

RequestRecord *FairQueue::front(LaneFilter filter)
{
    auto *const team = firstTeam(filter);
    return team == nullptr ? nullptr : team->front(filter);
}

RequestRecord *FairQueue::lastOfLargestTeam()
{
    if (size_ == 0)
        return nullptr;
    const auto largest = std::max_element(sizes_.begin(), sizes_.end()) - sizes_.begin();
    RequestRecord *last = nullptr;
    for (auto &lane : teams_[static_cast<std::size_t>(largest)]->lanes) {
        if (!lane.empty() && (last == nullptr || EarlierStart {}(*last, *lane.rbegin())))
            last = &*lane.rbegin();
    }
    return last;
}

Duration FairQueue::workAheadInTeam(const RequestRecord &record, Duration teamWork) const
{
    const auto &lane = teams_[record.team.value()]->lanes[laneOf(record)];
    const auto self = lane.iterator_to(record);
    auto front = lane.begin();
    auto behind = std::next(self);
    Duration before {};
    Duration after {};
    // The walk is short in the usual cases: a new request is near the end of the lane, the request
    // that starts next is at its front.
    for (int step = 0; step < kMaxSteps; ++step) {
        if (front == self)
            return before;
        if (behind == lane.end())
            break;
        before += (front++)->expected;
        after += (behind++)->expected;
    }
    return teamWork - after - record.expected;
}

} // namespace crocusport
