#ifndef CROCUSPORT_ARRIVALSCHEDULE_H
#define CROCUSPORT_ARRIVALSCHEDULE_H

#include "mix.h"

#include <cstdint>
#include <random>
#include <vector>

namespace crocusport {

/*!
    The arrival times of one class: a Poisson process whose rate is higher during bursts. The times
    follow from the seed and the class alone, so that they are the same for each policy measured.

    Thread safety: none; use from one thread.
*/
class ArrivalSchedule
{
public:
    ArrivalSchedule(const LoadClass &loadClass, const std::vector<LoadBurst> &bursts,
                    double rateFactor, std::uint64_t seed);

    //! Returns the time of the next arrival since the start. Precondition: the rate is positive.
    Duration next();
    //! The rate at \a time, in requests per second.
    double rateAt(Duration time) const;

private:
    double baseRate_;
    double maxRate_;
    std::vector<LoadBurst> bursts_;
    std::mt19937_64 random_;
    double seconds_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_ARRIVALSCHEDULE_H
