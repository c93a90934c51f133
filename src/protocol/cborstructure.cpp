#include "cborstructure.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace crocusport {

namespace {

// RFC 8949 section 3: the upper three bits of an item's first byte are its major type.
enum MajorType : unsigned {
    UnsignedInteger = 0,
    NegativeInteger = 1,
    ByteString = 2,
    TextString = 3,
    Array = 4,
    Map = 5,
    Tag = 6,
    Simple = 7,
};

constexpr unsigned kOneByteArgument = 24;
constexpr unsigned kEightByteArgument = 27;

//! Reads the argument of an item and removes it from \a data.
std::optional<std::uint64_t> takeArgument(std::string_view &data, unsigned additional)
{
    if (additional < kOneByteArgument)
        return additional;
    if (additional > kEightByteArgument)
        return std::nullopt;
    const std::size_t size = std::size_t { 1 } << (additional - kOneByteArgument);
    if (data.size() < size)
        return std::nullopt;
    std::uint64_t argument = 0;
    for (const char byte : data.substr(0, size))
        argument = argument << 8U | static_cast<unsigned char>(byte);
    data.remove_prefix(size);
    return argument;
}

} // namespace

std::string_view findCborFault(std::string_view data, const CborLimits &limits)
{
    std::size_t items = 0;
    std::vector<std::uint64_t> remaining { 1 }; // Items still to come, for each open level.
    while (!remaining.empty()) {
        if (remaining.back() == 0) {
            remaining.pop_back();
            continue;
        }
        --remaining.back();
        if (data.empty())
            return "message is cut short";
        if (++items > limits.maxItems)
            return "message has too many items";
        const auto first = static_cast<unsigned char>(data.front());
        data.remove_prefix(1);
        const unsigned major = first >> 5U;
        const auto argument = takeArgument(data, first & 0x1FU);
        if (!argument || major == Tag)
            return "message has an unsupported item";
        if (major == ByteString || major == TextString) {
            if (*argument > data.size())
                return "message is cut short";
            data.remove_prefix(*argument);
        } else if (major == Array || major == Map) {
            if (*argument > limits.maxItems)
                return "message has too many items";
            if (remaining.size() > limits.maxDepth)
                return "message is nested too deeply";
            remaining.push_back(major == Map ? *argument * 2 : *argument);
        }
    }
    return data.empty() ? std::string_view {} : "message has bytes after its end";
}

} // namespace crocusport
