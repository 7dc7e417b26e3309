#ifndef QUETZAL_BENCH_CAPACITY_WATCH_HPP
#define QUETZAL_BENCH_CAPACITY_WATCH_HPP

// Tells whether the fleet could have borne a request at a moment, from the true state of the
// endpoints. Refusals at other times are not wrongful.

#include <cstdint>
#include <vector>

#include "fleet.hpp"

namespace quetzal::bench {

class capacity_watch
{
public:
    // `installation` must outlive the watch.
    explicit capacity_watch(const fleet& installation) : fleet_(installation) {}

    // Called every 100 ms. `speed` is the share of its full speed at which each endpoint may work;
    // `within_rate` counts the requests within the rate so far.
    void sample(const std::vector<double>& speed, std::uint64_t within_rate, time_point now)
    {
        constexpr double smoothing = 0.05; // of a sample every 100 ms: about 2 s
        const auto rate = static_cast<double>(within_rate - counted_) / 0.1;
        offered_ += smoothing * (rate - offered_);
        counted_ = within_rate;
        for (std::size_t pool = 0; pool < fleet_.config.pools.size(); ++pool) {
            if (offered_ > usable_share * pool_capacity(fleet_, pool, speed)) {
                lacked_ = now;
            }
        }
    }

    // Whether every pool has had spare capacity for long enough to have worked off a backlog.
    bool left(time_point now) const { return now - lacked_ > settling; }

private:
    static constexpr double usable_share = 0.95; // queues are long above it
    static constexpr duration settling = std::chrono::seconds(3);

    const fleet& fleet_;
    std::uint64_t counted_ = 0;
    double offered_ = 0; // requests/s
    time_point lacked_{};
};

} // namespace quetzal::bench

#endif
