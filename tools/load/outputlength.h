#ifndef CROCUSPORT_OUTPUTLENGTH_H
#define CROCUSPORT_OUTPUTLENGTH_H

#include <cstdint>
#include <random>

namespace crocusport {

/*!
    The distribution of answer lengths of a class: lognormal, with a share of answers that are many
    times longer.

    Thread safety: as safe as the generator that is passed in.
*/
class OutputLength
{
public:
    struct Parameters
    {
        double median = 50;
        double sigma = 0;      //!< Of the logarithm; 0: every answer has the median length.
        double tailShare = 0;  //!< Share of answers in the heavy tail.
        double tailFactor = 1; //!< By how much the answers in the tail are longer.
        std::uint32_t max = 100'000;
    };

    explicit OutputLength(const Parameters &parameters) : parameters_(parameters) { }

    std::uint32_t draw(std::mt19937_64 &random) const;

private:
    Parameters parameters_;
};

} // namespace crocusport

#endif // CROCUSPORT_OUTPUTLENGTH_H
