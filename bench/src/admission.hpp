#ifndef QUETZAL_BENCH_ADMISSION_HPP
#define QUETZAL_BENCH_ADMISSION_HPP

// Rate admission of the whole fleet behind one small interface.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

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
    virtual rate_answer take(std::uint32_t instance, std::uint32_t request,
                             std::uint32_t customer) = 0;

    // Returns the fencing number while the instance has the exclusive right to the endpoint.
    virtual std::optional<std::uint64_t> right_to(std::uint32_t, std::uint32_t) const { return {}; }

    // Called with the instance whose waiting requests may get tokens now.
    std::function<void(std::uint32_t)> on_token = [](std::uint32_t) {};
};

// Each instance has an equal part of every rate and burst.
std::unique_ptr<admission> make_static_split(const fleet& installation, event_queue& events);

// One exact bucket a customer that all instances read and write at once. No real system can do so
// over a network; the two better baselines have it so that they are not held back by the rates.
std::unique_ptr<admission> make_exact(const fleet& installation, event_queue& events);

// The real rights: every instance has its `fleet_rights`, and their messages take the time between
// zones. `installation` and `events` must outlive it.
std::unique_ptr<admission> make_rights(const fleet& installation, event_queue& events);

} // namespace quetzal::bench

#endif
