#include "crocusport/protocol/socketaddresstext.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <string>

namespace crocusport {

namespace {

bool isPort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto *const end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, port);
    return error == std::errc {} && parsed == end;
}

bool isIpAddress(int family, std::string_view text)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes {};
    return inet_pton(family, std::string(text).c_str(), bytes.data()) == 1;
}

} // namespace

bool isSocketAddressText(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1)))
        return false;
    auto host = text.substr(0, colon);
    if (host.find('\0') != std::string_view::npos)
        return false;
    if (host.size() < 2 || host.front() != '[' || host.back() != ']')
        return isIpAddress(AF_INET, host);
    host.remove_prefix(1);
    host.remove_suffix(1);
    return isIpAddress(AF_INET6, host);
}

} // namespace crocusport
