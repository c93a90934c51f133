#include "configurationcheck.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>
#include <utility>

namespace crocusport {

namespace {

// Claims last 24 h; no request may be sent anywhere near that long after its claim was written
// (docs/design.md section 4.2).
constexpr std::chrono::hours kMaxDeadline { 12 };
constexpr std::string_view kEnginePath = "/v1/chat/completions";
constexpr std::size_t kSha256HexDigits = 64;

class Checker
{
public:
    explicit Checker(const Configuration &configuration) : configuration_(configuration) { }

    std::vector<ConfigurationFault> run()
    {
        for (const auto &[name, pool] : configuration_.pools)
            checkPool(pool);
        for (const auto &[name, team] : configuration_.teams)
            checkTeam(team);
        for (const auto &[name, requestClass] : configuration_.classes)
            checkClass(requestClass);
        return std::move(faults_);
    }

private:
    void checkPool(const PoolPolicy &pool)
    {
        const std::array shares { std::pair { "background_share", pool.backgroundShare },
                                  std::pair { "urgent_reserve", pool.urgentReserve },
                                  std::pair { "long_share", pool.longShare } };
        for (const auto &[key, share] : shares) {
            if (!(share >= 0 && share <= 1))
                add(pool, std::string(key) + " is not within 0 to 1");
        }
        if (pool.longThreshold <= Milliseconds::zero() || pool.floorAfter < Milliseconds::zero())
            add(pool, "long_threshold_ms or floor_after_ms is negative");
    }

    void checkTeam(const Team &team)
    {
        const auto &digest = team.credentialSha256;
        const bool isHex = digest.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!digest.empty() && (digest.size() != kSha256HexDigits || !isHex))
            add(team, "credential_sha256 is not 64 lower-case hex digits");
        if (!(team.requestsPerSecond >= 0))
            add(team, "requests_per_second is negative");
    }

    void checkClass(const RequestClass &requestClass)
    {
        checkTimes(requestClass);
        for (const auto &team : requestClass.teams) {
            if (!configuration_.teams.contains(team))
                add(requestClass, "there is no team " + team.value());
        }
        const auto pool = configuration_.pools.find(requestClass.pool);
        if (pool == configuration_.pools.end())
            add(requestClass, "there is no pool " + requestClass.pool.value());
        else
            checkPath(requestClass, pool->second.kind);
    }

    void checkTimes(const RequestClass &requestClass)
    {
        const auto deadline = requestClass.deadline;
        if (deadline <= Milliseconds::zero() || deadline > kMaxDeadline)
            add(requestClass, "deadline_ms is not within 1 to 43200000 (12 h)");
        const auto answer = requestClass.answerTarget.value_or(deadline);
        const auto firstToken = requestClass.firstTokenTarget.value_or(answer);
        if (answer <= Milliseconds::zero() || answer > deadline)
            add(requestClass, "answer_ms is not within the deadline");
        else if (firstToken <= Milliseconds::zero() || firstToken > answer)
            add(requestClass, "first_token_ms is not within answer_ms and the deadline");
    }

    void checkPath(const RequestClass &requestClass, PoolKind kind)
    {
        const auto &path = requestClass.path;
        if (kind == PoolKind::Engine) {
            if (path != kEnginePath)
                add(requestClass,
                    "path is " + path + "; classes of engines have " + std::string(kEnginePath));
            return;
        }
        if (!path.starts_with('/') || path.ends_with('/')
            || path.find_first_of("?# ") != std::string::npos) {
            add(requestClass, "path does not begin with /, or ends with /, or has ?, # or a space");
            return;
        }
        // The longest matching prefix decides, so only equal ones are ambiguous.
        if (path == kEnginePath || std::string_view(kEnginePath).starts_with(path + '/'))
            add(requestClass, "path " + path + " includes the path of engines", true);
        const auto other = std::find_if(
            configuration_.classes.begin(), configuration_.classes.end(), [&](const auto &entry) {
                return entry.first < requestClass.name && entry.second.path == path;
            });
        if (other != configuration_.classes.end())
            add(requestClass, "path " + path + " is that of class " + other->first.value() + " too",
                true);
    }

    void add(const PoolPolicy &pool, const std::string &fault)
    {
        faults_.push_back({ ConfigurationPart::Pool, pool.name.value(),
                            "pool " + pool.name.value() + ": " + fault, false });
    }

    void add(const Team &team, const std::string &fault)
    {
        faults_.push_back({ ConfigurationPart::Team, team.name.value(),
                            "team " + team.name.value() + ": " + fault, false });
    }

    void add(const RequestClass &requestClass, const std::string &fault, bool isConflict = false)
    {
        faults_.push_back({ ConfigurationPart::Class, requestClass.name.value(),
                            "class " + requestClass.name.value() + ": " + fault, isConflict });
    }

    const Configuration &configuration_;
    std::vector<ConfigurationFault> faults_;
};

} // namespace

std::vector<ConfigurationFault> findConfigurationFaults(const Configuration &configuration)
{
    return Checker(configuration).run();
}

} // namespace crocusport
