#include <quetzal/base/random.hpp>
#include <quetzal/peer/transfer.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::peer;
using quetzal::testing::check;
using quetzal::testing::section;

// Guards against accepting frames that are not authentic, against reading a body of unlimited size,
// and against crashes on malformed frames.
Test(transfer, only_authentic_frames_are_decoded)
{
    const key_ring keys{{7, "current secret"}, {6, "previous secret"}};
    chunks_answer answer{document::instance_list, {{chunk_hash{1, 2}, "bytes"}}};
    const std::string frame = encode_frame(answer, keys);
    section("an authentic frame is decoded", [&] {
        check(frame_body_size(frame.substr(0, transfer_header_size)) ==
                  frame.size() - transfer_header_size,
              "the header gives the size of the body");
        const auto decoded = decode_frame(frame, keys);
        check(decoded.has_value(), "the frame is decoded");
        const auto& chunks = std::get<chunks_answer>(*decoded);
        check(chunks.kind == document::instance_list && chunks.chunks[0].bytes == "bytes" &&
                  chunks.chunks[0].hash == chunk_hash{1, 2},
              "the chunks are the same");
    });
    section("a manifest is the same after encoding and decoding", [&] {
        const manifest description{5, sha256("x"), {{chunk_hash{3}, 9}}};
        const auto decoded =
            decode_frame(encode_frame(manifest_answer{{}, description}, keys), keys);
        check(std::get<manifest_answer>(*decoded).description == description,
              "the manifests are equal");
    });
    section("every modified, truncated or extended frame is dropped", [&] {
        for (std::size_t position = 0; position < frame.size(); ++position) {
            std::string changed = frame;
            changed[position] = static_cast<char>(changed[position] ^ 1);
            check(!decode_frame(changed, keys), "a frame with one changed bit is dropped");
            check(!decode_frame(frame.substr(0, position), keys), "a truncated frame is dropped");
        }
        check(!decode_frame(frame + "x", keys), "a frame with an extra byte is dropped");
    });
    section("a header with a too large body size is rejected before the body is read", [&] {
        std::string header = frame.substr(0, transfer_header_size);
        header[4] = 1;
        check(frame_body_size(header).error() == drop_cause::undecodable,
              "a body of 16 MiB is rejected");
    });
    section("a signed body of random bytes never crashes the decoder", [&] {
        random_source random(1);
        for (int round = 0; round < 2000; ++round) {
            std::string body(random.below(64), '\0');
            for (auto& byte : body) {
                byte = static_cast<char>(random());
            }
            std::string prefix{
                'q', 't', static_cast<char>(format_version), static_cast<char>(keys.current.id), 0,
                0,   0,   static_cast<char>(body.size())};
            const mac signature = keyed_mac(keys.current.secret, prefix + body);
            prefix.append(reinterpret_cast<const char*>(signature.data()), signature.size());
            static_cast<void>(decode_frame(prefix + body, keys));
        }
    });
}
