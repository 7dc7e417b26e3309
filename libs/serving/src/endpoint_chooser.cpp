#include <quetzal/serving/endpoint_chooser.hpp>

#include <algorithm>
#include <cmath>

#include <quetzal/base/hash.hpp>

namespace quetzal::serving {

namespace {

// Weights of the newest call in the moving averages of an endpoint and of the pool, which has many
// more calls.
constexpr double endpoint_smoothing = 0.2;
constexpr double pool_smoothing = 0.02;
// Older reports are ignored. The pool's mean load is used instead, capped below a full batch, so
// that an endpoint whose reports are lost still gets work.
constexpr duration max_report_age = std::chrono::seconds(2);
// Number of calls after which past ejections of an endpoint no longer lengthen the next one.
constexpr std::uint32_t ejection_reset_samples = 50;
// Confidence that a prefix is cached at its rendezvous fallback, which is only a guess.
constexpr double fallback_confidence = 0.5;
// Number of shares of all prefixes that the fallback assigns to endpoints separately: about 7 per
// endpoint in a pool of 600.
constexpr std::size_t fallback_share_count = 4096;
// A pool without free capacity is not searched again for this long unless something changes. Only
// the aging of load reports can free capacity without an event.
constexpr duration full_pool_recheck_interval = std::chrono::milliseconds(5);
// Slowness is weaker evidence than an error: an ejection takes four consecutive slow calls instead
// of two errors.
constexpr double slow_failure_weight = 0.5;

double nanoseconds(duration value)
{
    return static_cast<double>(value.count());
}

bool contains(std::span<const endpoint_index> list, endpoint_index wanted)
{
    return std::find(list.begin(), list.end(), wanted) != list.end();
}

} // namespace

endpoint_chooser::endpoint_chooser(chooser_options options)
    : options_(options), cache_(options.cached_prefixes)
{
    options_.choices = std::clamp<std::size_t>(options_.choices, 1, 8);
    options_.concurrency = std::max(options_.concurrency, 1u);
    fallbacks_.resize(options_.cached_prefixes == 0 ? 0 : fallback_share_count);
}

endpoint_index endpoint_chooser::add(const endpoint_id& id, std::uint32_t zone, bool in_other_zone)
{
    endpoint_index position = static_cast<endpoint_index>(endpoints_.size());
    if (unused_positions_.empty()) {
        endpoints_.emplace_back();
        usable_.reserve(endpoints_.capacity());
        usable_hashes_.reserve(endpoints_.capacity());
    } else {
        position = unused_positions_.back();
        unused_positions_.pop_back();
    }
    endpoint_state& state = endpoints_[position];
    state = endpoint_state{};
    state.id = id;
    state.id_hash = stable_hash(id.name);
    state.zone = zone;
    state.in_other_zone = in_other_zone;
    state.present = true;
    state.batch_size = options_.concurrency;
    state.excluded = static_cast<std::uint8_t>(exclusion::unconnected) |
                     static_cast<std::uint8_t>(exclusion::cold);
    cache_.add_endpoint(position);
    ++present_;
    return position;
}

void endpoint_chooser::remove(endpoint_index endpoint)
{
    exclude(endpoint, exclusion::ejected, false);
    exclude(endpoint, exclusion::leaving, true);
    limit(endpoint, 0);
    endpoints_[endpoint].present = false;
    unused_positions_.push_back(endpoint);
    --present_;
}

void endpoint_chooser::set_exclusions(endpoint_index endpoint, std::uint8_t excluded)
{
    endpoint_state& state = endpoints_[endpoint];
    const bool was_usable = state.excluded == 0;
    state.excluded = excluded;
    if (was_usable == (excluded == 0)) {
        return;
    }
    ++usable_generation_;
    full_until_ = {};
    if (excluded == 0) {
        state.usable_position = usable_.size();
        usable_.push_back(endpoint);
        usable_hashes_.push_back(state.id_hash);
        return;
    }
    const std::size_t hole = state.usable_position;
    usable_[hole] = usable_.back();
    usable_hashes_[hole] = usable_hashes_.back();
    endpoints_[usable_[hole]].usable_position = hole;
    usable_.pop_back();
    usable_hashes_.pop_back();
}

void endpoint_chooser::exclude(endpoint_index endpoint, exclusion why, bool excluded)
{
    const auto bit = static_cast<std::uint8_t>(why);
    const std::uint8_t before = endpoints_[endpoint].excluded;
    const auto after = static_cast<std::uint8_t>(excluded ? before | bit : before & ~bit);
    if (why == exclusion::ejected && before != after) {
        ejected_ += excluded ? 1 : std::size_t(-1);
    }
    set_exclusions(endpoint, after);
}

void endpoint_chooser::limit(endpoint_index endpoint, std::uint32_t calls)
{
    endpoint_state& state = endpoints_[endpoint];
    warming_up_ -= is_warming_up(state) ? 1 : 0;
    state.limit = calls;
    warming_up_ += is_warming_up(state) ? 1 : 0;
    full_until_ = {};
}

void endpoint_chooser::resize(std::uint32_t concurrency)
{
    concurrency = std::max(concurrency, 1u);
    for (endpoint_state& state : endpoints_) {
        const bool whole = state.batch_size >= options_.concurrency;
        state.batch_size = whole ? concurrency : std::min<double>(state.batch_size, concurrency);
    }
    options_.concurrency = concurrency;
    full_until_ = {};
}

void endpoint_chooser::restarted(endpoint_index endpoint)
{
    exclude(endpoint, exclusion::ejected, false);
    exclude(endpoint, exclusion::refusing, false);
    endpoint_state& state = endpoints_[endpoint];
    state.batch_size = options_.concurrency;
    state.has_report = false;
    state.other_load = 0;
    state.latency = 0;
    state.failure_rate = 0;
    state.samples = 0;
    state.pace = {};
    state.recovery_limit = 0;
    state.late_gap_rate = 0;
    full_until_ = {};
    cache_.forget(endpoint);
}

void endpoint_chooser::report(endpoint_index endpoint, const load_report& report, time_point now)
{
    endpoint_state& state = endpoints_[endpoint];
    const double total = static_cast<double>(report.running) + report.waiting;
    state.other_load = std::max(0.0, total - state.in_flight);
    state.reported_at = now - report.age;
    state.has_report = true;
    if (report.pace) {
        state.pace.record_report(*report.pace, state.reported_at);
        pace_.record_report(*report.pace);
    }
    // All instances see the same free capacity. Each uses only its share until the next report;
    // otherwise they would together exceed the capacity several times.
    const double free = std::floor(state.batch_size) - state.in_flight - state.other_load;
    const double share = std::min(1.0, (state.in_flight + 1.0) / (total + 1.0));
    state.quota = free > 0 ? std::max(1.0, free * share) : 0;
    state.over_capacity = free < 0;
    full_until_ = {};
    mean_other_load_ += (state.other_load - mean_other_load_) * pool_smoothing;
}

void endpoint_chooser::apply(endpoint_index endpoint, const cache_event& event)
{
    cache_.apply(endpoint, event);
}

std::uint32_t endpoint_chooser::concurrency_limit(const endpoint_state& state) const noexcept
{
    const std::uint32_t limit = std::min(state.limit, options_.concurrency);
    return state.recovery_limit == 0 ? limit : std::min(limit, state.recovery_limit);
}

// Returns whether the endpoint is cold and this instance may send calls to warm it up.
bool endpoint_chooser::is_warming_up(const endpoint_state& state) const noexcept
{
    return state.present && state.limit > 0 && state.limit < options_.concurrency;
}

// Estimates the load of other instances: as the last report ages, the estimate approaches the mean
// of the pool at the rate at which calls end.
double endpoint_chooser::estimated_other_load(const endpoint_state& state,
                                              time_point now) const noexcept
{
    const duration lag = now - state.reported_at;
    if (!state.has_report || lag > max_report_age) {
        return std::min(mean_other_load_, std::max(0.0, state.batch_size - 1));
    }
    const double turnover = pool_mean_latency_ > 0 ? pool_mean_latency_ : initial_latency;
    // Approximates exp(-lag / turnover) at a fifth of its cost.
    const double relative = std::max(0.0, nanoseconds(lag)) / turnover;
    const double fresh = 1 / (1 + relative + relative * relative / 2);
    return mean_other_load_ + (state.other_load - mean_other_load_) * fresh;
}

// Returns the number of calls that may start at an endpoint; none may start below 0.5.
double endpoint_chooser::free_capacity_of(const endpoint_state& state,
                                          time_point now) const noexcept
{
    const std::uint32_t own = concurrency_limit(state);
    if (state.in_flight >= own) {
        return 0;
    }
    if (is_warming_up(state)) {
        // Only this instance sends to a cold endpoint, so the pool's mean does not apply to it. Its
        // batch size is ignored too: it shrank while the endpoint was slow and would never grow
        // again. Calls of other instances started before the endpoint turned cold.
        return static_cast<double>(own - state.in_flight) - state.other_load;
    }
    const double in_batch =
        std::floor(state.batch_size) - state.in_flight - estimated_other_load(state, now);
    const bool known = state.has_report && now - state.reported_at <= max_report_age;
    return std::min(
        {static_cast<double>(own - state.in_flight), in_batch, known ? state.quota : in_batch});
}

bool endpoint_chooser::has_fresh_report(endpoint_index endpoint, time_point now) const
{
    const endpoint_state& state = endpoints_[endpoint];
    return state.has_report && now - state.reported_at <= max_report_age;
}

double endpoint_chooser::expected_load(endpoint_index endpoint, time_point now) const
{
    return estimated_other_load(endpoints_[endpoint], now) + endpoints_[endpoint].in_flight;
}

endpoint_index endpoint_chooser::rendezvous(std::uint64_t prefix) const noexcept
{
    const std::uint64_t share = combine_hash(prefix, 0) % fallback_share_count;
    fallback_entry& slot = fallbacks_[share];
    if (slot.generation == usable_generation_) {
        return slot.endpoint;
    }
    slot = {usable_generation_, no_endpoint_index};
    std::uint64_t best_score = 0;
    for (std::size_t index = 0; index < usable_.size(); ++index) {
        const std::uint64_t score = combine_hash(share, usable_hashes_[index]);
        if (slot.endpoint == no_endpoint_index || score > best_score) {
            slot.endpoint = usable_[index];
            best_score = score;
        }
    }
    return slot.endpoint;
}

endpoint_chooser::cache_lookup endpoint_chooser::look_up(const choice_request& request) const
{
    cache_lookup lookup;
    if (options_.cached_prefixes == 0 || request.prefixes.empty()) {
        return lookup;
    }
    bool known = false;
    const std::size_t count = std::min(request.prefixes.size(), max_prefixes);
    for (; lookup.count < count; ++lookup.count) {
        const prompt_prefix& prefix = request.prefixes[request.prefixes.size() - 1 - lookup.count];
        lookup.prefixes[lookup.count] = prefix;
        lookup.holding[lookup.count] = cache_.find(prefix.hash);
        known = known || lookup.holding[lookup.count].count > 0;
    }
    if (!known) {
        // Calls of one conversation or prompt template share their shortest prefix.
        lookup.fallback = rendezvous(request.prefixes.front().hash);
        lookup.prefixes[0] = request.prefixes.front();
    }
    return lookup;
}

prompt_prefix endpoint_chooser::cached_prefix(const cache_lookup& lookup,
                                              endpoint_index endpoint) const noexcept
{
    for (std::size_t index = 0; index < lookup.count; ++index) {
        const auto& holding = lookup.holding[index];
        if (contains({holding.endpoints.data(), holding.count}, endpoint)) {
            return lookup.prefixes[index];
        }
    }
    return {};
}

double endpoint_chooser::expected_cache_gain(const cache_lookup& lookup,
                                             endpoint_index endpoint) const noexcept
{
    if (lookup.count == 0) {
        return 0;
    }
    const double per_token = nanoseconds(options_.per_cached_token);
    if (endpoint == lookup.fallback) {
        return fallback_confidence * lookup.prefixes[0].tokens * per_token;
    }
    return cache_.confidence(endpoint) * cached_prefix(lookup, endpoint).tokens * per_token;
}

double endpoint_chooser::score(endpoint_index endpoint, const choice_request& request,
                               time_point now) const
{
    return expected_cost(endpoints_[endpoint], request, now) -
           expected_cache_gain(look_up(request), endpoint);
}

std::optional<choice> endpoint_chooser::choose(const choice_request& request, random_source& random,
                                               time_point now) const
{
    if (usable_.empty() || now < full_until_) {
        return std::nullopt;
    }
    const cache_lookup lookup = look_up(request);
    choice best;
    double best_score = 0;
    const auto consider = [&](endpoint_index endpoint) {
        const endpoint_state& state = endpoints_[endpoint];
        if (state.excluded != 0 || contains(request.avoid, endpoint) ||
            free_capacity_of(state, now) < 0.5) {
            return;
        }
        ++best.candidates;
        const double saved = expected_cache_gain(lookup, endpoint);
        const double cost = expected_cost(state, request, now);
        if (best.endpoint == no_endpoint_index || cost - saved < best_score) {
            best.endpoint = endpoint;
            best_score = cost - saved;
            best.expected_wait = duration(static_cast<duration::rep>(cost));
            best.cache_gain = duration(static_cast<duration::rep>(saved));
        }
    };
    const std::size_t count = usable_.size();
    // Of endpoints with equal costs, the first one is chosen. It must not be the same one on all
    // instances.
    const std::size_t first = random.below(count);
    for (std::size_t index = 0; index < std::min(count, options_.choices); ++index) {
        consider(
            usable_[count <= options_.choices ? (first + index) % count : random.below(count)]);
    }
    for (std::size_t index = 0; warming_up_ > 0 && index < count; ++index) {
        if (is_warming_up(endpoints_[usable_[index]])) {
            consider(usable_[index]);
        }
    }
    for (std::size_t index = 0; index < lookup.count; ++index) {
        const auto& holding = lookup.holding[index];
        for (std::size_t holder = 0; holder < holding.count; ++holder) {
            consider(holding.endpoints[holder]);
        }
    }
    if (lookup.fallback != no_endpoint_index) {
        consider(lookup.fallback);
    }
    // If no candidate has free capacity, try the endpoint where the last call ended, then all
    // others.
    if (best.endpoint == no_endpoint_index && last_freed_ < endpoints_.size()) {
        consider(last_freed_);
    }
    const std::size_t offset = best.endpoint == no_endpoint_index ? random.below(count) : count;
    for (std::size_t step = 0; step < count && best.endpoint == no_endpoint_index; ++step) {
        consider(usable_[(offset + step) % count]);
    }
    if (best.endpoint == no_endpoint_index) {
        if (request.avoid.empty()) {
            full_until_ = now + full_pool_recheck_interval;
        }
        return std::nullopt;
    }
    best.expected_prefix = cached_prefix(lookup, best.endpoint);
    return best;
}

void endpoint_chooser::started(endpoint_index endpoint, time_point now)
{
    endpoint_state& state = endpoints_[endpoint];
    state.last_progress = state.in_flight == 0 ? now : state.last_progress;
    ++state.in_flight;
    state.quota -= 1;
}

void endpoint_chooser::update_statistics(endpoint_state& state, const attempt_outcome& outcome,
                                         time_point now)
{
    const double failure = outcome.too_slow ? slow_failure_weight : 1.0;
    state.failure_rate +=
        ((outcome.success ? 0.0 : failure) - state.failure_rate) * endpoint_smoothing;
    ++state.samples;
    if (!outcome.success) {
        return;
    }
    state.last_progress = now;
    const double whole = nanoseconds(outcome.whole);
    pool_mean_duration_ +=
        pool_mean_duration_ > 0 ? (whole - pool_mean_duration_) * pool_smoothing : whole;
    const double latency = nanoseconds(outcome.latency);
    state.latency += state.latency > 0 ? (latency - state.latency) * endpoint_smoothing : latency;
    if (outcome.pace) {
        state.pace.record_call(latency, *outcome.pace);
        pace_.record_call(latency, *outcome.pace);
    } else if (!state.pace.known()) {
        state.pace.record_call(latency, 1);
    }
    if (state.limit < options_.concurrency) {
        return; // the latency of a cold endpoint does not count for the pool
    }
    pool_mean_latency_ +=
        pool_mean_latency_ > 0 ? (latency - pool_mean_latency_) * pool_smoothing : latency;
    latency_.record(outcome.latency, now);
}

void endpoint_chooser::finished(endpoint_index endpoint, const attempt_outcome& outcome,
                                time_point now)
{
    endpoint_state& state = endpoints_[endpoint];
    state.in_flight -= state.in_flight > 0 ? 1 : 0;
    state.quota += state.over_capacity ? 0 : 1; // capacity that this call frees
    last_freed_ = endpoint;
    full_until_ = {};
    if (!outcome.counts) {
        return;
    }
    update_statistics(state, outcome, now);
    if (outcome.success) {
        if (outcome.cached_tokens) {
            cache_.note_result(endpoint, outcome.expected_prefix, *outcome.cached_tokens);
        }
        cache_.note_use(endpoint, outcome.prompt);
        if (state.recovery_limit > 0) {
            state.recovery_limit =
                2 * state.recovery_limit >= options_.concurrency ? 0 : 2 * state.recovery_limit;
        }
        if (state.samples >= ejection_reset_samples) {
            state.consecutive_ejections = 0;
        }
    }
    if (state.excluded == 0 && is_outlier(endpoint)) {
        eject(endpoint, now);
    }
}

std::uint32_t endpoint_chooser::free_capacity(time_point now) const
{
    std::uint32_t sum = 0;
    if (now < full_until_) {
        return sum;
    }
    for (const endpoint_index endpoint : usable_) {
        const double free = free_capacity_of(endpoints_[endpoint], now);
        sum += free < 0.5 ? 0 : static_cast<std::uint32_t>(std::lround(free));
    }
    return sum;
}

std::uint32_t endpoint_chooser::total_capacity() const
{
    std::uint32_t sum = 0;
    for (const endpoint_index endpoint : usable_) {
        sum += std::min(concurrency_limit(endpoints_[endpoint]), batch_limit(endpoint));
    }
    return sum;
}

std::uint32_t endpoint_chooser::batch_limit(endpoint_index endpoint) const
{
    return static_cast<std::uint32_t>(endpoints_[endpoint].batch_size);
}

std::optional<endpoint_index> endpoint_chooser::find(const endpoint_id& id) const
{
    for (endpoint_index index = 0; index < endpoints_.size(); ++index) {
        if (endpoints_[index].present && endpoints_[index].id == id) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace quetzal::serving
