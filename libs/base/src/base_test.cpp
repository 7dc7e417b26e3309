#include <quetzal/base/digest.hpp>
#include <quetzal/base/hash.hpp>
#include <quetzal/base/units.hpp>
#include <quetzal/base/verdict.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using quetzal::testing::check;
using quetzal::testing::section;

// Guards against reading a value with a missing or unknown unit, or one that overflows, as a
// different value.
Test(units, values_require_a_known_unit)
{
    section("values with units", [] {
        section("a known unit is applied", [] {
            check(parse_duration("250ms") == std::chrono::milliseconds(250), "250ms");
            check(parse_bytes("64MiB") == 64ull << 20, "64MiB");
        });
        section("any other text is rejected", [] {
            for (const auto* text : {"250", "ms", "-1s", "1.5s", "1 s", "1sec", "99999999999h", ""})
            {
                check(!parse_duration(text), text);
            }
            check(!parse_bytes("64MB"), "decimal units are not accepted");
        });
    });
}

// Guards against a combined verdict `not_run` of work of which a part may have run.
Test(verdicts, combined_verdict_is_not_run_only_if_both_parts_are)
{
    check(combine(verdict::not_run, verdict::not_run) == verdict::not_run, "neither part ran");
    check(combine(verdict::not_run, verdict::ran) == verdict::may_have_run, "one part ran");
    check(combine(verdict::may_have_run, verdict::not_run) == verdict::may_have_run,
          "one part may have run");
}

// Guards against a change of the hashes or MACs that instances of different versions must compute
// alike.
Test(hashes, are_stable)
{
    section("SHA-256 matches its published test vector", [] {
        check(to_hex(sha256("abc")) ==
                  "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
              "FIPS 180-2, appendix B.1");
        check(parse_digest(to_hex(sha256("abc"))) == sha256("abc"), "hex round trip");
    });
    section("rendezvous hashing distributes keys evenly over two nodes", [] {
        int first_wins = 0;
        for (int key = 0; key < 1000; ++key) {
            const auto hash = stable_hash(std::to_string(key));
            first_wins += rendezvous_score(hash, "a") > rendezvous_score(hash, "b") ? 1 : 0;
        }
        check(first_wins > 440 && first_wins < 560, "each node owns about half of the keys");
    });
}
