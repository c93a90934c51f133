#include "enginereport.h"

#include <sstream>

namespace crocusport {

void EngineReport::sample(const EngineCounts &counts, Instant now)
{
    samples_.push_back({ now, counts });
    // The second sample is old enough, so the first is never shown again.
    while (samples_.size() > 1 && samples_[1].taken + lag_ <= now)
        samples_.pop_front();
}

std::string EngineReport::text(Instant now) const
{
    EngineCounts shown;
    for (const auto &sample : samples_) {
        if (sample.taken + lag_ <= now)
            shown = sample.counts;
    }
    return textOf(shown);
}

std::string EngineReport::textOf(const EngineCounts &counts)
{
    std::ostringstream text;
    const auto add = [&text](const char *name, const char *type, auto value) {
        text << "# TYPE " << name << ' ' << type << '\n' << name << ' ' << value << '\n';
    };
    add("engine_slots", "gauge", counts.slots);
    add("engine_requests_running", "gauge", counts.running);
    add("engine_requests_waiting", "gauge", counts.waiting);
    add("engine_requests_total", "counter", counts.requests);
    add("engine_requests_completed_total", "counter", counts.completed);
    add("engine_requests_cancelled_total", "counter", counts.cancelled);
    add("engine_streams_resumed_total", "counter", counts.resumed);
    add("engine_tokens_generated_total", "counter", counts.tokens);
    add("engine_tokens_wasted_total", "counter", counts.wastedTokens);
    add("engine_prefix_hit_share_sum", "counter", counts.prefixHits);
    return text.str();
}

} // namespace crocusport
