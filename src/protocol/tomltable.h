#ifndef CROCUSPORT_TOMLTABLE_H
#define CROCUSPORT_TOMLTABLE_H

#include "crocusport/state/error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace crocusport {

//! A value of a kind that no key accepts; the text names the kind.
struct UnsupportedTomlValue
{
    std::string kind;
};

//! One value and where it stands.
struct TomlValue
{
    std::variant<std::string, std::int64_t, double, bool, std::vector<std::string>,
                 UnsupportedTomlValue>
        value;
    std::uint32_t line = 0; //!< 0: not from a file.
};

/*!
    The content of a TOML file in the form that the key tables read: nested tables are flattened to
    dotted keys, arrays of tables are kept apart.
*/
struct TomlTable
{
    std::string file;
    std::uint32_t line = 0;
    std::map<std::string, TomlValue, std::less<>> values;
    std::map<std::string, std::vector<TomlTable>, std::less<>> arrays;

    //! Returns "file:line", or "file" when \a line is 0.
    std::string position(std::uint32_t line) const;
};

/*!
    Parses \a text as TOML. \a file is only used in messages. Error messages do not quote the text,
    which may hold secrets. Fails with \a code. Safe from any thread.
*/
Result<TomlTable> parseToml(std::string_view text, const std::string &file, ResultCode code);

//! Reads a whole file of at most 1 MiB. Fails with FileUnreadable. Safe from any thread.
Result<std::string> readTextFile(const std::string &path);

} // namespace crocusport

#endif // CROCUSPORT_TOMLTABLE_H
