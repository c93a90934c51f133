#ifndef CROCUSPORT_SSEREADER_H
#define CROCUSPORT_SSEREADER_H

#include "crocusport/state/error.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace crocusport {

//! One server-sent event. The views are valid only during the call that passes it.
struct SseEvent
{
    std::string_view id;    //!< Last event id of the stream; empty: none.
    std::string_view event; //!< Type; empty means "message".
    std::string_view data;
};

/*!
    Reads a stream of server-sent events in pieces of any size (WHATWG HTML standard,
   section 9.2.6). Data is copied only when an event spans several pieces or lines.

    Thread safety: none; use from one thread.
*/
class SseReader
{
public:
    using Handler = std::function<void(const SseEvent &)>;

    explicit SseReader(std::size_t maxEventBytes) : maxEventBytes_(maxEventBytes) { }

    /*!
        Calls \a onEvent for each event that \a piece completes. \a onEvent must not destroy the
        reader. Fails with ResponseTooLarge when an event passes the limit; precondition: has not
        failed before.
    */
    Result<void> read(std::string_view piece, const Handler &onEvent);

    //! Whether an event has begun; at the end of a stream it is incomplete and was not passed on.
    bool hasPartialEvent() const { return eventBytes_ > 0 || !partialLine_.empty(); }
    //! Returns the memory that an incomplete event takes.
    std::size_t pendingBytes() const { return partialLine_.size() + dataBuffer_.size(); }
    //! Last event id received, for resuming.
    const std::string &lastEventId() const { return lastEventId_; }

private:
    void readLine(std::string_view line, const Handler &onEvent);
    void readData(std::string_view value);
    void readId(std::string_view value);
    void finishEvent(const Handler &onEvent);
    void keepData();

    std::size_t maxEventBytes_;
    std::string partialLine_;
    std::string lastEventId_;
    std::string event_;
    std::string dataBuffer_;
    std::string_view data_; //!< In dataBuffer_ or in the present piece.
    std::size_t eventBytes_ = 0;
    bool hasData_ = false;
    bool isDataInPiece_ = false;
    bool isFirstLine_ = true;
    bool isLineFeedSkipped_ = false; //!< The last piece ended with CR; a leading LF belongs to it.
};

/*!
    Appends \a event to \a output in the form that SseReader reads. Line breaks in id and event are
    dropped, so that data cannot add fields. Safe from any thread.
*/
void appendSseEvent(std::string &output, const SseEvent &event);

} // namespace crocusport

#endif // CROCUSPORT_SSEREADER_H
