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

//! Result of looking for the end of a message head in the bytes received so far.
struct HeadScan
{
    enum class State {
        Incomplete,
        Complete,
        Malformed, //!< A line ends in LF alone or continues the one before (RFC 9112 section 5.2).
    };
    State state = State::Incomplete;
    std::size_t size = 0; //!< Of the head with its empty line, once complete.
};

//! Looks for the end of a head in \a buffer, of which \a scanned bytes were searched before.
//! Loop thread only.
HeadScan scanHead(evbuffer *buffer, std::size_t scanned);

//! How the end of a message's body is recognised (RFC 9112 section 6.3).
enum class BodyFraming {
    None, //!< No length and no transfer coding.
    Delimited,
    Malformed, //!< Two lengths, a length beside a transfer coding, or an unknown coding.
};

//! Returns what the header fields say about the body. Safe from any thread.
BodyFraming bodyFraming(const HttpHeaders &headers);
//! Copies the fields in their order. Safe from any thread.
HttpHeaders copyFields(const boost::beast::http::fields &fields);
//! Returns the value of the first field \a name, if any; names compare without case.
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);
//! Whether the field Connection allows another message on the connection.
bool allowsKeepAlive(const HttpHeaders &headers, unsigned version);
//! Returns the value of "timeout" of a Keep-Alive field, in seconds.
std::optional<int> keepAliveTimeout(const HttpHeaders &headers);
//! Returns the standard reason phrase of \a status. Safe from any thread.
std::string_view reasonPhrase(int status);

} // namespace crocusport

#endif // CROCUSPORT_HTTPMESSAGE_H
