#ifndef CROCUSPORT_CONFIGURATIONDOCUMENT_H
#define CROCUSPORT_CONFIGURATIONDOCUMENT_H

#include "crocusport/coordination/publisher.h"
#include "crocusport/state/configuration.h"
#include "crocusport/state/error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace crocusport {

//! Largest value that the key-value service takes.
inline constexpr std::size_t kMaxConfigurationBytes = 1'048'576;

/*!
    Reads a configuration as it stands in the store. Unknown fields are ignored, so that routers of
    an older version adopt what newer ones publish. Fails with MalformedMessage or
    ConfigurationTooLarge. Safe from any thread.
*/
Result<Configuration> parseConfigurationDocument(std::string_view text);

/*!
    Returns \a configuration as JSON; equal configurations give equal texts. The caller checks the
    size against kMaxConfigurationBytes. Safe from any thread.
*/
std::string writeConfigurationDocument(const Configuration &configuration);

/*!
    Reads only what identifies a document, so that one which this version would not adopt can still
    be replaced. Returns nothing if that is malformed. Safe from any thread.
*/
std::optional<PublishedDocument> readPublishedDocument(const std::string &text);

} // namespace crocusport

#endif // CROCUSPORT_CONFIGURATIONDOCUMENT_H
