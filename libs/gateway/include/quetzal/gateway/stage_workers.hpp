#ifndef QUETZAL_GATEWAY_STAGE_WORKERS_HPP
#define QUETZAL_GATEWAY_STAGE_WORKERS_HPP

// What the stage scheduler knows of the endpoints of stages: how many calls they work on, how much
// of their memory results fill, and which ones are avoided because they fail or are slow.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <quetzal/base/time.hpp>
#include <quetzal/gateway/catalog.hpp>

namespace quetzal::gateway {

class stage_workers
{
public:
    explicit stage_workers(const catalog& view) : view_(view) {}

    // Number of usable endpoints of the service, without those that are avoided for failures.
    std::size_t active(const std::string& service, time_point now) const;

    // The usable endpoint with a free slot that is best to call next, none of `skip`; null if there
    // is none. An avoided endpoint is used only when no other endpoint works for the service.
    const endpoint* idle(const std::string& service, const stage_capacity& capacity, time_point now,
                         const std::vector<std::string>& skip);

    // Bytes of results that an endpoint holds or is making.
    std::uint64_t used_room(const std::string& id, duration result_lifetime, time_point now) const;

    // Pieces that the next call to an endpoint may carry: few if its last call was slow, to try
    // whether it has recovered.
    std::size_t call_limit(const std::string& id, const stage_capacity& capacity) const;

    // A call began and reserves memory for its results, in bytes; it ended.
    void call_started(const std::string& id, std::uint64_t reserved);
    void call_ended(const std::string& id, std::uint64_t reserved);

    // How a call went.
    void note_answer(const std::string& id);
    void note_in_time(const std::string& id);
    void note_slow(const std::string& id, time_point now);
    void note_failure(const std::string& id, time_point now);
    void note_full(const std::string& id, time_point now);
    // The endpoint had no room for results of that size, in bytes, although by the known results it
    // should have. It holds results that another conductor has ordered.
    void note_without_room(const std::string& id, std::uint64_t size, duration result_lifetime,
                           time_point now);

    // An endpoint holds a result until that time.
    void hold(const std::string& id, const std::string& handle, std::uint64_t size,
              time_point expires);
    void release(const std::vector<std::string>& handles);

    // Forgets the results that their makers have dropped.
    void expire(time_point now);

    // The availability zone in which most of these results lie; empty if none is known.
    std::string zone_of_most(const std::vector<std::string>& handles) const;

private:
    struct held_result
    {
        std::uint64_t size = 0;
        time_point expires;
    };

    struct worker
    {
        std::string zone;
        unsigned calls = 0;
        unsigned failures = 0;      // in a row
        unsigned slow_calls = 0;    // in a row; then only small calls try whether it has recovered
        time_point avoided_until{}; // slow or failing: used only when no other endpoint works
        time_point full_until{};    // has refused a call as full: not used at all
        std::uint64_t reserved = 0; // bytes of results being made
        // Bytes of results that this scheduler did not order: those of a conductor that was lost.
        // They expire at their maker; the estimate falls to zero within a result's lifetime.
        std::uint64_t foreign = 0;
        time_point foreign_noted{};
        std::map<std::string, held_result> held; // by handle
    };

    static std::uint64_t foreign_room(const worker& target, duration lifetime, time_point now);
    static std::uint64_t used_room(const worker& target, duration lifetime, time_point now);

    const catalog& view_;
    std::map<std::string, worker> workers_;     // by endpoint id
    std::map<std::string, std::string> makers_; // endpoint id by handle
};

} // namespace quetzal::gateway

#endif
