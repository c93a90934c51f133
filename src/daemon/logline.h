#ifndef CROCUSPORT_LOGLINE_H
#define CROCUSPORT_LOGLINE_H

#include <concepts>
#include <string>
#include <string_view>

namespace crocusport {

/*!
    Builds one log line of key=value pairs. Values that contain spaces, quotes, equals signs or
    control characters are quoted and escaped, so that input cannot forge a line or a pair.

    Thread safety: none.
*/
class LogLine
{
public:
    explicit LogLine(std::string_view event);

    LogLine &add(std::string_view key, std::string_view value);
    LogLine &add(std::string_view key, const char *value)
    {
        return add(key, std::string_view(value));
    }
    template<std::integral Number>
    LogLine &add(std::string_view key, Number value)
    {
        return add(key, std::string_view(std::to_string(value)));
    }

    const std::string &text() const { return text_; }

private:
    std::string text_;
};

} // namespace crocusport

#endif // CROCUSPORT_LOGLINE_H
