#include <sys/resource.h>

#include <quetzal/base/random.hpp>
#include <quetzal/peer/codec.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::peer;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const key_ring keys{{7, "current secret"}, {6, "previous secret"}};

received_message sample_message()
{
    renew_grant grant;
    grant.sequence = 9;
    grant.lease = std::chrono::milliseconds(2500);
    grant.refused.push_back({3, refused_partition::cause::outranked});
    return {instance_id("q-1"), incarnation{42}, grant};
}

// Returns a signed datagram with this encoded body.
std::string sign_datagram(const std::string& body)
{
    std::string datagram("qz");
    datagram += static_cast<char>(format_version);
    datagram += static_cast<char>(keys.current.id);
    const mac signature = keyed_mac(keys.current.secret, datagram + body);
    datagram.append(reinterpret_cast<const char*>(signature.data()), signature.size());
    return datagram + body;
}

long peak_memory() // KiB
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

} // namespace

// Guards against accepting datagrams that are not authentic, and against crashes on malformed ones.
Test(codec, only_authentic_datagrams_are_decoded)
{
    const std::string datagram = encode(sample_message(), keys);
    section("an authentic datagram is decoded", [&] {
        const auto decoded = decode(datagram, keys);
        check(decoded.has_value(), "the datagram is decoded");
        check(decoded->from == instance_id("q-1"), "the sender is the same");
        const auto& grant = std::get<renew_grant>(decoded->body);
        check(grant.lease == std::chrono::milliseconds(2500), "the lease is the same");
        check(grant.refused.size() == 1 && grant.refused[0].partition == 3,
              "the refused partitions are the same");
    });
    section("the previous key is accepted during a key rotation and rejected after it", [&] {
        const key_ring next{{8, "next secret"}, keys.current};
        const key_ring later{{9, "later secret"}, next.current};
        check(decode(datagram, next).has_value(), "the previous key is accepted");
        check(decode(datagram, later).error() == drop_cause::unknown_key,
              "the retired key is unknown");
    });
    section("every modified or truncated datagram is dropped before it is decoded", [&] {
        for (std::size_t position = 0; position < datagram.size(); ++position) {
            std::string changed = datagram;
            changed[position] = static_cast<char>(changed[position] ^ 1);
            check(!decode(changed, keys), "a datagram with one changed bit is dropped");
            check(!decode(datagram.substr(0, position), keys), "a truncated datagram is dropped");
        }
    });
    section("a signed body of random bytes never crashes the decoder", [&] {
        random_source random(1);
        for (int round = 0; round < 2000; ++round) {
            std::string body(random.below(64), '\0');
            for (auto& byte : body) {
                byte = static_cast<char>(random());
            }
            static_cast<void>(decode(sign_datagram(body), keys));
        }
    });
    section("a signed count beyond the body is rejected before memory is allocated for it", [&] {
        const long before = peak_memory();
        const std::string gibibyte("\x01\0\0\0\x40\0\0\0\0", 9); // little endian, size of a name
        check(decode(sign_datagram(gibibyte), keys).error() == drop_cause::undecodable,
              "the count is rejected");
        check(peak_memory() - before < 64 * 1024, "peak memory grows by less than 64 MiB");
    });
}
