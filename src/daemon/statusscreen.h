#ifndef CROCUSPORT_STATUSSCREEN_H
#define CROCUSPORT_STATUSSCREEN_H

#include "crocusport/protocol/statusdocument.h"
#include "crocusport/state/configuration.h"

#include <optional>
#include <string>

namespace crocusport {

/*!
    Returns \a status as text for one screen. Of each pool, the backend servers that an operator
    has to look at come first (excluded, slow, loaded); others are only counted. The targets are
    those of \a configuration, if there is one. Safe from any thread.
*/
std::string statusScreen(const RouterStatus &status,
                         const std::optional<Configuration> &configuration);

//! Returns \a configuration as text. Safe from any thread.
std::string configurationScreen(const Configuration &configuration);

} // namespace crocusport

#endif // CROCUSPORT_STATUSSCREEN_H
