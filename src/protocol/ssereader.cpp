#include "crocusport/protocol/ssereader.h"

#include <algorithm>
#include <cstring>

namespace crocusport {

namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

//! Returns the position of the first CR or LF, or npos.
std::size_t findLineEnd(std::string_view text)
{
    // Two calls of memchr are several times faster than find_first_of. CR is rare, so it is looked
    // for only in the line that LF ends.
    const auto lineFeed = text.find('\n');
    const auto carriageReturn = text.substr(0, lineFeed).find('\r');
    return std::min(lineFeed, carriageReturn);
}

void appendField(std::string &output, std::string_view name, std::string_view value)
{
    output.append(name).append(": ").append(value).append("\n");
}

void appendFieldWithoutBreaks(std::string &output, std::string_view name, std::string_view value)
{
    if (value.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos) {
        appendField(output, name, value);
        return;
    }
    std::string cleaned(value);
    std::erase_if(cleaned, [](char c) { return c == '\r' || c == '\n' || c == '\0'; });
    appendField(output, name, cleaned);
}

} // namespace

Result<void> SseReader::read(std::string_view piece, const Handler &onEvent)
{
    while (!piece.empty()) {
        if (isLineFeedSkipped_) {
            isLineFeedSkipped_ = false;
            if (piece.front() == '\n') {
                piece.remove_prefix(1);
                continue;
            }
        }
        const auto end = findLineEnd(piece);
        const auto line = piece.substr(0, end);
        // The line break counts too, so that a flood of empty lines has a limit as well.
        eventBytes_ += line.size() + 1;
        if (eventBytes_ > maxEventBytes_)
            return makeError(ResultCode::ResponseTooLarge,
                             "an event of the stream has more than "
                                 + std::to_string(maxEventBytes_) + " bytes");
        if (end == std::string_view::npos) {
            partialLine_.append(line);
            --eventBytes_;
            break;
        }
        isLineFeedSkipped_ = piece[end] == '\r';
        piece.remove_prefix(end + 1);
        if (partialLine_.empty()) {
            readLine(line, onEvent);
        } else {
            partialLine_.append(line);
            readLine(partialLine_, onEvent);
            keepData();
            partialLine_.clear();
        }
    }
    keepData();
    return {};
}

void SseReader::readLine(std::string_view line, const Handler &onEvent)
{
    if (isFirstLine_) {
        isFirstLine_ = false;
        if (line.starts_with(kByteOrderMark))
            line.remove_prefix(kByteOrderMark.size());
    }
    if (line.empty()) {
        finishEvent(onEvent);
        return;
    }
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view {} : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "data")
        readData(value);
    else if (name == "id")
        readId(value);
    else if (name == "event")
        event_ = value;
    // Comments, "retry" and unknown fields are ignored.
}

void SseReader::readData(std::string_view value)
{
    if (!hasData_) {
        hasData_ = true;
        isDataInPiece_ = true;
        data_ = value;
        return;
    }
    keepData();
    dataBuffer_.append(1, '\n').append(value);
    data_ = dataBuffer_;
}

void SseReader::readId(std::string_view value)
{
    if (value.find('\0') == std::string_view::npos)
        lastEventId_ = value;
}

void SseReader::finishEvent(const Handler &onEvent)
{
    eventBytes_ = 0;
    if (hasData_)
        onEvent({ lastEventId_, event_, data_ });
    event_.clear();
    data_ = {};
    hasData_ = false;
    isDataInPiece_ = false;
}

//! Copies the data of an unfinished event out of a piece that is about to become invalid.
void SseReader::keepData()
{
    if (!isDataInPiece_)
        return;
    dataBuffer_.assign(data_);
    data_ = dataBuffer_;
    isDataInPiece_ = false;
}

void appendSseEvent(std::string &output, const SseEvent &event)
{
    if (!event.id.empty())
        appendFieldWithoutBreaks(output, "id", event.id);
    if (!event.event.empty())
        appendFieldWithoutBreaks(output, "event", event.event);
    auto data = event.data;
    for (auto end = findLineEnd(data); end != std::string_view::npos; end = findLineEnd(data)) {
        appendField(output, "data", data.substr(0, end));
        const bool isPair = data[end] == '\r' && data.substr(end + 1).starts_with('\n');
        data.remove_prefix(end + (isPair ? 2 : 1));
    }
    appendField(output, "data", data);
    output.append("\n");
}

} // namespace crocusport
