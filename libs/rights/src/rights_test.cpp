#include <quetzal/base/random.hpp>
#include <quetzal/peer/codec.hpp>
#include <quetzal/rights/credit_wallet.hpp>
#include <quetzal/rights/customer_bucket.hpp>
#include <quetzal/rights/holder.hpp>
#include <quetzal/rights/voter.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::rights;
using quetzal::testing::check;
using quetzal::testing::section;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start_time{std::chrono::hours(1)};

std::vector<region_member> members(std::size_t count, std::size_t zones = 3)
{
    std::vector<region_member> list;
    for (std::size_t index = 0; index < count; ++index) {
        list.push_back({instance_id("q-" + std::to_string(100 + index)),
                        zone_id(std::to_string(index % zones))});
    }
    return list;
}

// A voter in a fleet of three instances, with a ranking in which `candidate` is first for every
// partition.
struct voting
{
    explicit voting(const options& settings = {})
        : table(std::make_shared<const committee_table>(members(3), 3)),
          votes(instance_id("q-100"), settings, start_time)
    {
        votes.set_committees(table, start_time);
    }

    peer::renew_grant request_vote(const std::string& from, std::uint64_t process,
                                   std::uint32_t sequence, const std::string& candidate,
                                   time_point now)
    {
        peer::renew_request request;
        request.sequence = sequence;
        request.members = table->digest();
        request.acquiring = {0};
        return votes.on_request(instance_id(from), incarnation{process}, request,
                                ranking(table, {{instance_id(candidate), {}, true, false}}), {},
                                now);
    }

    std::shared_ptr<const committee_table> table;
    voter votes;
};

peer::credit_request request(std::uint32_t sequence, std::uint32_t wanted, std::uint32_t held,
                             std::uint32_t spent)
{
    return {sequence, 1, customer_id("c"), wanted, held, spent};
}

} // namespace

// Guards against committees that lose their quorum with one zone, and committees whose quorums do
// not intersect.
Test(committees, are_spread_over_zones_and_intersect_up_to_the_bound)
{
    section("small and large fleets have the expected committee sizes and quorums", [] {
        check(committee_size(1, 3) == 1 && committee_size(2, 3) == 2, "1 and 2");
        check(committee_size(5, 3) == 5 && committee_size(8, 3) == 6, "5 and 8");
        check(committee_size(330, 3) == 9 && committee_size(330, 2) == 8, "330");
        check(quorum_of(1) == 1 && quorum_of(2) == 2 && quorum_of(3) == 2, "1 to 3");
        check(quorum_of(6) == 4 && quorum_of(9) == 6, "6 and 9");
    });
    section("every committee of 8 instances has two members in each zone", [] {
        const committee_table table(members(8), 3);
        for (partition_index partition = 0; partition < peer::partition_count; ++partition) {
            std::vector<int> zones(3);
            for (const auto index : table.voters(partition)) {
                ++zones[index % 3];
            }
            check(zones == std::vector<int>{2, 2, 2}, "2 + 2 + 2");
        }
    });
    section("quorums intersect up to a symmetric difference of 4q - 2k - 1 members", [] {
        for (const std::size_t size : {3, 4, 5, 6, 8, 9}) {
            for (std::size_t replaced = 0; replaced <= size; ++replaced) {
                std::vector<std::uint32_t> first;
                std::vector<std::uint32_t> second;
                for (std::uint32_t tag = 0; tag < size; ++tag) {
                    first.push_back(tag);
                    second.push_back(tag + static_cast<std::uint32_t>(replaced));
                }
                const bool within = 2 * replaced + 2 * size + 1 <= 4 * quorum_of(size);
                check(quorums_intersect(first, second) == within, std::to_string(size));
            }
        }
    });
    section("removing one of 330 instances keeps all committees within the bound", [] {
        auto changed = members(330);
        changed.erase(changed.begin() + 7);
        const committee_table before(members(330), 3);
        const committee_table after(changed, 3);
        for (partition_index partition = 0; partition < peer::partition_count; ++partition) {
            check(quorums_intersect(before.tags(partition), after.tags(partition)),
                  "quorums intersect");
        }
    });
}

// Guards against votes for two holders, and against votes that stay with a failed holder.
Test(votes, move_only_after_the_lease_a_release_or_proof_of_death)
{
    const time_point awake = start_time + seconds(3);
    section("a started voter grants nothing at first", [] {
        voting fleet;
        check(fleet.request_vote("q-101", 1, 1, "q-101", start_time + milliseconds(2700))
                      .refused.size() == 1,
              "within lease + margin");
    });
    section("given a vote for q-101", [&] {
        voting fleet;
        check(fleet.request_vote("q-101", 1, 1, "q-101", awake).acquired.size() == 1, "granted");
        section("another candidate gets the vote only after the lease", [&] {
            const auto early =
                fleet.request_vote("q-102", 1, 1, "q-102", awake + milliseconds(2400));
            check(early.refused.at(0).why == peer::refused_partition::cause::held_by_other,
                  "refused");
            check(fleet.request_vote("q-102", 1, 2, "q-102", awake + milliseconds(2600))
                      .refused.empty(),
                  "granted");
        });
    });
    section("a duplicate renewal does not extend the lease", [&] {
        voting fleet;
        fleet.request_vote("q-101", 1, 5, "q-101", awake);
        fleet.request_vote("q-101", 1, 5, "q-101", awake + seconds(2));
        check(
            fleet.request_vote("q-102", 1, 1, "q-102", awake + milliseconds(2600)).refused.empty(),
            "granted");
    });
    section("a new process of the holder ends the lease of the previous one", [&] {
        voting fleet;
        fleet.request_vote("q-101", 1, 1, "q-101", awake);
        fleet.votes.observe_process(instance_id("q-101"), incarnation{2}, awake + seconds(1));
        const auto response = fleet.request_vote("q-102", 1, 1, "q-102", awake + seconds(1));
        check(response.acquired.at(0).former_lease == milliseconds(1500),
              "the remaining lease is reported");
    });
    section("a release takes effect only if no later renewal has arrived", [&] {
        voting fleet;
        fleet.request_vote("q-101", 1, 1, "q-101", awake);
        fleet.request_vote("q-101", 1, 3, "q-101", awake);
        fleet.votes.on_release(instance_id("q-101"), incarnation{1}, {2, instance_id("q-102"), {0}},
                               awake);
        check(fleet.votes.granted(awake) == 1,
              "a release older than the last renewal has no effect");
        fleet.votes.on_release(instance_id("q-101"), incarnation{1}, {4, instance_id("q-102"), {0}},
                               awake);
        check(fleet.request_vote("q-101", 1, 5, "q-101", awake).refused.size() == 1,
              "the vote is reserved for the successor");
        check(fleet.request_vote("q-102", 1, 1, "q-101", awake).refused.empty(),
              "the successor need not rank first");
    });
}

// Guards against two holders when several voters start with a new list while a quorum of the
// previous list, which they do not know, still grants.
Test(holders, need_the_whole_committee_while_its_voters_started_recently)
{
    const auto table = std::make_shared<const committee_table>(members(3), 3);
    const auto grant_by = [&](holder& rights, std::size_t voters, bool recent, time_point now) {
        for (int round = 0; round < 2; ++round) { // the first round chooses the fencing token
            std::size_t granted = 0;
            for (const auto& message : rights.make_requests(true, 1, now)) {
                const auto& body = std::get<peer::renew_request>(message.body);
                peer::renew_grant grant;
                grant.sequence = body.sequence;
                grant.lease = milliseconds(2500);
                grant.members = table->digest();
                grant.recent_start = recent;
                if (granted++ < voters) {
                    rights.on_grant(message.to, grant, 500, now);
                }
            }
        }
    };
    const auto candidate = [&] {
        holder rights(instance_id("q-100"), options{});
        rights.set_committees(table);
        rights.set_wanted(0, true);
        return rights;
    };
    section("a quorum of voters that started recently is not enough", [&] {
        holder rights = candidate();
        grant_by(rights, 2, true, start_time);
        check(!rights.holds(0, start_time), "two of three");
        grant_by(rights, 3, true, start_time);
        check(rights.holds(0, start_time), "all three");
    });
    section("a quorum of voters that know the previous committees is enough", [&] {
        holder rights = candidate();
        grant_by(rights, 2, false, start_time);
        check(rights.holds(0, start_time), "two of three");
    });
    section("a voter reports a recent start for `max_list_lag` and a lease", [&] {
        voting fleet;
        const auto at = [&](duration age) {
            return fleet.request_vote("q-101", 1, 1, "q-101", start_time + age).recent_start;
        };
        check(at(seconds(3)) && at(milliseconds(7700)), "before");
        check(!at(milliseconds(7800)), "after");
    });
}

// Guards against the use of a right under an outdated configuration or with a fencing token unknown
// to the voters, and against messages that do not fit a datagram.
Test(holders, use_a_right_only_when_voters_know_its_number_and_the_configuration_is_recent)
{
    const auto table = std::make_shared<const committee_table>(members(2), 3);
    holder rights(instance_id("q-100"), options{});
    rights.set_committees(table);
    rights.set_config(1);
    rights.set_wanted(0, true);
    std::vector<acquisition> completed;
    const auto round = [&](std::uint64_t config, time_point now) {
        for (const auto& message : rights.make_requests(false, 1, now)) {
            const auto& body = std::get<peer::renew_request>(message.body);
            peer::renew_grant grant;
            grant.sequence = body.sequence;
            grant.known = {config, 1};
            grant.lease = milliseconds(2500);
            grant.members = table->digest();
            grant.acquired.push_back({0, 900, {}});
            const auto more = rights.on_grant(message.to, grant, 500, now);
            completed.insert(completed.end(), more.begin(), more.end());
        }
    };
    section("grants of voters with a newer configuration do not count", [&] {
        round(2, start_time);
        round(2, start_time);
        check(!rights.holds(0, start_time), "not held");
    });
    section("after catching up, the token is chosen and sent to the voters before it is used", [&] {
        rights.set_config(2);
        round(2, start_time);
        check(!rights.holds(0, start_time) && rights.take_fence_pending(), "token chosen");
        round(2, start_time);
        check(rights.holds(0, start_time) && completed.size() == 1, "held");
        check(rights.fence(0) == 901, "greater than the wall clock and all tokens seen");
        check(!rights.holds(0, start_time + milliseconds(2250)),
              "the lease ends early by the margin");
    });
    section("every message fits a datagram, with committees for all partitions", [&] {
        peer::renew_grant other;
        for (const auto& message : rights.make_requests(true, 1, start_time)) {
            other.sequence = std::get<peer::renew_request>(message.body).sequence;
            other.members = 1; // a different list
            rights.on_grant(message.to, other, 0, start_time);
        }
        for (partition_index partition = 0; partition < peer::partition_count; ++partition) {
            rights.set_wanted(partition, true);
        }
        std::size_t asked = 0;
        for (const auto& message : rights.make_requests(true, 1, start_time)) {
            const auto& body = std::get<peer::renew_request>(message.body);
            check(body.committees.size() == 2 * (body.partitions.size() + body.acquiring.size()),
                  "two committee tags per partition");
            asked += body.partitions.size() + body.acquiring.size();
            const auto datagram =
                peer::encode({instance_id("q-100"), incarnation{1ull << 63}, body}, {{1, "k"}, {}});
            check(datagram.size() <= peer::max_datagram_size, std::to_string(datagram.size()));
        }
        check(asked == 2 * std::size_t{peer::partition_count}, "all partitions, both voters");
    });
}

// Guards against credits created by duplicate, reordered or lost credit messages.
Test(credits, are_conserved_by_every_order_of_messages)
{
    const time_point lease_end = start_time + std::chrono::hours(1);
    const instance_id delegate("q-101");
    section("given a full bucket of 20", [&] {
        customer_bucket bucket{safeguards{}};
        bucket.start({10, 20}, start_time, {});
        const time_point now = start_time + seconds(10);
        const auto serve = [&](const peer::credit_request& body) {
            return bucket.serve(delegate, incarnation{1}, body, lease_end, now);
        };
        section("a duplicate request gets the same response and no more credits", [&] {
            check(serve(request(1, 6, 0, 0))->tokens == 6, "granted");
            check(serve(request(1, 6, 0, 0))->tokens == 6, "the same response");
            check(bucket.outstanding() == 6 && bucket.level() == 14, "counted once");
        });
        section("credits of a lost response are reclaimed by the next request", [&] {
            check(serve(request(2, 4, 0, 0))->tokens == 4, "no credits held or spent");
            check(bucket.outstanding() == 4 && bucket.level() == 16, "six were reclaimed");
            check(!serve(request(1, 6, 0, 0)), "an older request gets no response");
        });
        section("at most half of the burst is outstanding", [&] {
            check(serve(request(3, 100, 4, 0))->tokens == 6, "ten in all");
            check(bucket.outstanding() == 10, "outstanding");
        });
        section("spent credits are no longer outstanding, and a report gets no response", [&] {
            check(!serve(request(4, 0, 3, 7)), "report");
            check(bucket.outstanding() == 3 && bucket.level() == 10, "seven were spent");
        });
        section("smaller limits reduce the level immediately", [&] {
            bucket.set_limits({10, 5}, now);
            check(bucket.level() == 2, "level plus outstanding is 5");
        });
    });
    section("given a wallet that requested credits", [&] {
        credit_wallet wallet{safeguards{}};
        const instance_id home("q-100");
        wallet.add_waiting_request(start_time);
        const auto body = wallet.start_request(home, 7, false, start_time);
        peer::credit_grant grant;
        grant.sequence = body.sequence;
        grant.is_home = true;
        grant.tokens = 2;
        grant.config_version = 3;
        grant.valid_for = milliseconds(900);
        check(wallet.on_grant(home, grant, start_time + milliseconds(100)), "expected");
        check(!wallet.on_grant(home, grant, start_time + milliseconds(100)),
              "a duplicate response has no effect");
        check(!wallet.spend(2, start_time + milliseconds(100)),
              "the credits require a newer configuration");
        check(wallet.spend(3, start_time + milliseconds(100)),
              "the configuration has been reached");
        check(!wallet.spend(3, start_time + milliseconds(900)),
              "the validity starts with the request, not the response");
    });
}

// Guards against any mix of calls that admits more than burst + rate * window requests.
Test(credits, bucket_never_exceeds_its_window_bound)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        random_source random(seed);
        const limits bounds{1 + random.unit() * 50, 1 + random.unit() * 30};
        customer_bucket bucket{safeguards{}};
        bucket.start(bounds, start_time, {});
        double reference = bounds.burst;
        time_point before = start_time;
        time_point now = start_time;
        std::uint32_t held = 0;
        std::uint32_t spent = 0;
        time_point held_until{};
        for (std::uint32_t step = 1; step < 400; ++step) {
            now += std::chrono::microseconds(random.below(200'000));
            held = now < held_until ? held : 0;
            std::uint32_t admissions = 0;
            if (random.below(2) == 0) {
                admissions = bucket.admit(now) ? 1 : 0;
            } else if (held > 0 && random.below(2) == 0) {
                admissions = 1 + static_cast<std::uint32_t>(random.below(held));
                held -= admissions;
                spent += admissions;
            } else if (const auto response = bucket.serve(
                           instance_id("q"), incarnation{1},
                           request(step, static_cast<std::uint32_t>(random.below(20)), held, spent),
                           now + seconds(1), now);
                       response && response->tokens > 0 && random.below(5) != 0)
            {
                held += response->tokens;
                held_until = now + response->valid_for;
            }
            reference = std::min(
                bounds.burst,
                reference + bounds.rate * std::chrono::duration<double>(now - before).count());
            before = now;
            reference -= admissions;
            check(reference > -1e-6, "seed " + std::to_string(seed));
            check(bucket.level() + bucket.outstanding() <= bounds.burst + 1e-6, "invariant");
        }
    }
}

// Guards against credit requests without a receiver. With three instances, the third candidate for
// a home does not exist, and the customer's requests waited until their deadline (seen in the first
// quickstart run).
Test(ranking, every_rank_names_a_live_member)
{
    const auto table = std::make_shared<const committee_table>(members(3), 3);
    const ranking ranks(table, {{instance_id("q-100"), {}, true, false},
                                {instance_id("q-101"), {}, true, false},
                                {instance_id("q-102"), {}, true, false}});
    section("given two other members, ranks beyond the last wrap around", [&] {
        for (std::size_t rank = 0; rank < 6; ++rank) {
            const auto& named = ranks.candidate_at(0, rank, instance_id("q-100"));
            check(!named.empty() && named != instance_id("q-100"), "another live member");
            check(named == ranks.candidate_at(0, rank % 2, instance_id("q-100")),
                  "rank modulo the number of members");
        }
    });
}
