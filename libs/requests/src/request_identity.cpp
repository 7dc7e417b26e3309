#include <quetzal/requests/request_identity.hpp>

#include <quetzal/base/digest.hpp>

#include "decimal.hpp"

namespace quetzal::requests {

namespace {

constexpr std::string_view prefix = "quetzal-";

// Separates these MACs from other MACs computed with the same secret.
constexpr std::string_view mac_purpose = "quetzal request identity 1\n";

std::string compute_mac(std::string_view secret, std::string_view text, const customer_id& customer)
{
    // The text contains no line break: instance names come from a verified identity or are covered
    // by the MAC comparison. The size and the separator delimit the text from the customer name.
    std::string input(mac_purpose);
    input += std::to_string(text.size());
    input += '\n';
    input += text;
    input += customer.name;
    return to_hex(keyed_mac(secret, input));
}

bool equal_macs(std::string_view first, std::string_view second)
{
    const auto bytes = [](std::string_view text) {
        return std::span(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
    };
    return equal_constant_time(bytes(first), bytes(second));
}

// Removes the last dash and the field after it from the text. Returns the field.
std::optional<std::string_view> remove_last_field(std::string_view& text)
{
    const auto dash = text.rfind('-');
    if (dash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto field = text.substr(dash + 1);
    text = text.substr(0, dash);
    return field;
}

std::optional<std::uint64_t> remove_last_number(std::string_view& text)
{
    const auto field = remove_last_field(text);
    return field ? internal::parse_decimal<std::uint64_t>(*field) : std::nullopt;
}

// Parses an identity without its MAC. Reads the fields from right to left, because only the
// instance name can contain dashes.
std::optional<request_identity> parse_payload(std::string_view text)
{
    const auto issued = remove_last_number(text);
    const auto sequence = remove_last_number(text);
    const auto process = remove_last_number(text);
    constexpr std::uint64_t max_issue_time_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(duration::max()).count();
    if (!issued || !sequence || !process || *issued > max_issue_time_ms ||
        !text.starts_with(prefix) || text.size() == prefix.size())
    {
        return std::nullopt;
    }
    return request_identity{instance_id(std::string(text.substr(prefix.size()))),
                            incarnation{*process}, *sequence,
                            time_point(std::chrono::milliseconds(*issued))};
}

tl::unexpected<failure> invalid_identity()
{
    return not_run(reason::invalid_request, "the request identity is not valid for this customer");
}

} // namespace

identity_authority::identity_authority(instance_id self, incarnation process,
                                       identity_secrets secrets)
    : self_(std::move(self)), process_(process), secrets_(std::move(secrets))
{
}

void identity_authority::set_secrets(identity_secrets secrets)
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
    return text + '-' + compute_mac(secrets_.current, text, customer);
}

result<request_identity> identity_authority::verify(std::string_view text,
                                                    const customer_id& customer) const
{
    if (text.size() > max_identity_size) {
        return invalid_identity();
    }
    const auto received_mac = remove_last_field(text);
    if (!received_mac) {
        return invalid_identity();
    }
    bool authentic = equal_macs(*received_mac, compute_mac(secrets_.current, text, customer));
    if (!authentic && secrets_.previous) {
        authentic = equal_macs(*received_mac, compute_mac(*secrets_.previous, text, customer));
    }
    if (!authentic) {
        return invalid_identity();
    }
    if (auto identity = parse_payload(text)) {
        return std::move(*identity);
    }
    return invalid_identity();
}

placement identity_authority::place(const request_identity& identity, const issuer_view& issuer,
                                    bool relayed) const
{
    if (identity.instance == self_ && identity.process == process_) {
        return run_here{};
    }
    const auto issuer_gone = [](std::string detail) {
        return may_have_run(reason::instance_gone, std::move(detail)).value();
    };
    if (identity.instance == self_) {
        return issuer_gone("the instance was restarted after it issued this identity");
    }
    if (relayed) {
        return issuer_gone(
            "the request was relayed to an instance that did not issue its identity");
    }
    if (issuer.process && *issuer.process != identity.process) {
        return issuer_gone("the instance that issued this identity was restarted");
    }
    if (!issuer.reachable) {
        return issuer_gone("the instance that issued this identity cannot be reached");
    }
    return relay_to{identity.instance, identity.process};
}

} // namespace quetzal::requests
