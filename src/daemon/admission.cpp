#include "admission.h"

#include "crocusport/protocol/digest.h"

#include <algorithm>
#include <string_view>

namespace crocusport {

namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
const std::string kAuthorization = "Authorization";
const std::string kTeam = "X-Team";
// The key becomes part of a log line and of a digest; longer keys have no use.
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;

bool isBelowPath(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

const RequestClass *findClassByPath(const Configuration &configuration, std::string_view path)
{
    const RequestClass *longest = nullptr;
    for (const auto &[name, candidate] : configuration.classes) {
        if (!isBelowPath(path, candidate.path))
            continue;
        if (!longest || candidate.path.size() > longest->path.size())
            longest = &candidate;
    }
    return longest;
}

Result<RequestClass> findClass(const Configuration &configuration, const HttpExchange &exchange)
{
    const auto name = exchange.header("X-Class");
    if (!name) {
        const auto *const byPath = findClassByPath(configuration, exchange.path());
        if (!byPath)
            return makeError(ResultCode::NoSuchRoute, "no class serves this path");
        return *byPath;
    }
    const auto entry = configuration.classes.find(ClassName(*name));
    if (entry == configuration.classes.end())
        return makeError(ResultCode::UnknownClass, "the class in X-Class is not configured");
    if (!isBelowPath(exchange.path(), entry->second.path))
        return makeError(ResultCode::NoSuchRoute, "the class does not serve this path");
    return entry->second;
}

//! Fails if the field \a name occurs twice, as it may then name two callers.
Result<void> checkSingle(const HttpExchange &exchange, const std::string &name)
{
    if (exchange.headerCount(name) > 1)
        return makeError(ResultCode::BadCredential, name + " occurs twice");
    return {};
}

Result<void> checkCredential(const Team &team, const HttpExchange &exchange)
{
    if (team.credentialSha256.empty())
        return {};
    BOOST_LEAF_CHECK(checkSingle(exchange, kAuthorization));
    const auto authorization = exchange.header(kAuthorization);
    if (!authorization || !authorization->starts_with(kBearerPrefix)
        || authorization->size() == kBearerPrefix.size())
        return makeError(ResultCode::BadCredential, "the team needs a bearer credential");
    const auto digest = sha256Hex(std::string_view(*authorization).substr(kBearerPrefix.size()));
    if (!isEqualConstantTime(digest, team.credentialSha256))
        return makeError(ResultCode::BadCredential, "the credential does not belong to the team");
    return {};
}

Result<TeamName> findTeam(const Configuration &configuration, const RequestClass &requestClass,
                          const HttpExchange &exchange)
{
    BOOST_LEAF_CHECK(checkSingle(exchange, kTeam));
    const auto name = exchange.header(kTeam);
    if (!name)
        return makeError(ResultCode::UnknownTeam, "the header X-Team is missing");
    const auto entry = configuration.teams.find(TeamName(*name));
    if (entry == configuration.teams.end())
        return makeError(ResultCode::UnknownTeam, "the team in X-Team is not configured");
    BOOST_LEAF_CHECK(checkCredential(entry->second, exchange));
    const auto &allowed = requestClass.teams;
    if (!allowed.empty()
        && std::find(allowed.begin(), allowed.end(), entry->first) == allowed.end())
        return makeError(ResultCode::TeamNotAllowed, "the team may not use this class");
    return entry->first;
}

} // namespace

Result<AdmittedRequest> admitRequest(const Configuration &configuration,
                                     const HttpExchange &exchange)
{
    AdmittedRequest admitted;
    BOOST_LEAF_ASSIGN(admitted.requestClass, findClass(configuration, exchange));
    BOOST_LEAF_ASSIGN(admitted.team, findTeam(configuration, admitted.requestClass, exchange));
    const auto pool = configuration.pools.find(admitted.requestClass.pool);
    if (pool == configuration.pools.end())
        return makeError(ResultCode::NoSuchRoute, "the pool of the class is not configured");
    admitted.kind = pool->second.kind;
    if (admitted.kind == PoolKind::Engine && exchange.method() != "POST")
        return makeError(ResultCode::BadRequest, "chat completions are requested with POST");
    admitted.idempotencyKey = exchange.header("Idempotency-Key");
    if (admitted.idempotencyKey && admitted.idempotencyKey->size() > kMaxIdempotencyKeyBytes)
        return makeError(ResultCode::BadHeader, "the idempotency key is longer than 255 bytes");
    return admitted;
}

} // namespace crocusport
