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

// Guards against forged identities, and against one customer's identity in another's hands.
Test(request_identity, verifies_only_for_its_customer)
{
    identity_authority authority(instance_id("q-a-1"), incarnation{42}, {"secret", {}});
    const std::string text = authority.issue(banderas, start);
    section("given an identity of an instance with dashes in its name", [&] {
        const auto identity = authority.verify(text, banderas);
        check(identity && identity->instance == instance_id("q-a-1"), "name");
        check(identity->process == incarnation{42} && identity->sequence == 1, "numbers");
        check(identity->issued == start, "issue time");
        check(authority.verify(authority.issue(banderas, start), banderas)->sequence == 2,
              "sequence numbers are not used twice");
    });
    section("any change makes it invalid, in the same words as another customer's key", [&] {
        const auto strange = authority.verify(text, customer_id("trinidad"));
        check(!strange && strange.error().why == reason::invalid_request, "other customer");
        for (std::size_t position = 0; position < text.size(); ++position) {
            std::string changed = text;
            changed[position] = changed[position] == '1' ? '2' : '1';
            const auto forged = authority.verify(changed, banderas);
            check(!forged && forged.error().detail == strange.error().detail, "changed");
            check(!authority.verify(text.substr(0, position), banderas), "cut");
        }
        check(!authority.verify(std::string(1000, '-'), banderas), "too long");
    });
    section("the former secret is accepted during a rotation only", [&] {
        authority.use_secrets({"next", "secret"});
        check(authority.verify(text, banderas).has_value(), "during");
        authority.use_secrets({"later", "next"});
        check(!authority.verify(text, banderas), "after");
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
    const auto gone = [](const placement& where) {
        const auto* why = std::get_if<failure>(&where);
        return why && why->run == verdict::may_have_run && why->why == reason::instance_gone;
    };
    check(std::holds_alternative<run_here>(place("q-1", 42, {})), "own incarnation");
    check(gone(place("q-1", 41, {true, incarnation{42}})), "own former incarnation");
    check(std::get<relay_to>(place("q-2", 9, {true, incarnation{9}})).process == incarnation{9},
          "relayed to the issuer");
    check(std::holds_alternative<relay_to>(place("q-2", 9, {true, {}})), "incarnation not known");
    check(gone(place("q-2", 9, {true, incarnation{10}})), "issuer was restarted");
    check(gone(place("q-2", 9, {false, {}})), "issuer cannot be reached");
    check(gone(place("q-2", 9, {true, incarnation{9}}, true)), "not relayed twice");
}

// Guards against frames of one call being taken for another's through a second spelling.
Test(call_id, has_one_spelling)
{
    const call_id id{incarnation{1733290000000123}, 9, 2, 1};
    check(to_string(id) == "1733290000000123-9-2-1", "form");
    check(parse_call_id(to_string(id)) == id, "round trip");
    for (const auto* text : {"", "1-2-3", "1-2-3-4-5", "1-2-3-", "01-2-3-4", "1-2--3-4", "1-2-3-+4",
                             "1-2-3-4 ", "1-2-3-99999999999"})
    {
        check(!parse_call_id(text), text);
    }
}
