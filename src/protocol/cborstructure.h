#ifndef CROCUSPORT_CBORSTRUCTURE_H
#define CROCUSPORT_CBORSTRUCTURE_H

#include <cstddef>
#include <string_view>

namespace crocusport {

//! Bounds on a CBOR document before it is decoded.
struct CborLimits
{
    std::size_t maxDepth = 8;
    std::size_t maxItems = 65'536; //!< Each takes 16 bytes or more once decoded.
};

/*!
    Checks without recursion that \a data is one well-formed CBOR item (RFC 8949 section 3) of
    definite length within \a limits. nlohmann-json's decoder calls itself for each level of arrays,
    maps and indefinite-length strings without a bound, so that a small message could exhaust the
    stack. Returns the fault, or an empty text. Safe from any thread.
*/
std::string_view findCborFault(std::string_view data, const CborLimits &limits);

} // namespace crocusport

#endif // CROCUSPORT_CBORSTRUCTURE_H
