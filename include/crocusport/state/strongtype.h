#ifndef CROCUSPORT_STRONGTYPE_H
#define CROCUSPORT_STRONGTYPE_H

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace crocusport {

/*!
    A value of type \a T that does not convert to other strong types. \a Tag makes the type
    distinct from others with the same \a T and is not used otherwise.

    Thread safety: the same as that of \a T.
*/
template<typename T, typename Tag>
class StrongType
{
public:
    using ValueType = T;

    StrongType() = default;
    explicit StrongType(T value) : value_(std::move(value)) { }

    const T &value() const { return value_; }

    auto operator<=>(const StrongType &) const = default;
    bool operator==(const StrongType &) const = default;

private:
    T value_ {};
};

template<typename T, typename Tag>
std::ostream &operator<<(std::ostream &stream, const StrongType<T, Tag> &strong)
{
    return stream << strong.value();
}

} // namespace crocusport

template<typename T, typename Tag>
struct std::hash<crocusport::StrongType<T, Tag>>
{
    std::size_t operator()(const crocusport::StrongType<T, Tag> &strong) const
    {
        return std::hash<T> {}(strong.value());
    }
};

#endif // CROCUSPORT_STRONGTYPE_H
