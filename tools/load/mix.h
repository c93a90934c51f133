#ifndef CROCUSPORT_MIX_H
#define CROCUSPORT_MIX_H

#include "crocusport/state/error.h"
#include "crocusport/state/instant.h"
#include "outputlength.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace crocusport {

//! How the requests of a class look and how their answers are checked.
enum class LoadKind { Chat, Lookup, Booking };

//! One class of a mix file.
struct LoadClass
{
    std::string name;
    LoadKind kind = LoadKind::Chat;
    std::vector<std::pair<std::string, double>> teams; //!< Names and weights.
    double rate = 1;                                   //!< Requests per second.
    std::string path = "/v1/chat/completions";
    bool isStreamed = false;
    std::size_t promptBytes = 400;
    std::size_t sharedPrefixBytes = 256; //!< Equal for all requests of the class and team.
    OutputLength::Parameters output;
    std::optional<Duration> firstTokenTarget;
    std::optional<Duration> answerTarget;
    Duration timeout = std::chrono::seconds(60);          //!< The caller leaves after this time.
    std::uint32_t retries = 0;                            //!< Further attempts of the caller.
    Duration retryDelay = std::chrono::milliseconds(200); //!< Used without Retry-After.
    bool isRetryingUnknown = false; //!< Whether the caller also retries an unknown outcome.
    bool hasIdempotencyKey = false;
};

//! A time in which a class has \a factor times its rate.
struct LoadBurst
{
    std::string className;
    Duration start {};
    Duration length {};
    double factor = 1;
};

//! What the load tool sends, from a TOML or JSON file.
struct Mix
{
    std::vector<LoadClass> classes;
    std::vector<LoadBurst> bursts;
    std::map<std::string, std::string> credentials; //!< By team.
    double retryAfterScale = 1; //!< Share of Retry-After that a caller waits, for compressed time.

    //! Reads \a path. Fails with FileUnreadable or BadSettings.
    static Result<Mix> load(const std::string &path);
    //! Reads \a text. Fails with BadSettings.
    static Result<Mix> parse(const std::string &text, bool isJson);

    double totalRate() const;
};

} // namespace crocusport

#endif // CROCUSPORT_MIX_H
