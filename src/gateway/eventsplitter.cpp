#include "eventsplitter.h"

#include <charconv>
#include <utility>

namespace crocusport {

namespace {

//! Returns the size of the first event including its empty line, or 0 if no event is complete. The
//! search for its end starts at \a position.
std::size_t firstEventSize(std::string_view text, std::size_t position = 0)
{
    while ((position = text.find('\n', position)) != std::string_view::npos) {
        ++position;
        if (text.substr(position, 1) == "\n")
            return position + 1;
        if (text.substr(position, 2) == "\r\n")
            return position + 2;
    }
    return 0;
}

std::optional<std::uint64_t> eventId(std::string_view event)
{
    static constexpr std::string_view kField = "id:";
    std::size_t start = 0;
    while (start < event.size()) {
        const auto line = event.substr(start, event.find('\n', start) - start);
        if (line.starts_with(kField)) {
            auto value = line.substr(kField.size());
            while (value.starts_with(' '))
                value.remove_prefix(1);
            std::uint64_t id = 0;
            const auto parsed = std::from_chars(value.data(), value.data() + value.size(), id);
            return parsed.ec == std::errc() ? std::optional(id) : std::nullopt;
        }
        start += line.size() + 1;
    }
    return std::nullopt;
}

} // namespace

EventBatch EventSplitter::add(std::string_view data, std::optional<std::uint64_t> after)
{
    // The end of an event may be split between two calls; at most its first two bytes are in the
    // previous data.
    constexpr std::size_t kEndOverlap = 2;
    auto scanned = pending_.size() > kEndOverlap ? pending_.size() - kEndOverlap : 0;
    pending_ += data;
    EventBatch batch;
    std::string_view rest = pending_;
    while (const auto size = firstEventSize(rest, std::exchange(scanned, 0))) {
        const auto event = rest.substr(0, size);
        const auto id = eventId(event);
        if (!id && after) {
            batch.isBroken = true;
            break;
        }
        batch.isNumbered = batch.isNumbered && id;
        if (!id || !after || *id > *after) {
            batch.text += event;
            ++batch.count;
            if (id) {
                batch.lastId = id;
                after = id;
            }
        }
        rest.remove_prefix(size);
    }
    pending_.erase(0, pending_.size() - rest.size());
    return batch;
}

} // namespace crocusport
