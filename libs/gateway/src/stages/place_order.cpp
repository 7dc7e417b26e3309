#include <quetzal/gateway/stages/place_order.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <queue>
#include <tuple>

namespace quetzal::gateway {

namespace {

// Customers count as equally served while their shares differ by less than this.
constexpr double share_step = 0.5;
// Time constant of the work that counts towards a customer's share.
constexpr duration usage_time = std::chrono::seconds(2);

auto weakness(const place_claim& claim)
{
    const auto share = static_cast<std::int64_t>(claim.customer_share / share_step);
    return std::tuple(claim.customer_priority, share, claim.route_priority, claim.latest_start,
                      claim.group);
}

// Returns the number of places that are free at or before a time.
double places_until(time_point until, const place_supply& supply, time_point now)
{
    const auto at_once = static_cast<double>(supply.at_once);
    if (supply.interval <= duration::zero()) {
        return at_once;
    }
    const duration left = std::max(until - now - supply.reserve, duration::zero());
    return at_once *
           (1 + static_cast<double>(left.count()) / static_cast<double>(supply.interval.count()));
}

} // namespace

double customer_usage::value_at(const decaying_sum& sum, time_point now)
{
    const double age = std::chrono::duration<double>(now - sum.updated).count();
    return sum.value * std::exp(-age / std::chrono::duration<double>(usage_time).count());
}

void customer_usage::record(const std::string& customer, double work, time_point now)
{
    decaying_sum& sum = customers_[customer];
    sum = {value_at(sum, now) + work, now};
}

double customer_usage::share_of(const std::string& customer, time_point now) const
{
    double total = 0;
    for (const auto& [name, sum] : customers_) {
        total += value_at(sum, now);
    }
    const auto found = customers_.find(customer);
    if (found == customers_.end() || total <= 0) {
        return 0;
    }
    return value_at(found->second, now) * static_cast<double>(customers_.size()) / total;
}

std::vector<std::size_t> order_claims(const std::vector<place_claim>& claims,
                                      const place_supply& supply, time_point now)
{
    std::vector<std::size_t> in_time;
    std::vector<std::size_t> late;
    for (std::size_t index = 0; index < claims.size(); ++index) {
        (claims[index].latest_start < now ? late : in_time).push_back(index);
    }
    const auto starts_earlier = [&](std::size_t left, std::size_t right) {
        const place_claim& first = claims[left];
        const place_claim& second = claims[right];
        return std::tuple(first.latest_start, first.group, left) <
               std::tuple(second.latest_start, second.group, right);
    };
    const auto stronger = [&](std::size_t left, std::size_t right) {
        return std::tuple(weakness(claims[left]), left) <
               std::tuple(weakness(claims[right]), right);
    };
    std::sort(in_time.begin(), in_time.end(), starts_earlier);
    // Removing the weakest claim whenever there are more claims than places keeps the strongest set
    // that can start in time.
    std::priority_queue<std::size_t, std::vector<std::size_t>, decltype(stronger)> kept(stronger);
    std::vector<bool> waits(claims.size());
    std::vector<std::size_t> waiting;
    for (const std::size_t index : in_time) {
        kept.push(index);
        const double places = places_until(claims[index].latest_start, supply, now);
        while (static_cast<double>(kept.size()) > places) {
            waits[kept.top()] = true;
            waiting.push_back(kept.top());
            kept.pop();
        }
    }
    std::vector<std::size_t> order;
    order.reserve(claims.size());
    std::copy_if(in_time.begin(), in_time.end(), std::back_inserter(order),
                 [&](std::size_t index) { return !waits[index]; });
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return claims[left].latest_start + claims[left].handicap <
               claims[right].latest_start + claims[right].handicap;
    });
    std::sort(waiting.begin(), waiting.end(), stronger);
    std::sort(late.begin(), late.end(), stronger);
    order.insert(order.end(), waiting.begin(), waiting.end());
    order.insert(order.end(), late.begin(), late.end());
    return order;
}

} // namespace quetzal::gateway
