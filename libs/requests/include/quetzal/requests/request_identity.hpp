#ifndef QUETZAL_REQUESTS_REQUEST_IDENTITY_HPP
#define QUETZAL_REQUESTS_REQUEST_IDENTITY_HPP

// Request identities: `quetzal-<instance>-<incarnation>-<sequence>-<issue time>-<mac>`. They allow
// at-most-once execution without shared state, because only the incarnation that issued an identity
// runs a request under that identity.

#include <cstdint>
#include <optional>
#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/base/verdict.hpp>
#include <string>
#include <string_view>
#include <variant>

namespace quetzal::requests {

// How long after its issue an identity may be used to start a request.
inline constexpr duration identity_validity = std::chrono::minutes(5);

inline constexpr std::size_t max_identity_size = 256; // bytes

// The content of an identity.
struct request_identity
{
    instance_id instance;
    incarnation process;
    std::uint64_t sequence = 0;
    // Read from the issuer's boot clock, in whole milliseconds. Not comparable at other instances.
    time_point issued{};

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 flags defaulted comparisons.
    friend auto operator<=>(const request_identity&, const request_identity&) = default;
};

// Secrets shared by all instances. During a rotation, identities signed with either secret are
// accepted.
struct identity_secrets
{
    std::string current;
    std::optional<std::string> previous;
};

// This incarnation issued the identity and may run the request or attach to it.
struct run_here
{
};

// Another instance issued the identity: relay the request to that instance, at most once.
struct relay_to
{
    instance_id instance;
    incarnation process;
};

using placement = std::variant<run_here, relay_to, failure>;

// What this instance knows about the instance that issued an identity.
struct issuer_view
{
    bool reachable = false;             // in the instance list and not known to be unreachable
    std::optional<incarnation> process; // its current incarnation, if known
};

// Issues and verifies identities for one incarnation. `const` member functions may run concurrently
// with each other; `issue` and `set_secrets` need exclusive access.
class identity_authority
{
public:
    identity_authority(instance_id self, incarnation process, identity_secrets secrets);

    // Returns the text of a new identity for one customer. The MAC covers the customer's name, so
    // the identity does not verify with any other customer's key. Open routes use an empty customer
    // name. This incarnation never reuses the sequence number.
    std::string issue(const customer_id& customer, time_point now);

    // Replaces the secrets, as part of a rotation.
    void set_secrets(identity_secrets secrets);

    // Checks the format and the MAC. The error is `invalid_request` and does not distinguish a
    // forged identity from another customer's. Its verdict is `not_run` because nothing can have
    // run under an identity that does not verify.
    result<request_identity> verify(std::string_view text, const customer_id& customer) const;

    // Decides where a request with a verified identity runs. `relayed` is set if another instance
    // has relayed the request already; it is not relayed again. The failure is `may_have_run` with
    // `instance_gone`. Only the issuer checks the age of the identity, in `request_table::submit`.
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
