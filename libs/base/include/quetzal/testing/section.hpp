#ifndef QUETZAL_TESTING_SECTION_HPP
#define QUETZAL_TESTING_SECTION_HPP

// Nested, named sections for Criterion tests. A failed `check` prints the names of the enclosing
// sections. Include Boost headers before this header. For tests only.

#include <cstdio>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace quetzal::testing {

namespace internal {

inline std::vector<std::string>& open_sections()
{
    static std::vector<std::string> names;
    return names;
}

inline std::string section_path()
{
    std::string path;
    for (const auto& name : open_sections()) {
        path += path.empty() ? name : " / " + name;
    }
    return path;
}

} // namespace internal

// Runs `body` as a named section of a test. Sections run in the order in which they are written and
// share the variables of the enclosing scope.
template <class Body>
void section(std::string name, Body&& body)
{
    internal::open_sections().push_back(std::move(name));
    std::forward<Body>(body)();
    internal::open_sections().pop_back();
}

// Fails the current test and prints the section and the message unless the condition is true.
inline void check(bool condition, std::string_view message)
{
    if (!condition) {
        std::fprintf(stderr, "section: %s\n", internal::section_path().c_str());
    }
    cr_assert(condition, "%.*s", static_cast<int>(message.size()), message.data());
}

} // namespace quetzal::testing

#endif
