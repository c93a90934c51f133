#ifndef CROCUSPORT_CONFIGURATIONCHECK_H
#define CROCUSPORT_CONFIGURATIONCHECK_H

#include "crocusport/state/configuration.h"

#include <string>
#include <vector>

namespace crocusport {

//! Part of a configuration.
enum class ConfigurationPart { Class, Pool, Team };

//! A rule that the configuration breaks.
struct ConfigurationFault
{
    ConfigurationPart part = ConfigurationPart::Class;
    std::string name;        //!< Of the class, pool or team.
    std::string message;     //!< Names the part too.
    bool isConflict = false; //!< Whether it breaks the rule only together with another part.
};

//! Checks the parts of \a configuration singly and together. Safe from any thread.
std::vector<ConfigurationFault> findConfigurationFaults(const Configuration &configuration);

} // namespace crocusport

#endif // CROCUSPORT_CONFIGURATIONCHECK_H
