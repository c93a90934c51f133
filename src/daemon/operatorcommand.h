#ifndef CROCUSPORT_OPERATORCOMMAND_H
#define CROCUSPORT_OPERATORCOMMAND_H

#include "crocusport/state/error.h"

#include <string>
#include <vector>

namespace crocusport {

//! What the command line of the operators' tool asks for.
struct OperatorArguments
{
    bool isJson = false;
    bool ofClassFiles = false;
    std::string directory;
    std::vector<std::string> store;
    std::string router;
    std::string request;
};

// Each command returns the text to print, as JSON if the arguments ask for it. Not safe from
// several threads.

Result<std::string> checkCommand(const OperatorArguments &arguments);
Result<std::string> publishCommand(const OperatorArguments &arguments);
Result<std::string> statusCommand(const OperatorArguments &arguments);
Result<std::string> showConfigurationCommand(const OperatorArguments &arguments);
Result<std::string> explainCommand(const OperatorArguments &arguments);
Result<std::string> settingsCommand(const OperatorArguments &arguments);

} // namespace crocusport

#endif // CROCUSPORT_OPERATORCOMMAND_H
