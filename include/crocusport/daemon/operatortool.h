#ifndef CROCUSPORT_OPERATORTOOL_H
#define CROCUSPORT_OPERATORTOOL_H

#include <ostream>

namespace crocusport {

//! How a run of the operators' tool ended; the value is the process's exit code.
enum class ToolExit {
    Ok = 0,
    Refused = 1, //!< Or not found.
    Usage = 2,
    Unreachable = 3,
    Conflict = 4,
};

/*!
    The operators' tool: checks and publishes class files, and shows what routers do.

    Thread safety: none; run() runs an event loop of its own.
*/
class OperatorTool
{
public:
    //! Results go to \a output, errors to \a errors (with --json to \a output too, as JSON).
    OperatorTool(std::ostream &output, std::ostream &errors);

    //! Runs the command of \a arguments, of which the first is the program's name.
    ToolExit run(int argumentCount, const char *const *arguments);

private:
    std::ostream &output_;
    std::ostream &errors_;
};

} // namespace crocusport

#endif // CROCUSPORT_OPERATORTOOL_H
