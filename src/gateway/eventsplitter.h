#ifndef CROCUSPORT_EVENTSPLITTER_H
#define CROCUSPORT_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocusport {

//! Complete events of a stream.
struct EventBatch
{
    std::string text;
    std::optional<std::uint64_t> lastId; //!< Id of the last event.
    std::size_t count = 0;
    bool isNumbered = true; //!< All events have a numeric id.
    //! Data without an id followed events with ids, so it does not belong to the stream. This data
    //! and all data after it are not in the batch.
    bool isBroken = false;
};

/*!
    Splits a stream of server-sent events into complete events and leaves their bytes unchanged.
    When another server resumes a stream, its events must start after a complete event, and events
    that the caller has received already are dropped.

    Thread safety: none.
*/
class EventSplitter
{
public:
    /*!
        Adds \a data and returns the events that it completes. If \a after is set, events with an id
        up to \a after are dropped, and an event without an id makes the batch broken. The id of
        each event becomes the new \a after for the events behind it.
    */
    EventBatch add(std::string_view data, std::optional<std::uint64_t> after);
    //! Whether data is pending: an incomplete event, or in a broken stream all data from the fault
    //! on.
    bool hasPartialEvent() const { return !pending_.empty(); }
    //! Size of the pending data.
    std::size_t pendingBytes() const { return pending_.size(); }
    void clear() { pending_.clear(); }

private:
    std::string pending_;
};

} // namespace crocusport

#endif // CROCUSPORT_EVENTSPLITTER_H
