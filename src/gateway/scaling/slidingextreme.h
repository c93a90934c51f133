#ifndef CROCUSPORT_SLIDINGEXTREME_H
#define CROCUSPORT_SLIDINGEXTREME_H

#include "crocusport/state/instant.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace crocusport {

/*!
    The most extreme of the values of a window of time; std::greater gives the maximum.

    Memory: one entry for each distinct value that could still become the extreme. Thread safety:
    none; use from one thread.
*/
template<typename Compare>
class SlidingExtreme
{
public:
    explicit SlidingExtreme(Duration window) : window_(window) { }

    //! Adds \a value and drops the values older than the window. Precondition: \a now never falls.
    void note(std::uint32_t value, Instant now)
    {
        while (!samples_.empty() && !Compare()(samples_.back().value, value))
            samples_.pop_back();
        samples_.push_back({ value, now });
        while (samples_.front().at < now - window_)
            samples_.pop_front();
    }

    //! Returns the extreme as of the last call of note(); 0 if there was none.
    std::uint32_t value() const { return samples_.empty() ? 0 : samples_.front().value; }

private:
    struct Sample
    {
        std::uint32_t value = 0;
        Instant at {};
    };

    Duration window_;
    std::deque<Sample> samples_; //!< Each is more extreme than the ones behind it.
};

using SlidingMaximum = SlidingExtreme<std::greater<>>;
using SlidingMinimum = SlidingExtreme<std::less<>>;

} // namespace crocusport

#endif // CROCUSPORT_SLIDINGEXTREME_H
