#include "faultcontrol.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstddef>

namespace crocusport {

namespace {

constexpr std::array<std::string_view, 7> kFaultNames = { "slow",   "crash-on",     "freeze",
                                                          "silent", "lose-replies", "outage",
                                                          "clear" };

} // namespace

Result<FaultOrder> FaultControl::parse(std::string_view json)
{
    const auto parsed = nlohmann::json::parse(json, nullptr, false);
    if (!parsed.is_object())
        return makeError(ResultCode::BadJson, "the order is not a JSON object");
    FaultOrder order;
    try {
        const auto name = parsed.value("kind", std::string());
        const auto *const found = std::find(kFaultNames.begin(), kFaultNames.end(), name);
        if (found == kFaultNames.end())
            return makeError(ResultCode::BadRequest, "unknown kind of fault: " + name);
        order.kind = static_cast<FaultKind>(found - kFaultNames.begin());
        order.factor = parsed.value("factor", 1.0);
        order.marker = parsed.value("marker", std::string());
        order.length = Milliseconds(parsed.value("ms", 0));
        order.count = parsed.value("count", 0U);
        if (parsed.value("mode", std::string("refuse")) == "hang")
            order.mode = OutageMode::Hang;
    } catch (const nlohmann::json::exception &exception) {
        return makeError(ResultCode::BadRequest, exception.what());
    }
    if (order.factor <= 0)
        return makeError(ResultCode::BadRequest, "factor must be positive");
    if (order.kind == FaultKind::CrashOn && order.marker.empty())
        return makeError(ResultCode::BadRequest, "crash-on needs a marker");
    return order;
}

void FaultControl::apply(const FaultOrder &order, Instant now)
{
    switch (order.kind) {
    case FaultKind::Slow:
        slowFactor_ = order.factor;
        break;
    case FaultKind::CrashOn:
        crashMarker_ = order.marker;
        break;
    case FaultKind::Freeze:
        frozenUntil_ = now + order.length;
        break;
    case FaultKind::LoseReplies:
        lostReplies_ = order.count;
        break;
    case FaultKind::Outage:
        if (order.mode == OutageMode::Hang)
            hangingUntil_ = now + order.length;
        break;
    case FaultKind::Clear:
        *this = FaultControl();
        break;
    case FaultKind::Silent:
        break;
    }
}

bool FaultControl::isCrashing(std::string_view text) const
{
    return !crashMarker_.empty() && text.find(crashMarker_) != std::string_view::npos;
}

bool FaultControl::takeLostReply()
{
    if (lostReplies_ == 0)
        return false;
    --lostReplies_;
    return true;
}

} // namespace crocusport
