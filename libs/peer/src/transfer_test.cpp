#include <quetzal/base/random.hpp>
#include <quetzal/peer/transfer.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::peer;
using quetzal::testing::check;
using quetzal::testing::section;

// Guards against accepting frames of strangers, against reading a body of any size, and against a
// crash on malformed frames.
Test(transfer, only_authentic_frames_are_decoded)
{
    const key_ring ring{{7, "current secret"}, {6, "previous secret"}};
    chunks_answer answer{document::instance_list, {{chunk_hash{1, 2}, "bytes"}}};
    const std::string frame = encode_frame(answer, ring);
    section("given an authentic frame", [&] {
        check(frame_body_size(frame.substr(0, transfer_header_size)) ==
                  frame.size() - transfer_header_size,
              "the header gives the size of the body");
        const auto decoded = decode_frame(frame, ring);
        check(decoded.has_value(), "it decodes");
        const auto& chunks = std::get<chunks_answer>(*decoded);
        check(chunks.kind == document::instance_list && chunks.chunks[0].bytes == "bytes" &&
                  chunks.chunks[0].hash == chunk_hash{1, 2},
              "content");
    });
    section("a manifest survives the round trip", [&] {
        const manifest description{5, sha256("x"), {{chunk_hash{3}, 9}}};
        const auto decoded =
            decode_frame(encode_frame(manifest_answer{{}, description}, ring), ring);
        check(std::get<manifest_answer>(*decoded).description == description, "equal");
    });
    section("every changed, cut or prolonged frame is dropped", [&] {
        for (std::size_t position = 0; position < frame.size(); ++position) {
            std::string changed = frame;
            changed[position] = static_cast<char>(changed[position] ^ 1);
            check(!decode_frame(changed, ring), "one bit changed");
            check(!decode_frame(frame.substr(0, position), ring), "cut");
        }
        check(!decode_frame(frame + "x", ring), "prolonged");
    });
    section("a header that announces too much is refused before the body is read", [&] {
        std::string header = frame.substr(0, transfer_header_size);
        header[4] = 1;
        check(frame_body_size(header).error() == drop_cause::undecodable, "16 MiB");
    });
    section("a signed body of random bytes never crashes the decoder", [&] {
        random_source random(1);
        for (int round = 0; round < 2000; ++round) {
            std::string body(random.below(64), '\0');
            for (auto& byte : body) {
                byte = static_cast<char>(random());
            }
            std::string prefix{
                'q', 't', static_cast<char>(format_version), static_cast<char>(ring.current.id), 0,
                0,   0,   static_cast<char>(body.size())};
            const mac signature = keyed_mac(ring.current.secret, prefix + body);
            prefix.append(reinterpret_cast<const char*>(signature.data()), signature.size());
            static_cast<void>(decode_frame(prefix + body, ring));
        }
    });
}
