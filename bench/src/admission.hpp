#ifndef QUETZAL_BENCH_ADMISSION_HPP
#define QUETZAL_BENCH_ADMISSION_HPP

// Rate admission of the whole fleet behind one small interface.

#include <cstdint>
#include <memory>

#include "ledger.hpp"
#include "router.hpp"

namespace quetzal::bench {

class admission
{
public:
    admission() = default;
    admission(const admission&) = delete;
    admission& operator=(const admission&) = delete;
    virtual ~admission() = default;

    // Takes a token for a request that arrived at the instance, if there is one.
    virtual rate_answer take(std::uint32_t instance, std::uint32_t customer) = 0;
};

// Each instance has an equal part of every rate and burst.
std::unique_ptr<admission> make_static_split(const fleet& installation, event_queue& events);

// One exact bucket a customer that all instances read and write at once. No real system can do so
// over a network; the two better baselines have it so that they are not held back by the rates.
std::unique_ptr<admission> make_exact(const fleet& installation, event_queue& events);

} // namespace quetzal::bench

#endif
