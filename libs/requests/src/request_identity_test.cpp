#include <quetzal/requests/call_id.hpp>
#include <quetzal/requests/request_identity.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::requests;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const time_point start{std::chrono::hours(5)};
const customer_id banderas("banderas");

} // namespace

// Guards against forged identities, and against the use of an identity by another customer.
Test(request_identity, verifies_only_for_its_customer)
{
    identity_authority authority(instance_id("q-a-1"), incarnation{42}, {"secret", {}});
    const std::string text = authority.issue(banderas, start);
    section("an identity of an instance with dashes in its name is parsed", [&] {
        const auto identity = authority.verify(text, banderas);
        check(identity && identity->instance == instance_id("q-a-1"), "instance name is returned");
        check(identity->process == incarnation{42} && identity->sequence == 1,
              "incarnation and sequence number are returned");
        check(identity->issued == start, "issue time is returned");
        check(authority.verify(authority.issue(banderas, start), banderas)->sequence == 2,
              "sequence numbers are not reused");
    });
    section("a changed identity fails with the same message as another customer's key", [&] {
        const auto foreign = authority.verify(text, customer_id("trinidad"));
        check(!foreign && foreign.error().why == reason::invalid_request,
              "another customer's key is rejected");
        for (std::size_t position = 0; position < text.size(); ++position) {
            std::string changed = text;
            changed[position] = changed[position] == '1' ? '2' : '1';
            const auto forged = authority.verify(changed, banderas);
            check(!forged && forged.error().detail == foreign.error().detail,
                  "a changed identity is rejected");
            check(!authority.verify(text.substr(0, position), banderas),
                  "a truncated identity is rejected");
        }
        check(!authority.verify(std::string(1000, '-'), banderas), "an oversized text is rejected");
    });
    section("the previous secret is accepted during a rotation only", [&] {
        authority.set_secrets({"next", "secret"});
        check(authority.verify(text, banderas).has_value(), "accepted during the rotation");
        authority.set_secrets({"later", "next"});
        check(!authority.verify(text, banderas), "rejected after the rotation");
    });
}

// Guards against a second incarnation or instance running work that the issuer may have run.
Test(request_identity, only_the_issuing_incarnation_runs_it)
{
    const identity_authority here(instance_id("q-1"), incarnation{42}, {"secret", {}});
    const auto place = [&](const char* instance, std::uint64_t process, issuer_view view,
                           bool relayed = false) {
        return here.place({instance_id(instance), incarnation{process}, 1, start}, view, relayed);
    };
    const auto is_instance_gone = [](const placement& where) {
        const auto* why = std::get_if<failure>(&where);
        return why && why->run == verdict::may_have_run && why->why == reason::instance_gone;
    };
    check(std::holds_alternative<run_here>(place("q-1", 42, {})),
          "own incarnation runs the request");
    check(is_instance_gone(place("q-1", 41, {true, incarnation{42}})),
          "an earlier incarnation of this instance is gone");
    check(std::get<relay_to>(place("q-2", 9, {true, incarnation{9}})).process == incarnation{9},
          "the request is relayed to the issuer");
    check(std::holds_alternative<relay_to>(place("q-2", 9, {true, {}})),
          "relayed if the incarnation is unknown");
    check(is_instance_gone(place("q-2", 9, {true, incarnation{10}})), "a restarted issuer is gone");
    check(is_instance_gone(place("q-2", 9, {false, {}})), "an unreachable issuer is gone");
    check(is_instance_gone(place("q-2", 9, {true, incarnation{9}}, true)),
          "a relayed request is not relayed again");
}

// Guards against frames of one call being attributed to another call through a second spelling.
Test(call_id, has_exactly_one_spelling)
{
    const call_id id{incarnation{1733290000000123}, 9, 2, 1};
    check(to_string(id) == "1733290000000123-9-2-1", "text has the documented format");
    check(parse_call_id(to_string(id)) == id, "text parses to the same identifier");
    for (const auto* text : {"", "1-2-3", "1-2-3-4-5", "1-2-3-", "01-2-3-4", "1-2--3-4", "1-2-3-+4",
                             "1-2-3-4 ", "1-2-3-99999999999"})
    {
        check(!parse_call_id(text), text);
    }
}
