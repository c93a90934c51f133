#ifndef CROCUSPORT_STATUSSCREEN_H
#define CROCUSPORT_STATUSSCREEN_H

#include "crocusport/protocol/statusdocument.h"
#include "crocusport/state/configuration.h"

#include <string>

namespace crocusport {

/*!
    Returns \a status as text for one screen. Of each pool, the backend servers that an operator
    has to look at come first (excluded, slow, loaded); others are only counted. Safe from any
    thread.
*/
std::string statusScreen(const RouterStatus &status);

//! Returns \a configuration as text. Safe from any thread.
std::string configurationScreen(const Configuration &configuration);

} // namespace crocusport

#endif // CROCUSPORT_STATUSSCREEN_H
