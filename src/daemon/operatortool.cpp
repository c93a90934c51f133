#include "crocusport/daemon/operatortool.h"

#include "operatorcommand.h"

#include "crocusport/protocol/socketaddresstext.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <functional>

namespace crocusport {

namespace {

constexpr const char *kExitCodes = "Exit codes:\n"
                                   "  0  done\n"
                                   "  1  refused or not found\n"
                                   "  2  wrong use of the command line\n"
                                   "  3  router or store unreachable, or the outcome is unknown\n"
                                   "  4  conflict with another publisher";

using Command = std::function<Result<std::string>(const OperatorArguments &)>;

ToolExit exitOf(ResultCode code)
{
    switch (code) {
    case ResultCode::PublishConflict:
    case ResultCode::CompareFailed:
        return ToolExit::Conflict;
    case ResultCode::StoreUnavailable:
    case ResultCode::OutcomeUnknown:
    case ResultCode::ConnectFailed:
    case ResultCode::ConnectionClosed:
    case ResultCode::Timeout:
        return ToolExit::Unreachable;
    default:
        return ToolExit::Refused;
    }
}

//! The command line; sets the command to run while it is parsed.
class CommandLine
{
public:
    CommandLine()
    {
        app_.footer(kExitCodes);
        app_.require_subcommand(1);
        app_.fallthrough();
        app_.add_flag("--json", arguments_.isJson, "Print JSON for programs");

        auto *const check = add(app_, "check", "Check a directory of class files", checkCommand);
        addDirectory(*check);
        auto *const publish =
            add(app_, "publish", "Check and publish a directory of class files", publishCommand);
        addDirectory(*publish);
        addStore(*publish)->required();
        addRouter(*add(app_, "status", "Show what a router knows", statusCommand))->required();
        addExplain();
        addConfiguration();
        add(app_, "settings", "Print the reference of crocusportd's settings", settingsCommand)
            ->add_flag("--class-files", arguments_.ofClassFiles,
                       "Print that of class files and pool files instead");
    }

    CLI::App &app() { return app_; }
    const OperatorArguments &arguments() const { return arguments_; }
    const Command &command() const { return command_; }

private:
    CLI::App *add(CLI::App &parent, const std::string &name, const std::string &description,
                  const Command &command)
    {
        auto *const subcommand = parent.add_subcommand(name, description);
        subcommand->callback([this, command] { command_ = command; });
        return subcommand;
    }

    void addDirectory(CLI::App &subcommand)
    {
        subcommand.add_option("DIR", arguments_.directory, "Directory of class files")->required();
    }

    CLI::Option *addStore(CLI::App &subcommand)
    {
        return subcommand
            .add_option("--store", arguments_.store, "Address of the store; may be repeated")
            ->check(addressCheck());
    }

    CLI::Option *addRouter(CLI::App &subcommand)
    {
        return subcommand
            .add_option("--router", arguments_.router, "Address of a router's port for operators")
            ->check(addressCheck());
    }

    static CLI::Validator addressCheck()
    {
        return { [](const std::string &text) {
                    return isSocketAddressText(text) ? std::string()
                                                     : text + " is not an address ip:port";
                },
                 "IP:PORT" };
    }

    void addExplain()
    {
        auto *const explain =
            add(app_, "explain", "Show what happened to a request", explainCommand);
        explain->add_option("REQUEST-ID", arguments_.request, "Value of X-Request-Id")->required();
        addRouter(*explain)->required();
    }

    void addConfiguration()
    {
        auto *const config = app_.add_subcommand("config", "Commands on the configuration");
        config->require_subcommand(1);
        auto *const show = add(*config, "show", "Show the configuration of the store or a router",
                               showConfigurationCommand);
        auto *const source = show->add_option_group("source");
        addStore(*source);
        addRouter(*source);
        source->require_option(1);
    }

    CLI::App app_ { "The operators' tool of crocusport.", "crocusport" };
    OperatorArguments arguments_;
    Command command_;
};

std::string errorText(const Error &error, bool isJson)
{
    if (!isJson)
        return "crocusport: " + error.message + "\n";
    const nlohmann::json json { { "error",
                                  { { "code", static_cast<int>(error.code) },
                                    { "name", resultCodeName(error.code) },
                                    { "message", error.message } } } };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace

OperatorTool::OperatorTool(std::ostream &output, std::ostream &errors)
    : output_(output), errors_(errors)
{ }

ToolExit OperatorTool::run(int argumentCount, const char *const *arguments)
{
    CommandLine line;
    try {
        line.app().parse(argumentCount, arguments);
    } catch (const CLI::ParseError &error) {
        // Asking for help is reported this way too.
        return line.app().exit(error, output_, errors_) == 0 ? ToolExit::Ok : ToolExit::Usage;
    }
    return handleErrors(
        [&]() -> Result<ToolExit> {
            BOOST_LEAF_AUTO(text, line.command()(line.arguments()));
            output_ << text;
            return ToolExit::Ok;
        },
        [&](const Error &error) {
            const bool isJson = line.arguments().isJson;
            (isJson ? output_ : errors_) << errorText(error, isJson);
            return exitOf(error.code);
        });
}

} // namespace crocusport
