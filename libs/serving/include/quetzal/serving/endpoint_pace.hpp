#ifndef QUETZAL_SERVING_ENDPOINT_PACE_HPP
#define QUETZAL_SERVING_ENDPOINT_PACE_HPP

// How long work takes at an endpoint whose machine is shared with others. Endpoints report a pace:
// 1 is the usual duration of work, 2 twice that. The pace changes many times a second, so that a
// report loses its weight within the time for which a pace usually lasts, and it is a claim, which
// the observed durations of calls confirm or correct.

#include <cstdint>

#include <quetzal/base/time.hpp>

namespace quetzal::serving {

// Reports outside of these bounds count as the bound, so that one wrong figure neither attracts all
// calls nor keeps them away for longer than its age justifies.
inline constexpr double fastest_pace = 0.25;
inline constexpr double slowest_pace = 10;

// What all endpoints of a pool report and observe. Durations are in nanoseconds.
class pool_pace
{
public:
    void record_report(double pace);

    // Records a successful call. `pace` is the one that the endpoint reported with its response.
    void record_call(double duration, double pace);

    // Returns whether any endpoint has reported a pace.
    bool known() const noexcept { return reports_ > 0; }
    std::uint64_t reports() const noexcept { return reports_; }

    // Returns the mean of the reports; 1 without any.
    double mean() const noexcept { return mean_; }

    // Returns the mean duration of a call at the pace 1; 0 before the first call.
    double usual_duration() const noexcept { return usual_duration_; }

private:
    std::uint64_t reports_ = 0;
    double mean_ = 1;
    double usual_duration_ = 0;
};

// The pace of one endpoint as seen by one instance.
class endpoint_pace
{
public:
    // Records a report of the endpoint. Has no effect if a later one is known.
    void record_report(double pace, time_point measured);

    // Records a successful call as in `pool_pace`, with the pace 1 if the endpoint reports none.
    // The duration is divided by the reported pace: an endpoint that reports less than it takes has
    // calls that are long for its pace.
    void record_call(double duration, double pace);

    bool known() const noexcept { return reports_ > 0; }
    double latest() const noexcept { return latest_; }

    // Returns the weight of the latest report at a time, between 0 and 1.
    double trust(time_point when) const noexcept;

    // Returns the pace that is expected at a time: the latest report by its trust, and for the rest
    // the mean of the endpoint's reports, which approaches that of the pool if there are few.
    double expected(const pool_pace& pool, time_point when) const noexcept;

    // Returns the duration that is expected of a call that starts at a time, in nanoseconds; of an
    // endpoint without reports as its calls and the pool's mean tell. 0 without any successful call
    // of the pool.
    double expected_duration(const pool_pace& pool, time_point start) const noexcept;

private:
    double latest_ = 1;
    double mean_ = 1;
    double usual_duration_ = 0; // of a call at the pace 1, moving average in ns
    time_point measured_{};
    std::uint32_t reports_ = 0;
    std::uint32_t calls_ = 0;
};

} // namespace quetzal::serving

#endif
