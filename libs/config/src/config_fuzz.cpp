// libFuzzer entry point for all parsers of this package. The first byte of the input selects the
// parser. Build with clang++ -std=c++20 -fsanitize=fuzzer,address and the sources of base and
// config. parser_mutation_test.cpp calls it with a few thousand mutated inputs as part of the
// tests.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include <quetzal/config/instance_list.hpp>
#include <quetzal/config/published.hpp>
#include <quetzal/config/settings.hpp>

namespace {

// Aborts unless the error has a name or an expectation and its message is a single line.
template <class Error>
void require_useful(const Error& error)
{
    if (error.name.empty() && error.expected.empty()) {
        std::abort();
    }
    for (const char letter : error.message()) {
        if (letter == '\n') {
            std::abort();
        }
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
    switch (data[0] % 3) {
    case 0:
        if (const auto config = quetzal::config::parse_published(text); !config) {
            require_useful(config.error());
        }
        break;
    case 1:
        if (const auto list = quetzal::config::parse_instance_list(text); !list) {
            require_useful(list.error());
        }
        break;
    default:
        if (const auto all = quetzal::config::parse_settings(text, "fuzz"); !all) {
            for (const auto& error : all.error()) {
                require_useful(error);
            }
        }
    }
    return 0;
}
