#include "eventstreamreader.h"

namespace crocusport {

void EventStreamReader::add(std::string_view piece)
{
    while (!piece.empty()) {
        const auto end = piece.find('\n');
        if (end == std::string_view::npos) {
            line_.append(piece);
            return;
        }
        if (line_.empty()) {
            onLine(piece.substr(0, end));
        } else {
            line_.append(piece.substr(0, end));
            onLine(line_);
            line_.clear();
        }
        piece.remove_prefix(end + 1);
    }
}

void EventStreamReader::onLine(std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    if (line.empty()) {
        if (!data_.empty())
            handler_(name_, data_);
        name_.clear();
        data_.clear();
        return;
    }
    const auto colon = line.find(':');
    const auto field = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (field == "event") {
        name_ = value;
    } else if (field == "data") {
        if (!data_.empty())
            data_ += '\n';
        data_.append(value);
    }
}

} // namespace crocusport
