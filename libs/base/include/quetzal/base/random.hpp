#ifndef QUETZAL_BASE_RANDOM_HPP
#define QUETZAL_BASE_RANDOM_HPP

// Seeded random numbers with the same sequence on every platform. Decision code receives its
// generator from the caller, so that a run can be repeated from its seed. Not for security.

#include <cstdint>

namespace quetzal {

// SplitMix64 generator that satisfies std::uniform_random_bit_generator. Not thread-safe.
class random_source
{
public:
    using result_type = std::uint64_t;

    explicit random_source(std::uint64_t seed) noexcept : state_(seed) {}

    static constexpr result_type min() noexcept { return 0; }
    static constexpr result_type max() noexcept { return ~result_type{0}; }

    result_type operator()() noexcept
    {
        state_ += 0x9e3779b97f4a7c15ull;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ull;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebull;
        return mixed ^ (mixed >> 31);
    }

    // Returns a random integer in [0, bound). `bound` must not be 0. The bias is below 2^-32 for
    // bounds below 2^32.
    std::uint64_t below(std::uint64_t bound) noexcept
    {
        return static_cast<std::uint64_t>((static_cast<unsigned __int128>((*this)()) * bound) >>
                                          64);
    }

    // Returns a random number in [0, 1).
    double unit() noexcept { return static_cast<double>((*this)() >> 11) * 0x1.0p-53; }

private:
    std::uint64_t state_;
};

} // namespace quetzal

#endif
