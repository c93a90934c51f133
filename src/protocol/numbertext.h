#ifndef CROCUSPORT_NUMBERTEXT_H
#define CROCUSPORT_NUMBERTEXT_H

#include <charconv>
#include <optional>
#include <string_view>

namespace crocusport {

//! Returns the integer that \a text consists of, in \a base; nothing if there is anything else in
//! it, or if it is out of range. Safe from any thread.
template<typename Number>
std::optional<Number> parseNumber(std::string_view text, int base = 10)
{
    Number number = 0;
    const auto *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, base);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace crocusport

#endif // CROCUSPORT_NUMBERTEXT_H
