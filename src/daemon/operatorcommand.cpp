#include "operatorcommand.h"

#include "operatorconnection.h"
#include "statusscreen.h"

#include "crocusport/protocol/classfiles.h"
#include "crocusport/protocol/configurationdocument.h"
#include "crocusport/protocol/settings.h"
#include "crocusport/protocol/statusdocument.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace crocusport {

namespace {

std::vector<SocketAddress> addressesOf(const std::vector<std::string> &texts)
{
    return { texts.begin(), texts.end() };
}

std::string sizeText(const Configuration &configuration)
{
    return std::to_string(configuration.classes.size()) + " classes, "
        + std::to_string(configuration.pools.size()) + " pools, "
        + std::to_string(configuration.teams.size()) + " teams";
}

nlohmann::json sizeJson(const Configuration &configuration)
{
    return { { "classes", configuration.classes.size() },
             { "pools", configuration.pools.size() },
             { "teams", configuration.teams.size() } };
}

//! Encodes what is not unreserved in RFC 3986 section 2.3.
std::string percentEncoded(const std::string &text)
{
    static constexpr std::string_view kUnreserved =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    static constexpr std::string_view kDigits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        if (kUnreserved.find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded.append({ '%', kDigits[byte >> 4U], kDigits[byte & 0xFU] });
    }
    return encoded;
}

Result<std::string> getFromRouter(const OperatorArguments &arguments, const std::string &target)
{
    BOOST_LEAF_AUTO(connection, OperatorConnection::create());
    return connection->get(SocketAddress(arguments.router), target);
}

} // namespace

Result<std::string> checkCommand(const OperatorArguments &arguments)
{
    BOOST_LEAF_AUTO(configuration, loadClassFiles(arguments.directory));
    if (arguments.isJson)
        return sizeJson(configuration).dump() + "\n";
    return "valid: " + sizeText(configuration) + "\n";
}

Result<std::string> publishCommand(const OperatorArguments &arguments)
{
    BOOST_LEAF_AUTO(configuration, loadClassFiles(arguments.directory));
    BOOST_LEAF_AUTO(connection, OperatorConnection::create());
    BOOST_LEAF_AUTO(version, connection->publish(addressesOf(arguments.store), configuration));
    if (arguments.isJson) {
        auto json = sizeJson(configuration);
        json["version"] = version.value();
        return json.dump() + "\n";
    }
    return "published version " + std::to_string(version.value()) + ": " + sizeText(configuration)
        + "\n";
}

Result<std::string> statusCommand(const OperatorArguments &arguments)
{
    BOOST_LEAF_AUTO(body, getFromRouter(arguments, "/status"));
    BOOST_LEAF_AUTO(status, parseRouterStatus(body));
    return arguments.isJson ? body + "\n" : statusScreen(status);
}

Result<std::string> showConfigurationCommand(const OperatorArguments &arguments)
{
    std::string document;
    if (arguments.router.empty()) {
        BOOST_LEAF_AUTO(connection, OperatorConnection::create());
        BOOST_LEAF_ASSIGN(document, connection->readConfiguration(addressesOf(arguments.store)));
    } else {
        BOOST_LEAF_ASSIGN(document, getFromRouter(arguments, "/config"));
    }
    BOOST_LEAF_AUTO(configuration, parseConfigurationDocument(document));
    return arguments.isJson ? document + "\n" : configurationScreen(configuration);
}

Result<std::string> explainCommand(const OperatorArguments &arguments)
{
    BOOST_LEAF_AUTO(
        body, getFromRouter(arguments, "/explain?request=" + percentEncoded(arguments.request)));
    BOOST_LEAF_AUTO(explanation, parseExplanation(body));
    if (arguments.isJson)
        return body + "\n";
    std::string text;
    for (const auto &event : explanation.events)
        text += event + "\n";
    return text;
}

Result<std::string> settingsCommand(const OperatorArguments &arguments)
{
    std::string text = "# Settings of crocusportd\n\n"
                       "This page is the output of `crocusport settings`. A settings file is TOML; "
                       "a dotted key such as\n`listen.peers` may also be written as `peers` below "
                       "`[listen]`. Keys that are not listed are errors.\n\n"
        + Settings::reference();
    if (arguments.ofClassFiles)
        text = classFileReference();
    return arguments.isJson ? nlohmann::json({ { "markdown", text } }).dump() + "\n" : text;
}

} // namespace crocusport
