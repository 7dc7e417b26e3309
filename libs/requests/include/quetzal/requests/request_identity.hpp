#ifndef QUETZAL_REQUESTS_REQUEST_IDENTITY_HPP
#define QUETZAL_REQUESTS_REQUEST_IDENTITY_HPP

// Identities of requests: `quetzal-<instance>-<incarnation>-<sequence>-<issue time>-<mac>`. They
// make "at most once" possible without shared state, because only the incarnation that issued an
// identity runs a request under it.

#include <cstdint>
#include <optional>
#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/base/verdict.hpp>
#include <string>
#include <string_view>
#include <variant>

namespace quetzal::requests {

// Time after issue during which a request may start under an identity.
inline constexpr duration identity_validity = std::chrono::minutes(5);

inline constexpr std::size_t max_identity_size = 256; // bytes of text

// The checked content of an identity.
struct request_identity
{
    instance_id instance;
    incarnation process;
    std::uint64_t sequence = 0;
    // By the issuer's boot clock, in whole milliseconds. It means nothing at another instance.
    time_point issued{};

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads defaulted comparisons.
    friend auto operator<=>(const request_identity&, const request_identity&) = default;
};

// Secrets shared by all instances. Identities made with either are accepted during a rotation.
struct identity_secrets
{
    std::string current;
    std::optional<std::string> previous;
};

// This incarnation issued the identity and may run or attach to the request.
struct run_here
{
};

// Another instance issued it: pass the request on to that instance, once.
struct relay_to
{
    instance_id instance;
    incarnation process;
};

using placement = std::variant<run_here, relay_to, failure>;

// What this instance knows of the instance that issued an identity.
struct issuer_view
{
    bool reachable = false;             // listed, and not known to be unreachable
    std::optional<incarnation> process; // its present incarnation, when known
};

// Issues and checks identities for one incarnation. Not thread-safe for `issue`; queries may run
// concurrently with each other.
class identity_authority
{
public:
    identity_authority(instance_id self, incarnation process, identity_secrets secrets);

    // Returns the text of a new identity for one customer. The MAC covers the customer's name, so
    // the identity is worthless with any other customer's key. Open routes use an empty customer
    // name. The sequence number is never used again by this incarnation.
    std::string issue(const customer_id& customer, time_point now);

    // Replaces the secrets at a rotation.
    void use_secrets(identity_secrets secrets);

    // Checks the form and the MAC. The error is `invalid_request` and does not tell a forged
    // identity from another customer's. Its verdict is `not_run` because nothing can have run
    // under an identity that does not verify.
    result<request_identity> verify(std::string_view text, const customer_id& customer) const;

    // Decides where a request with a verified identity runs. `relayed` says that another instance
    // passed it on already; it is not passed on twice. The failure is `may_have_run` with
    // `instance_gone`. The age is judged by `request_table::submit` at the issuer alone.
    placement place(const request_identity& identity, const issuer_view& issuer,
                    bool relayed) const;

private:
    std::string signed_text(const request_identity& identity) const;

    instance_id self_;
    incarnation process_;
    identity_secrets secrets_;
    std::uint64_t next_sequence_ = 1;
};

} // namespace quetzal::requests

#endif
