#include <quetzal/base/digest.hpp>
#include <quetzal/base/hash.hpp>
#include <quetzal/base/units.hpp>
#include <quetzal/base/verdict.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using quetzal::testing::check;
using quetzal::testing::section;

// Guards against a value whose unit is missing, unknown or too large being read as some other
// value.
Test(units, values_need_a_known_unit)
{
    section("given values as operators write them", [] {
        section("a known unit is applied", [] {
            check(parse_duration("250ms") == std::chrono::milliseconds(250), "250ms");
            check(parse_bytes("64MiB") == 64ull << 20, "64MiB");
        });
        section("anything else is refused", [] {
            for (const auto* text : {"250", "ms", "-1s", "1.5s", "1 s", "1sec", "99999999999h", ""})
            {
                check(!parse_duration(text), text);
            }
            check(!parse_bytes("64MB"), "decimal units are not accepted");
        });
    });
}

// Guards against a "not run" that hides a part which may have run.
Test(verdicts, combination_never_says_not_run_unless_both_parts_did_not)
{
    check(combine(verdict::not_run, verdict::not_run) == verdict::not_run, "both not run");
    check(combine(verdict::not_run, verdict::ran) == verdict::may_have_run, "one ran");
    check(combine(verdict::may_have_run, verdict::not_run) == verdict::may_have_run,
          "one may have");
}

// Guards against a change of the hashes or MACs that instances of two versions compute for each
// other.
Test(hashes, are_stable)
{
    section("SHA-256 matches its published test vector", [] {
        check(to_hex(sha256("abc")) ==
                  "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
              "FIPS 180-2, appendix B.1");
        check(parse_digest(to_hex(sha256("abc"))) == sha256("abc"), "hex round trip");
    });
    section("rendezvous scores of two nodes differ by key", [] {
        int first_wins = 0;
        for (int key = 0; key < 1000; ++key) {
            const auto hash = stable_hash(std::to_string(key));
            first_wins += rendezvous_score(hash, "a") > rendezvous_score(hash, "b") ? 1 : 0;
        }
        check(first_wins > 440 && first_wins < 560, "two nodes share the keys about evenly");
    });
}
