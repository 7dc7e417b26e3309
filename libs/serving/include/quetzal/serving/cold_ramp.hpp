#ifndef QUETZAL_SERVING_COLD_RAMP_HPP
#define QUETZAL_SERVING_COLD_RAMP_HPP

// How much work one endpoint may receive from this instance, by the temperature of its present
// process. Only the holder of the exclusive right sends to a cold endpoint; all others wait until
// the holder declares the incarnation warm.

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include <quetzal/serving/types.hpp>

namespace quetzal::serving {

// The holder's statement on an endpoint. A statement with a greater (fence, sequence) replaces one
// with a smaller.
struct warmth_declaration
{
    incarnation process;
    bool warm = false;
    std::uint64_t fence = 0;
    std::uint32_t sequence = 0;
};

// Why an endpoint is treated as cold.
enum class cold_cause
{
    new_incarnation,
    zone_returned,
    slow_answers,
    reported_cold,
    cache_lost,
    told_by_peer
};

// The holder disseminates the declaration.
struct declare_warmth
{
    warmth_declaration declaration;
};

// Another instance than the holder tells the holder what it sees. `cold` false asks only for the
// present declaration.
struct tell_holder
{
    incarnation process;
    bool cold = true;
    cold_cause cause = cold_cause::slow_answers;
};

using ramp_action = std::variant<declare_warmth, tell_holder>;

// Constants of the ramp.
struct ramp_options
{
    std::uint32_t concurrency = 8;
    std::uint32_t cold_concurrency = 1;
    std::uint32_t slow_answers = 3;               // in a row, before a warm endpoint counts as cold
    duration ask_again = std::chrono::seconds(1); // first wait between questions to the holder
    duration max_ask = std::chrono::seconds(8);   // the wait doubles up to this
};

// The temperature of one endpoint. Not thread-safe.
class cold_ramp
{
public:
    explicit cold_ramp(ramp_options options = {}) : options_(options) {}

    // Changes the concurrency and the cold concurrency.
    void resize(std::uint32_t concurrency, std::uint32_t cold_concurrency);

    // Tells which process answers at the endpoint. Another one than before is cold.
    std::vector<ramp_action> connected(incarnation process, time_point now);

    // Gains or loses the exclusive right. A gain carries the fencing number.
    std::vector<ramp_action> hold(std::optional<std::uint64_t> fence, time_point now);

    // Adopts a declaration of the holder unless a newer one is known.
    void declared(const warmth_declaration& declaration);

    // An answer of the endpoint: `normal` when it is within the pool's normal latency, `slow` when
    // it is beyond the outlier bound (failures count as slow). Answers to calls that started before
    // the last change of the limit are no evidence for another doubling.
    std::vector<ramp_action> answered(bool normal, bool slow, time_point started, time_point now);

    // Evidence other than answers that the present process is cold.
    std::vector<ramp_action> turned_cold(cold_cause cause, time_point now);

    // The holder hears from another instance. `cold` false asks for the declaration.
    std::vector<ramp_action> heard(incarnation process, bool cold, time_point now);

    // The endpoint's zone went out of service: what was declared until now ends.
    void zone_left();

    // The endpoint's zone is back: it ramps like a cold endpoint.
    std::vector<ramp_action> zone_returned(time_point now);

    // Asks the holder again when an expected declaration is missing.
    std::vector<ramp_action> tick(time_point now);

    // Returns the calls that this instance may have in flight there; 0: it must send nothing.
    std::uint32_t allowed() const noexcept;

    bool warm() const noexcept { return warm_; }
    bool holder() const noexcept { return fence_.has_value(); }
    std::optional<incarnation> process() const noexcept { return process_; }
    cold_cause cause() const noexcept { return cause_; }

private:
    std::vector<ramp_action> cool(cold_cause cause, time_point now);
    warmth_declaration next_declaration(bool warm);
    bool newer(const warmth_declaration& declaration) const noexcept;

    ramp_options options_;
    std::optional<incarnation> process_;
    std::optional<std::uint64_t> fence_; // set while this instance is the holder
    std::optional<warmth_declaration> last_;
    bool warm_ = false;
    cold_cause cause_ = cold_cause::new_incarnation;
    std::uint32_t limit_ = 0;    // while cold, for the holder
    std::uint32_t evidence_ = 0; // normal answers since the limit changed
    std::uint32_t abnormal_ = 0; // answers in a row that were not normal
    std::uint32_t slow_in_row_ = 0;
    time_point limit_since_{};
    std::optional<time_point> ask_at_;
    duration ask_wait_{};
};

} // namespace quetzal::serving

#endif
