#ifndef CROCUSPORT_RESPONSEFRAMING_H
#define CROCUSPORT_RESPONSEFRAMING_H

#include <cstdint>

struct evhttp_request;

namespace crocusport {

//! How the end of a response is recognised (RFC 9112 section 6.3).
enum class ResponseFraming {
    Delimited,  //!< By its length, by its last chunk, or because it has no body.
    UntilClose, //!< Only by the close of the connection.
    Malformed,  //!< Contradictory or unknown.
};

//! Returns the framing of the response whose head \a request has received. Loop thread only.
ResponseFraming responseFraming(evhttp_request *request);
//! Returns the declared length of the body, or 0 when there is none. Loop thread only.
std::uint64_t contentLength(evhttp_request *request);
//! Whether the response lets its connection carry another request. Loop thread only.
bool allowsReuse(evhttp_request *request);

} // namespace crocusport

#endif // CROCUSPORT_RESPONSEFRAMING_H
