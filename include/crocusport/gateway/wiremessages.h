#ifndef CROCUSPORT_WIREMESSAGES_H
#define CROCUSPORT_WIREMESSAGES_H

#include "crocusport/coordination/keyvaluestore.h"
#include "crocusport/gateway/routingtable.h"
#include "crocusport/gateway/serverentry.h"
#include "crocusport/transport/httpclient.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusport {

//! A part of a prompt that other requests may share.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

//! What a caller asks for.
struct IncomingRequest
{
    std::string id; //!< Unique for each attempt of a caller; empty: it named none.
    std::string host;
    std::optional<std::string> key;
    std::optional<Duration> timeLimit; //!< How long the caller waits.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> expectedOutputTokens; //!< The caller's estimate.
    std::vector<PromptPart> parts;                     //!< In the order of the prompt.
    std::optional<std::uint64_t> lastEventId;          //!< The caller has all events up to this.
    HttpHeaders passedHeaders;                         //!< To be sent on unchanged.
};

//! What the router adds to a request that it sends to a backend server.
struct AttemptHead
{
    BackendServerName server; //!< Any other server must refuse the request.
    TeamName team;            //!< Empty: the caller is anonymous.
    Duration remaining {};
    int urgency = 0; //!< 0 is the first.
    std::optional<std::uint64_t> lastEventId;
};

//! What a backend server's response head says.
struct AnswerHead
{
    int status = 0;
    std::string requestId;
    bool isSealed = false;      //!< It proves that the backend server wrote the answer.
    bool isAmbiguous = false;   //!< A field that names its request or proves it stands twice.
    bool isNotExecuted = false; //!< The request has not run.
    bool isMisdirected = false; //!< Another server answers at the address; nothing has run.
    bool isEncoded = false;     //!< The body is not the one that the backend server wrote.
    bool isLeaving = false;     //!< The server is about to stop and wants no new requests.
    std::optional<Duration>
        retryAfter;            //!< For this long the server wants nothing from this router.
    HttpHeaders passedHeaders; //!< To be returned unchanged.
};

//! An item or the deletion of one, as the store reports it.
struct StoreChange
{
    std::string key;
    std::optional<std::string> value; //!< None: deleted.
    StoreRevision revision {};
};

//! A page of items, or changes, and the store's revision when it answered.
struct StorePage
{
    std::vector<StoreChange> changes;
    StoreRevision revision {};
    bool hasMore = false;
};

/*!
    The formats in which a deployment speaks to routers. All functions are pure: they hold names and
    encodings, and decide nothing.
*/
template<typename T>
concept WireFormats = requires(const HttpExchange &exchange, const IncomingRequest &request,
                               const AttemptHead &head, const HttpHeaders &headers,
                               const std::string &text, std::string_view body,
                               StoreRevision revision)
{
    {
        T::decodeRequest(exchange)
        } -> std::same_as<IncomingRequest>;
    {
        T::attemptHeaders(request, head)
        } -> std::same_as<HttpHeaders>;
    {
        T::decodeAnswer(200, headers)
        } -> std::same_as<AnswerHead>;
    {
        T::readyTarget()
        } -> std::same_as<std::string_view>;
    {
        T::rangeCall(text, text)
        } -> std::same_as<HttpCallRequest>;
    {
        T::decodeRange(body)
        } -> std::same_as<Result<StorePage>>;
    {
        T::watchCall(text, revision)
        } -> std::same_as<HttpCallRequest>;
    {
        T::decodeWatch(body)
        } -> std::same_as<Result<StorePage>>;
    {
        T::putCall(text, text)
        } -> std::same_as<HttpCallRequest>;
    {
        T::removeCall(text)
        } -> std::same_as<HttpCallRequest>;
    {
        T::isConfigurationKey(text)
        } -> std::same_as<bool>;
    {
        T::decodeConfiguration(body)
        } -> std::same_as<Result<RoutingConfiguration>>;
    {
        T::serverNameOfKey(text)
        } -> std::same_as<std::optional<BackendServerName>>;
    {
        T::decodeServer(BackendServerName(), body)
        } -> std::same_as<Result<ServerEntry>>;
};

} // namespace crocusport

#endif // CROCUSPORT_WIREMESSAGES_H
