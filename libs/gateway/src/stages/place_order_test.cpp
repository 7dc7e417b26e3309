#include <algorithm>
#include <set>

#include <quetzal/gateway/stages/place_order.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point now{seconds(100)};
constexpr place_supply supply{10, milliseconds(100), milliseconds(100)};

place_claim claim_of(std::int32_t priority, milliseconds latest_start, std::uint64_t group = 0)
{
    place_claim claim;
    claim.customer_priority = priority;
    claim.latest_start = now + latest_start;
    claim.group = group;
    return claim;
}

// Returns the number of claims, from the first index on, that start in time when the places are
// given in that order.
std::size_t in_time(const std::vector<place_claim>& claims, const std::vector<std::size_t>& order,
                    std::size_t first, std::size_t count)
{
    std::size_t started = 0;
    for (std::size_t position = 0; position < order.size(); ++position) {
        const std::size_t index = order[position];
        const time_point start =
            now + supply.interval * static_cast<duration::rep>(position / supply.at_once);
        const bool counted = index >= first && index < first + count;
        started += counted && start <= claims[index].latest_start ? 1 : 0;
    }
    return started;
}

} // namespace

// A burst of urgent requests with time to spare beside less urgent ones that have none. Guards
// against requests that come late although all could have been served in time.
Test(place_order, burst_with_time_to_spare)
{
    std::vector<place_claim> claims;
    for (int number = 0; number < 20; ++number) {
        claims.push_back(claim_of(0, milliseconds(800)));
    }
    for (int number = 0; number < 10; ++number) {
        claims.push_back(claim_of(2, milliseconds(50)));
    }
    const auto order = order_claims(claims, supply, now);
    section("every claim starts in time", [&] {
        check(in_time(claims, order, 0, 20) == 20, "the urgent claims start in time");
        check(in_time(claims, order, 20, 10) == 10, "the less urgent claims start in time");
    });
    section("when the urgent claims need all places", [&] {
        for (std::size_t number = 0; number < 20; ++number) {
            claims[number].latest_start = now + milliseconds(150);
        }
        const auto pressed = order_claims(claims, supply, now);
        check(in_time(claims, pressed, 0, 20) == 20, "the urgent claims still start in time");
        check(*std::min_element(pressed.begin() + 20, pressed.end()) >= 20,
              "the less urgent claims wait");
    });
}

// More work than places for seconds. Guards against an order by time alone, which makes every claim
// a little too late.
Test(place_order, lasting_overload)
{
    std::vector<place_claim> claims;
    for (std::uint64_t number = 0; number < 100; ++number) {
        claims.push_back(claim_of(1, milliseconds(300), number / 4));
    }
    const auto order = order_claims(claims, supply, now);
    check(in_time(claims, order, 0, 100) == 40, "all places go to claims that start in time");
    section("claims that are only useful together", [&] {
        std::set<std::uint64_t> groups;
        for (std::size_t position = 0; position < 20; ++position) {
            groups.insert(claims[order[position]].group);
        }
        check(groups.size() == 5, "twenty places serve five groups of four as a whole");
    });
    section("claims that are late already", [&] {
        claims.push_back(claim_of(0, milliseconds(-10)));
        const auto with_late = order_claims(claims, supply, now);
        check(with_late.back() == 100, "they make no other claim late");
        check(with_late.size() == claims.size(), "they are not forgotten");
    });
}

// One customer sends ten times its share. Guards against delays for the customers that send as much
// as usual.
Test(place_order, customer_with_ten_times_its_share)
{
    customer_usage usage;
    for (int number = 0; number < 100; ++number) {
        usage.record("large", 1, now - milliseconds(500));
    }
    for (const char* customer : {"a", "b", "c"}) {
        usage.record(customer, 10, now - milliseconds(500));
    }
    std::vector<place_claim> claims;
    const auto add = [&](const std::string& customer, std::size_t count) {
        for (std::size_t number = 0; number < count; ++number) {
            place_claim claim = claim_of(1, milliseconds(150));
            claim.customer_share = usage.share_of(customer, now);
            claims.push_back(claim);
        }
    };
    add("large", 100);
    add("a", 5);
    add("b", 5);
    const auto order = order_claims(claims, supply, now);
    check(in_time(claims, order, 100, 10) == 10, "the other customers' claims start in time");
    check(in_time(claims, order, 0, 100) == 10, "the large customer gets all other places");
    section("a customer with a higher priority", [&] {
        for (std::size_t number = 0; number < 20; ++number) {
            claims[number].customer_priority = 0;
        }
        const auto prior = order_claims(claims, supply, now);
        check(in_time(claims, prior, 0, 20) == 20, "goes first whatever it was served");
    });
    section("shares are forgotten", [&] {
        const time_point later = now + seconds(20);
        usage.record("a", 10, later);
        check(usage.share_of("large", later) < 0.1, "a burst costs its customer nothing later");
    });
}
