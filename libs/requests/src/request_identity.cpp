#include <quetzal/requests/request_identity.hpp>

#include <quetzal/base/digest.hpp>

#include "decimal.hpp"

namespace quetzal::requests {

namespace {

constexpr std::string_view prefix = "quetzal-";

// Keeps these MACs apart from others made with the same secret.
constexpr std::string_view mac_purpose = "quetzal request identity 1\n";

std::string mac_of(std::string_view secret, std::string_view text, const customer_id& customer)
{
    // The text holds no line break: instance names come from an identity that verified, or are
    // compared under the MAC. The separator keeps text and customer apart.
    std::string input(mac_purpose);
    input += std::to_string(text.size());
    input += '\n';
    input += text;
    input += customer.name;
    return to_hex(keyed_mac(secret, input));
}

bool same(std::string_view first, std::string_view second)
{
    const auto bytes = [](std::string_view text) {
        return std::span(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
    };
    return equal_constant_time(bytes(first), bytes(second));
}

// Removes the last field, from the last dash on, and returns it.
std::optional<std::string_view> take_last(std::string_view& text)
{
    const auto dash = text.rfind('-');
    if (dash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto field = text.substr(dash + 1);
    text = text.substr(0, dash);
    return field;
}

std::optional<std::uint64_t> take_number(std::string_view& text)
{
    const auto field = take_last(text);
    return field ? internal::parse_decimal<std::uint64_t>(*field) : std::nullopt;
}

// Reads the fields from the right, because only the instance's name can hold dashes.
std::optional<request_identity> parse_unsigned(std::string_view text)
{
    const auto issued = take_number(text);
    const auto sequence = take_number(text);
    const auto process = take_number(text);
    constexpr std::uint64_t latest =
        std::chrono::duration_cast<std::chrono::milliseconds>(duration::max()).count();
    if (!issued || !sequence || !process || *issued > latest || !text.starts_with(prefix) ||
        text.size() == prefix.size())
    {
        return std::nullopt;
    }
    return request_identity{instance_id(std::string(text.substr(prefix.size()))),
                            incarnation{*process}, *sequence,
                            time_point(std::chrono::milliseconds(*issued))};
}

tl::unexpected<failure> invalid()
{
    return not_run(reason::invalid_request, "the request identity is not valid for this customer");
}

} // namespace

identity_authority::identity_authority(instance_id self, incarnation process,
                                       identity_secrets secrets)
    : self_(std::move(self)), process_(process), secrets_(std::move(secrets))
{
}

void identity_authority::use_secrets(identity_secrets secrets)
{
    secrets_ = std::move(secrets);
}

std::string identity_authority::signed_text(const request_identity& identity) const
{
    const auto issued =
        std::chrono::duration_cast<std::chrono::milliseconds>(identity.issued.time_since_epoch());
    return std::string(prefix) + identity.instance.name + '-' +
           std::to_string(identity.process.value) + '-' + std::to_string(identity.sequence) + '-' +
           std::to_string(issued.count());
}

std::string identity_authority::issue(const customer_id& customer, time_point now)
{
    std::string text = signed_text({self_, process_, next_sequence_++, now});
    return text + '-' + mac_of(secrets_.current, text, customer);
}

result<request_identity> identity_authority::verify(std::string_view text,
                                                    const customer_id& customer) const
{
    if (text.size() > max_identity_size) {
        return invalid();
    }
    const auto given = take_last(text);
    if (!given) {
        return invalid();
    }
    bool authentic = same(*given, mac_of(secrets_.current, text, customer));
    if (!authentic && secrets_.previous) {
        authentic = same(*given, mac_of(*secrets_.previous, text, customer));
    }
    if (!authentic) {
        return invalid();
    }
    if (auto identity = parse_unsigned(text)) {
        return std::move(*identity);
    }
    return invalid();
}

placement identity_authority::place(const request_identity& identity, const issuer_view& issuer,
                                    bool relayed) const
{
    if (identity.instance == self_ && identity.process == process_) {
        return run_here{};
    }
    const auto gone = [](std::string detail) {
        return may_have_run(reason::instance_gone, std::move(detail)).value();
    };
    if (identity.instance == self_) {
        return gone("the instance was restarted after it issued this identity");
    }
    if (relayed) {
        return gone("the request was relayed to an instance that did not issue its identity");
    }
    if (issuer.process && *issuer.process != identity.process) {
        return gone("the instance that issued this identity was restarted");
    }
    if (!issuer.reachable) {
        return gone("the instance that issued this identity cannot be reached");
    }
    return relay_to{identity.instance, identity.process};
}

} // namespace quetzal::requests
