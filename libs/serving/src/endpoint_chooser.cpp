#include <quetzal/serving/endpoint_chooser.hpp>

#include <algorithm>
#include <cmath>

#include <quetzal/base/hash.hpp>

namespace quetzal::serving {

namespace {

constexpr double smoothing = 0.2;       // weight of the newest answer in an endpoint's means
constexpr double pool_smoothing = 0.02; // in the pool's means, which see many more answers
// Reports older than this tell nothing; the pool's mean is used alone, and less than a full batch,
// so that an endpoint whose reports are lost still gets work.
constexpr duration stale_report = std::chrono::seconds(2);
// Answers after which an endpoint's past ejections no longer lengthen the next one.
constexpr std::uint32_t forgive_samples = 50;
// The rendezvous fallback only guesses where a prefix is cached.
constexpr double fallback_confidence = 0.5;
// Shares of all prefixes that the fallback places one by one: about 7 per endpoint in a pool of
// 600.
constexpr std::size_t fallback_slots = 4096;
// A pool found full is not searched again for this long unless something changes. Only the age of
// load reports can free a place without an event.
constexpr duration full_interval = std::chrono::milliseconds(5);
// Latency assumed before the first answer; it only scales the scores.
constexpr double unknown_latency = 1e8; // ns

// A call that would meet its targets even if its stage took this many times its 95th percentile may
// warm up a cold endpoint.
constexpr double warm_up_slowdown = 2;
// Slowness is weaker evidence than an error: it takes four in a row instead of two for an ejection.
constexpr double too_slow_failure = 0.5;
// An endpoint with calls in flight that has not answered for this many times the mean time of a
// whole answer has stalled.
constexpr double stalled_after = 2;
constexpr double too_slow_cost = 1e9; // ns, above any expected wait worth having

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
    fallbacks_.resize(options_.cached_prefixes == 0 ? 0 : fallback_slots);
}

endpoint_index endpoint_chooser::add(const endpoint_id& id, std::uint32_t zone, bool distant)
{
    endpoint_index position = static_cast<endpoint_index>(endpoints_.size());
    if (free_positions_.empty()) {
        endpoints_.emplace_back();
        usable_.reserve(endpoints_.capacity());
        usable_hashes_.reserve(endpoints_.capacity());
    } else {
        position = free_positions_.back();
        free_positions_.pop_back();
    }
    endpoint_state& state = endpoints_[position];
    state = endpoint_state{};
    state.id = id;
    state.id_hash = stable_hash(id.name);
    state.zone = zone;
    state.distant = distant;
    state.present = true;
    state.batch = options_.concurrency;
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
    free_positions_.push_back(endpoint);
    --present_;
}

void endpoint_chooser::set_excluded(endpoint_index endpoint, std::uint8_t excluded)
{
    endpoint_state& state = endpoints_[endpoint];
    const bool was_usable = state.excluded == 0;
    state.excluded = excluded;
    if (was_usable == (excluded == 0)) {
        return;
    }
    ++generation_;
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
    set_excluded(endpoint, after);
}

void endpoint_chooser::limit(endpoint_index endpoint, std::uint32_t calls)
{
    endpoint_state& state = endpoints_[endpoint];
    ramping_ -= ramping(state) ? 1 : 0;
    state.limit = calls;
    ramping_ += ramping(state) ? 1 : 0;
    full_until_ = {};
}

void endpoint_chooser::resize(std::uint32_t concurrency)
{
    concurrency = std::max(concurrency, 1u);
    for (endpoint_state& state : endpoints_) {
        const bool whole = state.batch >= options_.concurrency;
        state.batch = whole ? concurrency : std::min<double>(state.batch, concurrency);
    }
    options_.concurrency = concurrency;
    full_until_ = {};
}

void endpoint_chooser::restarted(endpoint_index endpoint)
{
    exclude(endpoint, exclusion::ejected, false);
    exclude(endpoint, exclusion::refusing, false);
    endpoint_state& state = endpoints_[endpoint];
    state.batch = options_.concurrency;
    state.has_report = false;
    state.others = 0;
    state.latency = 0;
    state.failures = 0;
    state.samples = 0;
    state.returning = 0;
    state.late_gaps = 0;
    full_until_ = {};
    cache_.forget(endpoint);
}

void endpoint_chooser::report(endpoint_index endpoint, const load_report& report, time_point now)
{
    endpoint_state& state = endpoints_[endpoint];
    const double total = static_cast<double>(report.running) + report.waiting;
    state.others = std::max(0.0, total - state.in_flight);
    state.reported = now - report.age;
    state.has_report = true;
    // All instances see the same free places. Each takes its share of them until the next report;
    // otherwise they would fill them several times over.
    const double free = std::floor(state.batch) - state.in_flight - state.others;
    const double share = std::min(1.0, (state.in_flight + 1.0) / (total + 1.0));
    state.quota = free > 0 ? std::max(1.0, free * share) : 0;
    state.overfull = free < 0;
    full_until_ = {};
    others_mean_ += (state.others - others_mean_) * pool_smoothing;
}

void endpoint_chooser::apply(endpoint_index endpoint, const cache_event& event)
{
    cache_.apply(endpoint, event);
}

std::uint32_t endpoint_chooser::own_limit(const endpoint_state& state) const noexcept
{
    const std::uint32_t limit = std::min(state.limit, options_.concurrency);
    return state.returning == 0 ? limit : std::min(limit, state.returning);
}

// Whether the endpoint is cold and this instance has the right to warm it up.
bool endpoint_chooser::ramping(const endpoint_state& state) const noexcept
{
    return state.present && state.limit > 0 && state.limit < options_.concurrency;
}

// Old news of one endpoint tends to the mean over the pool, at the pace at which calls end.
double endpoint_chooser::others_now(const endpoint_state& state, time_point now) const noexcept
{
    const duration lag = now - state.reported;
    if (!state.has_report || lag > stale_report) {
        return std::min(others_mean_, std::max(0.0, state.batch - 1));
    }
    const double turnover = pool_latency_ > 0 ? pool_latency_ : unknown_latency;
    // Close to exp(-lag / turnover), at a fifth of its cost.
    const double relative = std::max(0.0, nanoseconds(lag)) / turnover;
    const double fresh = 1 / (1 + relative + relative * relative / 2);
    return others_mean_ + (state.others - others_mean_) * fresh;
}

// Returns the calls that may start at an endpoint; below 0.5 there is no free place.
double endpoint_chooser::room(const endpoint_state& state, time_point now) const noexcept
{
    const std::uint32_t own = own_limit(state);
    if (state.in_flight >= own) {
        return 0;
    }
    if (ramping(state)) {
        // Only this instance sends to a cold endpoint, so the pool's mean says nothing about it and
        // its batch size, which shrank when it was slow, would never grow again. Calls of others are
        // those from before it turned cold.
        return static_cast<double>(own - state.in_flight) - state.others;
    }
    const double in_batch = std::floor(state.batch) - state.in_flight - others_now(state, now);
    const bool known = state.has_report && now - state.reported <= stale_report;
    return std::min({static_cast<double>(own - state.in_flight), in_batch,
                     known ? state.quota : in_batch});
}

bool endpoint_chooser::has_fresh_report(endpoint_index endpoint, time_point now) const
{
    const endpoint_state& state = endpoints_[endpoint];
    return state.has_report && now - state.reported <= stale_report;
}

double endpoint_chooser::expected_load(endpoint_index endpoint, time_point now) const
{
    return others_now(endpoints_[endpoint], now) + endpoints_[endpoint].in_flight;
}

endpoint_index endpoint_chooser::rendezvous(std::uint64_t prefix) const noexcept
{
    const std::uint64_t share = combine_hash(prefix, 0) % fallback_slots;
    fallback_slot& slot = fallbacks_[share];
    if (slot.generation == generation_) {
        return slot.endpoint;
    }
    slot = {generation_, no_endpoint_index};
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

endpoint_chooser::cache_view endpoint_chooser::look_up(const choice_request& request) const
{
    cache_view view;
    if (options_.cached_prefixes == 0 || request.prefixes.empty()) {
        return view;
    }
    bool known = false;
    const std::size_t count = std::min(request.prefixes.size(), max_prefixes);
    for (; view.count < count; ++view.count) {
        const prompt_prefix& prefix = request.prefixes[request.prefixes.size() - 1 - view.count];
        view.prefixes[view.count] = prefix;
        view.holding[view.count] = cache_.find(prefix.hash);
        known = known || view.holding[view.count].count > 0;
    }
    if (!known) {
        // Calls of one conversation or prompt template share their shortest prefix.
        view.fallback = rendezvous(request.prefixes.front().hash);
        view.prefixes[0] = request.prefixes.front();
    }
    return view;
}

prompt_prefix endpoint_chooser::cached(const cache_view& view,
                                       endpoint_index endpoint) const noexcept
{
    for (std::size_t index = 0; index < view.count; ++index) {
        const auto& holding = view.holding[index];
        if (contains({holding.endpoints.data(), holding.count}, endpoint)) {
            return view.prefixes[index];
        }
    }
    return {};
}

double endpoint_chooser::gain(const cache_view& view, endpoint_index endpoint) const noexcept
{
    if (view.count == 0) {
        return 0;
    }
    const double per_token = nanoseconds(options_.per_cached_token);
    if (endpoint == view.fallback) {
        return fallback_confidence * view.prefixes[0].tokens * per_token;
    }
    return cache_.confidence(endpoint) * cached(view, endpoint).tokens * per_token;
}

double endpoint_chooser::wait(const endpoint_state& state, const choice_request& request,
                              time_point now) const noexcept
{
    double service = state.samples > 0 ? state.latency : pool_latency_;
    if (service <= 0) {
        service = unknown_latency;
    }
    const double load = others_now(state, now) + state.in_flight + 1;
    double cost = load * service / options_.concurrency;
    cost += nanoseconds(state.distant ? options_.other_zone : options_.same_zone);
    if (request.avoid_zone && *request.avoid_zone == state.zone) {
        cost += service; // a failed attempt's zone is the last resort
    }
    const bool stalled = state.in_flight > 0 && pool_whole_ > 0 &&
                         nanoseconds(now - state.quiet_since) > stalled_after * pool_whole_;
    if (stalled) {
        return cost + too_slow_cost;
    }
    if (ramping(state)) {
        // Work is what warms it up, and nobody else sends it any; so it comes first for calls that
        // bear the delay, and last for others.
        return request.slowdown >= warm_up_slowdown ? 0 : cost + too_slow_cost;
    }
    return cost;
}

double endpoint_chooser::score(endpoint_index endpoint, const choice_request& request,
                               time_point now) const
{
    return wait(endpoints_[endpoint], request, now) - gain(look_up(request), endpoint);
}

std::optional<choice> endpoint_chooser::choose(const choice_request& request, random_source& random,
                                               time_point now) const
{
    if (usable_.empty() || now < full_until_) {
        return std::nullopt;
    }
    const cache_view view = look_up(request);
    choice best;
    double best_score = 0;
    const auto consider = [&](endpoint_index endpoint) {
        const endpoint_state& state = endpoints_[endpoint];
        if (state.excluded != 0 || contains(request.avoid, endpoint) || room(state, now) < 0.5) {
            return;
        }
        ++best.candidates;
        const double saved = gain(view, endpoint);
        const double cost = wait(state, request, now);
        if (best.endpoint == no_endpoint_index || cost - saved < best_score) {
            best.endpoint = endpoint;
            best_score = cost - saved;
            best.expected_wait = duration(static_cast<duration::rep>(cost));
            best.cache_gain = duration(static_cast<duration::rep>(saved));
        }
    };
    const std::size_t count = usable_.size();
    for (std::size_t index = 0; index < std::min(count, options_.choices); ++index) {
        consider(usable_[count <= options_.choices ? index : random.below(count)]);
    }
    for (std::size_t index = 0; ramping_ > 0 && index < count; ++index) {
        if (ramping(endpoints_[usable_[index]])) {
            consider(usable_[index]);
        }
    }
    for (std::size_t index = 0; index < view.count; ++index) {
        const auto& holding = view.holding[index];
        for (std::size_t holder = 0; holder < holding.count; ++holder) {
            consider(holding.endpoints[holder]);
        }
    }
    if (view.fallback != no_endpoint_index) {
        consider(view.fallback);
    }
    // None of the candidates has a free place: take the one freed last, or the first that has one.
    if (best.endpoint == no_endpoint_index && freed_ < endpoints_.size()) {
        consider(freed_);
    }
    const std::size_t offset = best.endpoint == no_endpoint_index ? random.below(count) : count;
    for (std::size_t step = 0; step < count && best.endpoint == no_endpoint_index; ++step) {
        consider(usable_[(offset + step) % count]);
    }
    if (best.endpoint == no_endpoint_index) {
        if (request.avoid.empty()) {
            full_until_ = now + full_interval;
        }
        return std::nullopt;
    }
    best.expected_prefix = cached(view, best.endpoint);
    return best;
}

void endpoint_chooser::started(endpoint_index endpoint, time_point now)
{
    endpoint_state& state = endpoints_[endpoint];
    state.quiet_since = state.in_flight == 0 ? now : state.quiet_since;
    ++state.in_flight;
    state.quota -= 1;
}

void endpoint_chooser::learn(endpoint_state& state, const attempt_outcome& outcome, time_point now)
{
    const double failure = outcome.too_slow ? too_slow_failure : 1.0;
    state.failures += ((outcome.success ? 0.0 : failure) - state.failures) * smoothing;
    ++state.samples;
    if (!outcome.success) {
        return;
    }
    state.quiet_since = now;
    const double whole = nanoseconds(outcome.whole);
    pool_whole_ += pool_whole_ > 0 ? (whole - pool_whole_) * pool_smoothing : whole;
    const double latency = nanoseconds(outcome.latency);
    state.latency += state.latency > 0 ? (latency - state.latency) * smoothing : latency;
    if (state.limit < options_.concurrency) {
        return; // a cold endpoint's latency is not the pool's normal one
    }
    pool_latency_ += pool_latency_ > 0 ? (latency - pool_latency_) * pool_smoothing : latency;
    latency_.record(outcome.latency, now);
}

void endpoint_chooser::finished(endpoint_index endpoint, const attempt_outcome& outcome,
                                time_point now)
{
    endpoint_state& state = endpoints_[endpoint];
    state.in_flight -= state.in_flight > 0 ? 1 : 0;
    state.quota += state.overfull ? 0 : 1; // the place that this call leaves
    freed_ = endpoint;
    full_until_ = {};
    if (!outcome.counts) {
        return;
    }
    learn(state, outcome, now);
    if (outcome.success) {
        if (outcome.cached_tokens) {
            cache_.note_result(endpoint, outcome.expected_prefix, *outcome.cached_tokens);
        }
        cache_.note_use(endpoint, outcome.prompt);
        if (state.returning > 0) {
            state.returning = 2 * state.returning >= options_.concurrency ? 0 : 2 * state.returning;
        }
        if (state.samples >= forgive_samples) {
            state.ejections = 0;
        }
    }
    if (state.excluded == 0 && outlier(endpoint)) {
        eject(endpoint, now);
    }
}

std::uint32_t endpoint_chooser::free_places(time_point now) const
{
    std::uint32_t places = 0;
    if (now < full_until_) {
        return places;
    }
    for (const endpoint_index endpoint : usable_) {
        const double free = room(endpoints_[endpoint], now);
        places += free < 0.5 ? 0 : static_cast<std::uint32_t>(std::lround(free));
    }
    return places;
}

std::uint32_t endpoint_chooser::places() const
{
    std::uint32_t places = 0;
    for (const endpoint_index endpoint : usable_) {
        places += std::min(own_limit(endpoints_[endpoint]), batch_limit(endpoint));
    }
    return places;
}

std::uint32_t endpoint_chooser::batch_limit(endpoint_index endpoint) const
{
    return static_cast<std::uint32_t>(endpoints_[endpoint].batch);
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
