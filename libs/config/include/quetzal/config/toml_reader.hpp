#ifndef QUETZAL_CONFIG_TOML_READER_HPP
#define QUETZAL_CONFIG_TOML_READER_HPP

// Strict reader for TOML tables. Unlike the JSON reader, which stops at the first error, it
// collects all errors with their positions, because people edit settings files by hand.

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <quetzal/base/time.hpp>
#include <quetzal/config/settings.hpp>

// toml++ 3.3 asserts that a key follows the "[" of a table header and only then reports a missing
// key as an error, so a file with "[=]" would abort the process. With NDEBUG the failed assertion
// would be undefined behaviour. The lines below turn off both.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(condition) static_assert(true)
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

namespace quetzal::config {

// Collects the errors of one file.
class settings_errors
{
public:
    explicit settings_errors(std::string file) : file_(std::move(file)) {}

    void report(const toml::source_position& where, std::string name, std::string expected);

    bool empty() const noexcept { return errors_.empty(); }

    // Returns the errors in the order of their positions.
    std::vector<settings_error> sorted() const;

private:
    std::string file_;
    std::vector<settings_error> errors_;
};

// Reads the members of one table. If the table is absent, the reader returns the defaults.
class toml_reader
{
public:
    // `table` may be null. `fallback_position` is used for errors about missing names.
    toml_reader(const toml::table* table, std::string path, toml::source_position fallback_position,
                settings_errors& errors);

    // Read required members. If one is missing or invalid, they report an error and return an empty
    // value or `low`.
    std::string text(std::string_view name);
    std::string name(std::string_view member_name); // must satisfy the rule for names of entities
    std::uint64_t integer(std::string_view name, std::uint64_t low, std::uint64_t high);

    // Read optional members. They return `fallback` if the member is absent, and report an error
    // and return a default value if it is invalid.
    std::uint64_t integer_or(std::string_view name, std::uint64_t low, std::uint64_t high,
                             std::uint64_t fallback);
    std::uint64_t bytes_or(std::string_view name, std::uint64_t low, std::uint64_t high,
                           std::uint64_t fallback);
    // Accepts an integer or a floating-point number.
    double number_or(std::string_view name, double low, double high, double fallback);
    duration time_or(std::string_view name, duration low, duration high, duration fallback);
    // Returns the strings of an array; empty if the member is absent.
    std::vector<std::string> texts(std::string_view name);
    std::size_t choice_or(std::string_view name, std::initializer_list<std::string_view> choices,
                          std::size_t fallback);

    // Returns a reader for a nested table.
    toml_reader section(std::string_view name, bool required);

    // Marks an optional member as known, so that `finish` does not report it.
    void allow(std::string_view name) { read_names_.emplace(name); }

    // Returns whether the member is present.
    bool has(std::string_view name) const { return table_ != nullptr && table_->contains(name); }

    // Reports an error in the value of a member.
    void report(std::string_view name, std::string expected);

    // Reports every member that was neither read nor marked as known.
    void finish();

private:
    const toml::node* member(std::string_view name, bool required);
    std::string path_of(std::string_view name) const;

    const toml::table* table_;
    std::string path_;
    toml::source_position fallback_position_;
    settings_errors& errors_;
    std::set<std::string, std::less<>> read_names_;
};

} // namespace quetzal::config

#endif
