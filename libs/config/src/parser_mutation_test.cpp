#include <algorithm>
#include <array>
#include <string>

#include <quetzal/base/random.hpp>

#include "config_fuzz.cpp"
#include "test_documents.hpp"

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::config::test;
using quetzal::testing::section;

namespace {

constexpr std::uint64_t seed = 20250611;
constexpr int rounds = 20000;

// Applies one random change: inserts a token, erases, duplicates or copies bytes, or flips a bit.
void mutate(std::string& text, const std::string& other, random_source& random)
{
    constexpr std::array<std::string_view, 16> tokens{
        "{",       "}",       "[",    "]",     "\"",
        ",",       ":",       "null", "1e308", "-1",
        "\\u0000", "\n[a]\n", "=",    "'''",   "18446744073709551616",
        "\xff"};
    const std::size_t at = random.below(text.size() + 1);
    const std::size_t length = std::min<std::size_t>(random.below(16), text.size() - at);
    switch (random.below(5)) {
    case 0:
        text.insert(at, tokens[random.below(tokens.size())]);
        break;
    case 1:
        text.erase(at, length);
        break;
    case 2:
        text.insert(at, text.substr(at, length));
        break;
    case 3:
        text.insert(at, other.substr(random.below(other.size()), random.below(64)));
        break;
    default:
        if (at < text.size()) {
            text[at] = static_cast<char>(text[at] ^ (1u << random.below(8)));
        }
    }
}

} // namespace

// Guards against crashes, endless loops and empty error messages for nearly valid texts, such as
// truncated or corrupted files.
Test(parsers, survive_mutations_of_valid_documents)
{
    const std::array<std::string, 3> corpus{"\x30" + std::string(small_config),
                                            "\x31" + std::string(small_list),
                                            "\x32" + std::string(small_settings)};
    section("seed " + std::to_string(seed), [&] {
        random_source random(seed);
        for (int round = 0; round < rounds; ++round) {
            std::string input = corpus[random.below(corpus.size())];
            for (std::size_t changes = 1 + random.below(4); changes > 0; --changes) {
                mutate(input, corpus[random.below(corpus.size())], random);
            }
            LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()),
                                   input.size());
        }
    });
}
