#include "stage_model.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quetzal::bench {

namespace {

constexpr double overload_factor = 2;                         // slow-down by a cold overload
constexpr double warm_up_rounds = 1.5;                        // full batches until warm
constexpr duration failure_after = std::chrono::milliseconds(3); // a failing call fails fast

// An endpoint that turns cold without warning shows it in its next load report, which is taken up
// to 200 ms later and arrives up to 190 ms after that; 10 ms are for calls on their way.
constexpr duration detection_time = std::chrono::milliseconds(400);

double seconds(duration value) noexcept { return std::chrono::duration<double>(value).count(); }

duration from_seconds(double value) noexcept
{
    return std::chrono::ceil<duration>(std::chrono::duration<double>(value));
}

} // namespace

stage_model::stage_model(const pool_profile& profile, event_queue& events, std::uint64_t seed,
                         listener on_call, cache_listener on_cache)
    : profile_(profile), events_(events), random_(seed), on_call_(std::move(on_call)),
      on_cache_(std::move(on_cache))
{
}

double stage_model::borne() const
{
    return std::max<double>(profile_.cold_concurrency, std::floor(profile_.concurrency * warmth_));
}

double stage_model::rate() const
{
    const auto batch = static_cast<double>(running_.size());
    double factor = (1 + profile_.batch_slope * std::max(0.0, batch - 1)) * slow_;
    factor *= 1 + (profile_.cold_factor - 1) * (1 - warmth_);
    if (!warm() && batch > borne()) {
        factor *= overload_factor;
    }
    return 1 / factor;
}

void stage_model::advance()
{
    progress_ += seconds(events_.now() - advanced_) * rate();
    advanced_ = events_.now();
}

void stage_model::schedule()
{
    ++generation_;
    if (running_.empty()) {
        return;
    }
    const auto next =
        std::min_element(running_.begin(), running_.end(), [](const job& one, const job& other) {
            return one.milestone < other.milestone;
        })->milestone;
    events_.after(from_seconds(std::max(0.0, next - progress_) / rate()),
                  [this, generation = generation_] { reach_milestones(generation); });
}

void stage_model::reach_milestones(std::uint64_t generation)
{
    if (generation != generation_) {
        return;
    }
    advance();
    constexpr double rounding = 1e-9; // seconds; events are rounded up to a nanosecond
    std::vector<std::pair<call, call_event>> reports;
    for (std::size_t index = 0; index < running_.size();) {
        job& entry = running_[index];
        if (entry.milestone > progress_ + rounding) {
            ++index;
            continue;
        }
        const bool was_first = entry.first;
        if (pass_milestone(entry)) {
            reports.emplace_back(entry.work,
                                 was_first ? call_event::first_chunk : call_event::chunk);
            ++index;
            continue;
        }
        reports.emplace_back(entry.work,
                             entry.fails ? call_event::failed : call_event::finished);
        leave(entry);
        if (!entry.fails) {
            warm_up();
        }
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
    }
    fill();
    schedule();
    for (const auto& [work, event] : reports) {
        on_call_(work, event);
    }
}

// Returns whether the call goes on after this milestone.
bool stage_model::pass_milestone(job& entry)
{
    if (entry.fails || entry.chunks_left == 0) {
        return false;
    }
    entry.first = false;
    --entry.chunks_left;
    entry.milestone += seconds(profile_.per_chunk);
    return true;
}

void stage_model::receive(const call& work)
{
    if (!up_ || (work.process != 0 && work.process != process_)) {
        on_call_(work, call_event::refused);
        return;
    }
    advance();
    const auto position = std::upper_bound(
        waiting_.begin(), waiting_.end(), work,
        [](const call& one, const call& other) { return one.priority < other.priority; });
    waiting_.insert(position, work);
    fill();
    schedule();
}

void stage_model::fill()
{
    while (running_.size() < profile_.concurrency && !waiting_.empty()) {
        const call next = waiting_.front();
        waiting_.erase(waiting_.begin());
        begin(next);
    }
}

void stage_model::begin(const call& work)
{
    job entry{work, 0, work.chunks, true, random_.unit() < failing_, events_.now()};
    double demand = seconds(profile_.base) * work.size;
    if (profile_.cache_prefixes > 0 && touch_cache(work.prefix)) {
        entry.work.cached = true;
        demand *= profile_.cached_share;
    }
    entry.milestone = progress_ + (entry.fails ? seconds(failure_after) : demand);
    running_.push_back(entry);
    if (!warm() && static_cast<double>(running_.size()) > borne()) {
        const bool known = events_.now() - turned_cold_ > detection_time;
        ++(known ? cold_overloads_ : undetected_overloads_);
        warmth_ /= 2;
    }
    if (on_execution) {
        on_execution(work);
    }
}

void stage_model::leave(const job& entry)
{
    if (on_slot_time) {
        on_slot_time(entry.work, events_.now() - entry.begun);
    }
}

void stage_model::warm_up()
{
    warmth_ = std::min(1.0, warmth_ + 1 / (warm_up_rounds * profile_.concurrency));
    // A sum of fractions can end a rounding error below 1.
    if (warmth_ > 1 - 1e-6) {
        warmth_ = 1;
    }
}

void stage_model::cancel(std::uint64_t id)
{
    advance();
    std::erase_if(waiting_, [&](const call& work) { return work.id == id; });
    std::erase_if(running_, [&](const job& entry) {
        if (entry.work.id == id) {
            leave(entry);
        }
        return entry.work.id == id;
    });
    fill();
    schedule();
}

void stage_model::stop()
{
    advance();
    up_ = false;
    const auto running = std::exchange(running_, {});
    const auto waiting = std::exchange(waiting_, {});
    schedule();
    for (const auto& entry : running) {
        leave(entry);
        on_call_(entry.work, call_event::failed);
    }
    for (const auto& work : waiting) {
        on_call_(work, call_event::failed);
    }
}

void stage_model::start()
{
    advance();
    up_ = true;
    ++process_;
    warmth_ = 0;
    clear_cache();
}

void stage_model::turn_cold()
{
    advance();
    warmth_ = 0;
    turned_cold_ = events_.now();
    clear_cache();
    schedule();
}

void stage_model::set_slow_down(double factor)
{
    advance();
    slow_ = factor;
    schedule();
}

load_report stage_model::report() const
{
    return {incarnation{process_}, warm(), static_cast<unsigned>(running_.size()),
            static_cast<unsigned>(waiting_.size()), events_.now()};
}

bool stage_model::touch_cache(std::uint64_t prefix)
{
    if (const auto found = std::find(cache_.begin(), cache_.end(), prefix); found != cache_.end()) {
        std::rotate(found, found + 1, cache_.end());
        ++cache_hits_;
        return true;
    }
    ++cache_misses_;
    if (cache_.size() == profile_.cache_prefixes) {
        on_cache_({++cache_sequence_, cache_event::kind::evicted, cache_.front()});
        cache_.erase(cache_.begin());
    }
    cache_.push_back(prefix);
    on_cache_({++cache_sequence_, cache_event::kind::stored, prefix});
    return false;
}

void stage_model::clear_cache()
{
    cache_.clear();
    if (profile_.cache_prefixes > 0) {
        on_cache_({++cache_sequence_, cache_event::kind::cleared, 0});
    }
}

} // namespace quetzal::bench
