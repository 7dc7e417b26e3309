#include <quetzal/gateway/memory_ledger.hpp>

#include <algorithm>

namespace quetzal::gateway {

namespace {

constexpr std::size_t small_size = 64u << 10; // bytes; may use the reserve
constexpr std::size_t reserve_divisor = 8;    // the reserve is the total / this

} // namespace

const char* to_string(memory_refusal value) noexcept
{
    switch (value) {
    case memory_refusal::idle:
        return "idle";
    case memory_refusal::slow:
        return "slow";
    case memory_refusal::unread:
        return "unread";
    case memory_refusal::newest:
        return "newest";
    case memory_refusal::address:
        return "address";
    case memory_refusal::full:
        return "full";
    }
    return "unknown";
}

// Ordinary small requests find room in the reserve while large bodies use up the rest.
std::size_t memory_ledger::limit_for(std::size_t size) const
{
    return size <= small_size ? limits_.total : limits_.total - limits_.total / reserve_divisor;
}

bool memory_ledger::refuse(memory_refusal why)
{
    ++refused_.at(static_cast<std::size_t>(why));
    return false;
}

memory_ledger::holder memory_ledger::open(const std::string& address, std::size_t size,
                                          time_point now)
{
    if (!make_room_for_connection(now) || !make_room(size, limit_for(size), 0, now)) {
        refuse(memory_refusal::full);
        return 0;
    }
    entry& added = entries_[++last_];
    added.address = address;
    added.size = added.idle_size = size;
    added.began = now;
    used_ += size;
    ++connections_;
    return last_;
}

void memory_ledger::leave_receiving(const entry& former)
{
    if (former.phase != holder_phase::receiving) {
        return;
    }
    --receiving_count_;
    const auto use = receiving_.find(former.address);
    use->second.size -= former.size;
    if (--use->second.requests == 0) {
        receiving_.erase(use);
    }
}

void memory_ledger::close(holder id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    if (!found->second.gone) {
        leave_receiving(found->second);
        used_ -= found->second.size;
        --connections_;
    }
    entries_.erase(found);
}

bool memory_ledger::set_phase(holder id, holder_phase phase, time_point now)
{
    entry& changed = entries_.at(id);
    if (changed.leaving) {
        // A request that was whole before its connection gave way is served.
        changed.phase = phase == holder_phase::kept ? holder_phase::kept : holder_phase::idle;
        return false;
    }
    leave_receiving(changed);
    changed.phase = holder_phase::idle;
    if (phase == holder_phase::receiving) {
        changed.was_used = true;
        address_use& use = receiving_[changed.address];
        const double share = limits_.address_share * static_cast<double>(limits_.requests);
        const bool in_all = receiving_count_ < limits_.requests;
        if (!in_all || static_cast<double>(use.requests + 1) > std::max(share, 1.0)) {
            if (use.requests == 0) {
                receiving_.erase(changed.address);
            }
            return refuse(in_all ? memory_refusal::address : memory_refusal::full);
        }
        ++receiving_count_;
        ++use.requests;
        use.size += changed.size;
    }
    enter_phase(changed, phase, now);
    return true;
}

void memory_ledger::enter_phase(entry& changed, holder_phase phase, time_point now)
{
    changed.phase = phase;
    changed.began = changed.progress = now;
    changed.progressed = 0;
}

void memory_ledger::begin_write(holder id, time_point now)
{
    entry& written = entries_.at(id);
    if (written.phase == holder_phase::kept && !written.leaving) {
        enter_phase(written, holder_phase::writing, now);
    }
}

void memory_ledger::end_write(holder id)
{
    entry& written = entries_.at(id);
    if (written.phase == holder_phase::writing) {
        written.phase = holder_phase::kept;
    }
}

void memory_ledger::leave(holder id, time_point now)
{
    entry& leaving = entries_.at(id);
    if (!leaving.leaving) {
        leave_receiving(leaving);
    }
    leaving.phase = holder_phase::idle;
    leaving.began = now;
    leaving.leaving = true;
    const std::size_t request = leaving.size - std::min(leaving.size, leaving.idle_size);
    used_ -= request;
    leaving.size -= request;
}

void memory_ledger::record_progress(holder id, std::size_t size, time_point now)
{
    entry& changed = entries_.at(id);
    changed.progressed += size;
    changed.progress = now;
}

bool memory_ledger::is_slow(const entry& candidate, time_point now) const
{
    const duration time = now - candidate.began;
    if (time < limits_.stall_time) {
        return false;
    }
    return now - candidate.progress >= limits_.stall_time ||
           static_cast<double>(candidate.progressed) <
               limits_.min_rate * std::chrono::duration<double>(time).count();
}

struct memory_ledger::turn
{
    enum class group
    {
        unused, // no request has begun
        leaving,
        idle,
        slow,
        unread,
        newest,
        written // only for responses that are to be written
    };

    // Whether the connection gives way before another one.
    bool operator<(const turn& other) const
    {
        if (of != other.of) {
            return of < other.of;
        }
        if (rank != other.rank) {
            return rank < other.rank;
        }
        return frees != other.frees ? frees > other.frees : id > other.id;
    }

    memory_refusal refusal() const
    {
        switch (of) {
        case group::unused:
        case group::leaving:
        case group::idle:
            return memory_refusal::idle;
        case group::slow:
            return memory_refusal::slow;
        case group::unread:
        case group::written:
            return memory_refusal::unread;
        case group::newest:
            break;
        }
        return memory_refusal::newest;
    }

    group of;
    time_point rank;   // in the group; the earlier gives way first
    std::size_t frees; // bytes
    holder id;
};

// Returns nullopt if the connection does not give way.
std::optional<memory_ledger::turn> memory_ledger::turn_of(holder id, const entry& holds,
                                                          time_point now) const
{
    using group = turn::group;
    if (holds.gone || holds.phase == holder_phase::kept) {
        return std::nullopt;
    }
    if (holds.leaving) {
        return turn{group::leaving, holds.began, holds.size, id};
    }
    if (holds.phase == holder_phase::idle) {
        return turn{holds.was_used ? group::idle : group::unused, holds.began, holds.size, id};
    }
    const std::size_t request = holds.size - std::min(holds.size, holds.idle_size);
    if (holds.phase == holder_phase::writing) {
        return is_slow(holds, now) ? turn{group::unread, holds.progress, request, id}
                                   : turn{group::written, holds.began, request, id};
    }
    if (is_slow(holds, now)) {
        return turn{group::slow, holds.progress, request, id};
    }
    return turn{group::newest, time_point{} + (now - holds.began), request, id};
}

void memory_ledger::evict(const turn& next)
{
    entry& evicted = entries_.at(next.id);
    leave_receiving(evicted);
    evicted.phase = holder_phase::idle;
    if (!evicted.leaving) {
        refuse(next.refusal());
    }
    evicted.leaving = true;
    used_ -= next.frees;
    evicted.size -= next.frees;
    if (evicted.size == 0) {
        evicted.gone = true;
        --connections_;
    }
    if (give_way_) {
        give_way_(next.id);
    }
}

// Lets connections that are not in use give way until there is a place for another one. Returns
// false if that cannot be reached.
bool memory_ledger::make_room_for_connection(time_point now)
{
    while (connections_ >= limits_.connections) {
        std::optional<turn> first;
        for (const auto& [id, holds] : entries_) {
            const auto candidate = turn_of(id, holds, now);
            if (candidate && (!first || *candidate < *first)) {
                first = candidate;
            }
        }
        if (!first || first->of >= turn::group::newest) {
            return false;
        }
        evict(*first); // a slow one keeps its place until it gives way again
    }
    return true;
}

// Lets connections give way until `size` more bytes are within the limit. Returns false if that
// cannot be reached before it is the requester's turn. Then there is no effect, unless `forced`.
bool memory_ledger::make_room(std::size_t size, std::size_t limit, holder requester, time_point now,
                              bool forced)
{
    if (used_ + size <= limit) {
        return true;
    }
    std::vector<turn> order;
    for (const auto& [id, holds] : entries_) {
        const auto candidate = turn_of(id, holds, now);
        const bool is_idle_requester = id == requester && holds.phase == holder_phase::idle;
        const bool has_turn = candidate && candidate->of != turn::group::leaving &&
                              (forced || candidate->of != turn::group::written);
        if (has_turn && !is_idle_requester) {
            order.push_back(*candidate);
        }
    }
    std::sort(order.begin(), order.end());
    std::size_t freed = 0;
    auto last = order.begin();
    while (last != order.end() && last->id != requester && used_ - freed + size > limit) {
        freed += last->frees;
        ++last;
    }
    const bool reached = used_ - freed + size <= limit;
    if (!reached && !forced) {
        return false;
    }
    for (auto leaving = order.begin(); leaving != last; ++leaving) {
        evict(*leaving);
    }
    return reached;
}

bool memory_ledger::resize(holder id, std::size_t size, time_point now)
{
    entry& changed = entries_.at(id);
    if (changed.leaving) {
        return false;
    }
    const std::size_t more = size > changed.size ? size - changed.size : 0;
    if (changed.phase == holder_phase::kept || changed.phase == holder_phase::writing) {
        make_room(more, limits_.total, id, now, true); // granted in any case
    } else if (more > 0) {
        if (changed.phase == holder_phase::receiving) {
            const address_use& use = receiving_[changed.address];
            const double used = static_cast<double>(use.size + more);
            // A single request may be as large as the callers' limits allow.
            if (use.requests > 1 &&
                used > limits_.address_share * static_cast<double>(limits_.total)) {
                return refuse(memory_refusal::address);
            }
        }
        if (!make_room(more, limit_for(size), id, now)) {
            return refuse(memory_refusal::newest);
        }
    }
    if (changed.phase == holder_phase::receiving) {
        receiving_[changed.address].size += size - changed.size;
    }
    used_ += size - changed.size;
    changed.size = size;
    return true;
}

void memory_ledger::take_always(std::size_t size, time_point now)
{
    make_room(size, limits_.total, 0, now, true);
    used_ += size;
}

bool memory_ledger::take(std::size_t size, time_point now)
{
    if (!make_room(size, limits_.total, 0, now)) {
        return refuse(memory_refusal::full);
    }
    used_ += size;
    return true;
}

} // namespace quetzal::gateway
