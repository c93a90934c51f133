#ifndef CROCUSPORT_JSONDOCUMENT_H
#define CROCUSPORT_JSONDOCUMENT_H

#include "jsonfields.h"
#include "jsontext.h"

#include <string>
#include <string_view>

namespace crocusport {

/*!
    Reads a structure that has a describe() function from JSON text. Fails with MalformedMessage and
    a message that begins with \a what. Safe from any thread.
*/
template<typename Document>
Result<Document> parseJsonDocument(std::string_view text, const std::string &what)
{
    BOOST_LEAF_AUTO(json, parseJsonObject(text, what, ResultCode::MalformedMessage));
    Document document;
    FieldReader reader(json);
    describe(reader, document);
    if (!reader.error().empty())
        return makeError(ResultCode::MalformedMessage, what + ": " + reader.error());
    return document;
}

//! Returns a structure that has a describe() function as JSON text. Safe from any thread.
template<typename Document>
std::string writeJsonDocument(const Document &document)
{
    return writeJson(FieldWriter::toJson(document));
}

} // namespace crocusport

#endif // CROCUSPORT_JSONDOCUMENT_H
