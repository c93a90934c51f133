#include "tomltable.h"

#include <toml++/toml.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace crocusport {

namespace {

constexpr std::size_t kMaxFileBytes = 1'048'576;

TomlValue toValue(const toml::node &node)
{
    TomlValue result;
    result.line = node.source().begin.line;
    if (const auto *text = node.as_string()) {
        result.value = text->get();
    } else if (const auto *integer = node.as_integer()) {
        result.value = integer->get();
    } else if (const auto *real = node.as_floating_point()) {
        result.value = real->get();
    } else if (const auto *flag = node.as_boolean()) {
        result.value = flag->get();
    } else if (const auto *array = node.as_array()) {
        std::vector<std::string> texts;
        for (const auto &element : *array) {
            const auto *elementText = element.as_string();
            if (!elementText) {
                result.value = UnsupportedTomlValue { "a list with other elements than texts" };
                return result;
            }
            texts.push_back(elementText->get());
        }
        result.value = std::move(texts);
    } else {
        result.value = UnsupportedTomlValue { "a date or time" };
    }
    return result;
}

void flatten(const toml::table &table, const std::string &prefix, TomlTable &result)
{
    for (const auto &[key, node] : table) {
        const std::string name = prefix + std::string(key.str());
        if (const auto *nested = node.as_table()) {
            flatten(*nested, name + '.', result);
        } else if (node.is_array_of_tables()) {
            for (const auto &element : *node.as_array()) {
                TomlTable child { result.file, element.source().begin.line, {}, {} };
                flatten(*element.as_table(), {}, child);
                result.arrays[name].push_back(std::move(child));
            }
        } else {
            result.values.emplace(name, toValue(node));
        }
    }
}

} // namespace

std::string TomlTable::position(std::uint32_t line) const
{
    return line == 0 ? file : file + ':' + std::to_string(line);
}

Result<TomlTable> parseToml(std::string_view text, const std::string &file, ResultCode code)
{
    try {
        TomlTable result { file, 0, {}, {} };
        flatten(toml::parse(text), {}, result);
        return result;
    } catch (const toml::parse_error &error) {
        // The description names what was being parsed, then, after a colon, quotes the text.
        const auto description = error.description();
        const auto &begin = error.source().begin;
        return makeError(code,
                         file + ':' + std::to_string(begin.line) + ": not valid TOML at column "
                             + std::to_string(begin.column) + ": "
                             + std::string(description.substr(0, description.find(':'))));
    }
}

Result<std::string> readTextFile(const std::string &path)
{
    std::error_code fault;
    if (std::filesystem::is_directory(path, fault))
        return makeError(ResultCode::FileUnreadable, path + ": is a directory");
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return makeError(ResultCode::FileUnreadable, path + ": " + std::strerror(errno));
    std::string text(kMaxFileBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    if (text.size() > kMaxFileBytes)
        return makeError(ResultCode::FileUnreadable,
                         path + ": has more than " + std::to_string(kMaxFileBytes) + " bytes");
    return text;
}

} // namespace crocusport
