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
    if (!make_room(size, limit_for(size), 0, now)) {
        refuse(memory_refusal::full);
        return 0;
    }
    entry& added = entries_[++last_];
    added.address = address;
    added.size = size;
    added.began = now;
    used_ += size;
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
    }
    entries_.erase(found);
}

bool memory_ledger::set_phase(holder id, holder_phase phase, time_point now)
{
    entry& changed = entries_.at(id);
    if (changed.gone) {
        return false;
    }
    leave_receiving(changed);
    changed.phase = holder_phase::idle;
    if (phase == holder_phase::receiving) {
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
    changed.phase = phase;
    changed.began = changed.progress = now;
    changed.received = 0;
    return true;
}

void memory_ledger::record_received(holder id, std::size_t size, time_point now)
{
    entry& changed = entries_.at(id);
    changed.received += size;
    changed.progress = now;
}

bool memory_ledger::is_slow(const entry& candidate, time_point now) const
{
    const duration time = now - candidate.began;
    if (time < limits_.stall_time) {
        return false;
    }
    return now - candidate.progress >= limits_.stall_time ||
           static_cast<double>(candidate.received) <
               limits_.min_rate * std::chrono::duration<double>(time).count();
}

void memory_ledger::evict(holder id, memory_refusal why)
{
    entry& leaving = entries_.at(id);
    leave_receiving(leaving);
    used_ -= leaving.size;
    leaving.gone = true;
    ++refused_.at(static_cast<std::size_t>(why));
    if (give_way_) {
        give_way_(id);
    }
}

// Lets connections give way until `size` more bytes are within the limit. Returns false if that
// cannot be reached before it is the requester's turn. Then there is no effect, unless `forced`.
bool memory_ledger::make_room(std::size_t size, std::size_t limit, holder requester, time_point now,
                              bool forced)
{
    if (used_ + size <= limit) {
        return true;
    }
    struct candidate
    {
        memory_refusal why;
        time_point rank; // the earlier gives way first
        std::size_t size;
        holder id;
    };
    std::vector<candidate> order;
    for (const auto& [id, holds] : entries_) {
        if (holds.gone || holds.phase == holder_phase::kept) {
            continue;
        }
        if (holds.phase == holder_phase::idle) {
            if (id != requester) {
                order.push_back({memory_refusal::idle, holds.began, holds.size, id});
            }
        } else if (is_slow(holds, now)) {
            order.push_back({memory_refusal::slow, holds.progress, holds.size, id});
        } else {
            order.push_back(
                {memory_refusal::newest, time_point{} + (now - holds.began), holds.size, id});
        }
    }
    std::sort(order.begin(), order.end(), [](const candidate& left, const candidate& right) {
        if (left.why != right.why) {
            return left.why < right.why;
        }
        if (left.rank != right.rank) {
            return left.rank < right.rank;
        }
        return left.size != right.size ? left.size > right.size : left.id > right.id;
    });
    std::size_t freed = 0;
    auto last = order.begin();
    while (last != order.end() && last->id != requester && used_ - freed + size > limit) {
        freed += last->size;
        ++last;
    }
    const bool reached = used_ - freed + size <= limit;
    if (!reached && !forced) {
        return false;
    }
    for (auto leaving = order.begin(); leaving != last; ++leaving) {
        evict(leaving->id, leaving->why);
    }
    return reached;
}

bool memory_ledger::resize(holder id, std::size_t size, time_point now)
{
    entry& changed = entries_.at(id);
    if (changed.gone) {
        return false;
    }
    const std::size_t more = size > changed.size ? size - changed.size : 0;
    if (changed.phase == holder_phase::kept) {
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

bool memory_ledger::take(std::size_t size, time_point now)
{
    if (!make_room(size, limits_.total, 0, now)) {
        return refuse(memory_refusal::full);
    }
    used_ += size;
    return true;
}

} // namespace quetzal::gateway
