#ifndef CROCUSPORT_HTTPMESSAGE_H
#define CROCUSPORT_HTTPMESSAGE_H

#include "crocusport/transport/httpexchange.h"

#include <boost/beast/http/fields.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

struct evbuffer;

namespace crocusport {

//! Result of searching for the end of a message head in the bytes received so far.
struct HeadScan
{
    enum class State {
        Incomplete,
        Complete,
        Malformed, //!< A line that ends in LF alone, or a folded line (RFC 9112 section 5.2).
    };
    State state = State::Incomplete;
    std::size_t size = 0; //!< Size of the head with its empty line; 0 unless complete.
};

//! Searches for the end of a head in \a buffer, of which \a scanned bytes were searched before.
//! Loop thread only.
HeadScan scanHead(evbuffer *buffer, std::size_t scanned);

//! How the end of a message's body is determined (RFC 9112 section 6.3).
enum class BodyFraming {
    None,      //!< No length and no transfer coding.
    Delimited, //!< By Content-Length or chunks.
    Malformed, //!< Repeated or conflicting fields, an invalid length, or an unknown coding.
};

//! Returns how \a headers delimit the body. Safe from any thread.
BodyFraming bodyFraming(const HttpHeaders &headers);
//! Copies the fields in their order. Safe from any thread.
HttpHeaders copyFields(const boost::beast::http::fields &fields);
//! Returns the value of the first field \a name, compared case-insensitively, or null.
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);
//! Whether the Connection header and HTTP \a version (11 for 1.1) allow another message.
bool allowsKeepAlive(const HttpHeaders &headers, unsigned version);
//! Returns the "timeout" parameter of the Keep-Alive header in seconds, if any.
std::optional<int> keepAliveTimeout(const HttpHeaders &headers);
//! Returns the standard reason phrase of \a status. Safe from any thread.
std::string_view reasonPhrase(int status);

} // namespace crocusport

#endif // CROCUSPORT_HTTPMESSAGE_H
