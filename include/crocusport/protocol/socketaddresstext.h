#ifndef CROCUSPORT_SOCKETADDRESSTEXT_H
#define CROCUSPORT_SOCKETADDRESSTEXT_H

#include <string_view>

namespace crocusport {

//! Whether \a text is "ipv4:port" or "[ipv6]:port", with digits only. Safe from any thread.
bool isSocketAddressText(std::string_view text);

} // namespace crocusport

#endif // CROCUSPORT_SOCKETADDRESSTEXT_H
