#include <sys/resource.h>

#include <quetzal/base/random.hpp>
#include <quetzal/peer/codec.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::peer;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const key_ring ring{{7, "current secret"}, {6, "previous secret"}};

received sample()
{
    renew_grant grant;
    grant.sequence = 9;
    grant.lease = std::chrono::milliseconds(2500);
    grant.refused.push_back({3, refused_partition::cause::not_first});
    return {instance_id("q-1"), incarnation{42}, grant};
}

// Signs a body as it is.
std::string signed_datagram(const std::string& body)
{
    std::string datagram("qz");
    datagram += static_cast<char>(format_version);
    datagram += static_cast<char>(ring.current.id);
    const mac signature = keyed_mac(ring.current.secret, datagram + body);
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

// Guards against accepting datagrams of strangers, and against a crash on malformed ones.
Test(codec, only_authentic_datagrams_are_decoded)
{
    const std::string datagram = encode(sample(), ring);
    section("given an authentic datagram", [&] {
        const auto decoded = decode(datagram, ring);
        check(decoded.has_value(), "it decodes");
        check(decoded->from == instance_id("q-1"), "sender");
        const auto& grant = std::get<renew_grant>(decoded->body);
        check(grant.lease == std::chrono::milliseconds(2500), "lease");
        check(grant.refused.size() == 1 && grant.refused[0].partition == 3, "refused partitions");
    });
    section("during a rotation the former key is accepted, after it no more", [&] {
        const key_ring next{{8, "next secret"}, ring.current};
        const key_ring later{{9, "later secret"}, next.current};
        check(decode(datagram, next).has_value(), "former key");
        check(decode(datagram, later).error() == drop_cause::unknown_key, "retired key");
    });
    section("every changed or cut datagram is dropped before it is decoded", [&] {
        for (std::size_t position = 0; position < datagram.size(); ++position) {
            std::string changed = datagram;
            changed[position] = static_cast<char>(changed[position] ^ 1);
            check(!decode(changed, ring), "one bit changed");
            check(!decode(datagram.substr(0, position), ring), "cut");
        }
    });
    section("a signed body of random bytes never crashes the decoder", [&] {
        random_source random(1);
        for (int round = 0; round < 2000; ++round) {
            std::string body(random.below(64), '\0');
            for (auto& byte : body) {
                byte = static_cast<char>(random());
            }
            static_cast<void>(decode(signed_datagram(body), ring));
        }
    });
    section("a signed count beyond the body is refused before memory is taken for it", [&] {
        const long before = peak_memory();
        const std::string gibibyte("\x01\0\0\0\x40\0\0\0\0", 9); // little endian, size of a name
        check(decode(signed_datagram(gibibyte), ring).error() == drop_cause::undecodable, "count");
        check(peak_memory() - before < 64 * 1024, "memory");
    });
}
