#ifndef CROCUSPORT_HOSTILEINPUT_H
#define CROCUSPORT_HOSTILEINPUT_H

#include "crocusport/state/error.h"

#include <rapidcheck.h>

#include <optional>
#include <string>

namespace crocusport::test {

//! Returns \a valid with a few bytes replaced, inserted or removed, sometimes cut short.
inline std::string mutated(std::string valid)
{
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes && !valid.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, valid.size());
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            valid.insert(at, 1, *rc::gen::arbitrary<char>());
            break;
        case 1:
            valid.erase(at, 1);
            break;
        case 2:
            valid.resize(at);
            break;
        default:
            valid[at] = *rc::gen::arbitrary<char>();
        }
    }
    return valid;
}

//! Returns bytes that are random or a mutation of \a valid.
inline std::string hostileInput(const std::string &valid)
{
    if (*rc::gen::inRange(0, 4) == 0)
        return *rc::gen::arbitrary<std::string>();
    return mutated(valid);
}

//! Runs \a parse; returns its error, or nothing if it succeeded.
template<typename Parse>
std::optional<Error> errorOf(Parse &&parse)
{
    return handleErrors(
        [&]() -> Result<std::optional<Error>> {
            auto result = parse();
            if (!result)
                return result.error();
            return std::optional<Error> {};
        },
        [](const Error &error) { return std::optional(error); });
}

//! Runs \a parse; returns its value, or nothing if it failed.
template<typename Parse>
auto valueOf(Parse &&parse)
{
    using Value = std::decay_t<decltype(parse().value())>;
    return handleErrors(
        [&]() -> Result<std::optional<Value>> {
            auto result = parse();
            if (!result)
                return result.error();
            return std::optional<Value>(std::move(result.value()));
        },
        [](const Error &) { return std::optional<Value> {}; });
}

//! Checks that \a error has a code of \a codes and a message.
inline void requireClear(const std::optional<Error> &error, std::initializer_list<ResultCode> codes)
{
    if (!error)
        return;
    RC_ASSERT(std::find(codes.begin(), codes.end(), error->code) != codes.end());
    RC_ASSERT(!error->message.empty());
}

} // namespace crocusport::test

#endif // CROCUSPORT_HOSTILEINPUT_H
