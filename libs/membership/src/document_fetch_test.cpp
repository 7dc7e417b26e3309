#include <string>

#include <quetzal/base/random.hpp>
#include <quetzal/membership/transfer.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::membership;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

constexpr document kind = document::configuration;
const peer::key_ring ring{{1, "0123456789abcdef"}, {}};

std::string random_text(std::size_t size, std::uint64_t seed)
{
    random_source random(seed);
    std::string text(size, '\0');
    for (auto& byte : text) {
        byte = static_cast<char>(random());
    }
    return text;
}

struct outcome
{
    std::optional<document_fetched> fetched;
    std::string failure;
    std::size_t bytes = 0; // size of all frames
    std::size_t rounds = 0;
};

// Runs a fetch over encoded frames. `change` may modify each answer.
template <class Change>
outcome run(document_fetch& fetch, const config::chunk_store& source, Change change)
{
    outcome result;
    fetch_step step = fetch.begin();
    while (const auto* request = std::get_if<send_request>(&step)) {
        const std::string asked = peer::encode_frame(request->request, ring);
        auto answer = answer_transfer(source, *peer::decode_frame(asked, ring));
        check(answer.has_value(), "the request is answered");
        change(*answer);
        const std::string frame = peer::encode_frame(*answer, ring);
        check(frame.size() <= peer::transfer_header_size + peer::max_frame_body,
              "the frame is within the size limit");
        result.bytes += asked.size() + frame.size();
        ++result.rounds;
        step = fetch.on_message(*peer::decode_frame(frame, ring));
    }
    if (auto* done = std::get_if<document_fetched>(&step)) {
        result.fetched = std::move(*done);
    } else {
        result.failure = std::get<fetch_failed>(step).cause;
    }
    return result;
}

constexpr auto unchanged = [](peer::transfer_message&) {};

} // namespace

// Guards against a follower that cannot fetch a version, fetches the whole document for a small
// change, or accepts corrupt or wrong content.
Test(document_fetch, fetches_changed_chunks_and_verifies_the_digest)
{
    const std::string previous = random_text(1'000'000, 1);
    std::string next = previous;
    next.insert(500'000, "changed");
    config::chunk_store source;
    source.put(kind, 2, next);
    section("without a previous version the whole document is fetched", [&] {
        config::chunk_store store;
        document_fetch fetch(store, kind, 2);
        const auto result = run(fetch, source, unchanged);
        check(result.fetched && result.fetched->text == next && result.fetched->version == 2,
              result.failure);
        check(result.rounds <= 8, std::to_string(result.rounds) + " rounds");
    });
    config::chunk_store store;
    store.put(kind, 1, previous);
    section("with the previous version only changed chunks are fetched", [&] {
        document_fetch fetch(store, kind, 2);
        const auto result = run(fetch, source, unchanged);
        check(result.fetched && result.fetched->text == next, result.failure);
        check(result.bytes < 40'000, std::to_string(result.bytes) + " bytes");
    });
    section("a peer that has only a lower version fails the fetch", [&] {
        document_fetch fetch(store, kind, 3);
        check(run(fetch, source, unchanged).failure == "the peer has version 2 instead of 3",
              "the failure names both versions");
    });
    section("corrupt chunks, unrequested chunks and a wrong digest fail the fetch", [&] {
        store.put(kind, 1, previous);
        document_fetch fetch(store, kind, 2);
        const auto changed = run(fetch, source, [](peer::transfer_message& answer) {
            if (auto* chunks = std::get_if<peer::chunks_answer>(&answer)) {
                chunks->chunks.at(0).bytes[0] ^= 1;
            }
        });
        check(changed.failure ==
                  "a received chunk does not match the manifest or exceeds the size limit",
              changed.failure);
        document_fetch more(store, kind, 2);
        const auto unasked = run(more, source, [](peer::transfer_message& answer) {
            if (auto* chunks = std::get_if<peer::chunks_answer>(&answer)) {
                chunks->chunks.insert(chunks->chunks.begin(), {chunk_hash{1}, "x"});
            }
        });
        check(unasked.failure == "received a chunk that was not requested", unasked.failure);
        document_fetch other(store, kind, 2);
        const auto digest = run(other, source, [](peer::transfer_message& answer) {
            if (auto* described = std::get_if<peer::manifest_answer>(&answer)) {
                described->description.document_digest[0] ^= 1;
            }
        });
        check(!digest.fetched && !digest.failure.empty(), digest.failure);
    });
    section("if the peer drops the version during the fetch, received chunks are kept for the next "
            "fetch",
            [&] {
                store.put(kind, 1, previous);
                config::chunk_store moving;
                moving.put(kind, 2, random_text(400'000, 2));
                document_fetch fetch(store, kind, 2);
                std::size_t answers = 0;
                const auto result = run(fetch, moving, [&](peer::transfer_message& answer) {
                    if (auto* chunks = std::get_if<peer::chunks_answer>(&answer);
                        chunks && ++answers > 1) {
                        chunks->chunks.clear();
                    }
                });
                check(result.failure == "the peer no longer has the requested chunks",
                      result.failure);
                document_fetch again(store, kind, 2);
                const auto resumed = run(again, moving, unchanged);
                check(resumed.fetched && resumed.bytes < 300'000, std::to_string(resumed.bytes));
            });
    section("oversized requests and unexpected messages are rejected", [&] {
        peer::chunks_request many{kind, {}};
        many.wanted.resize(peer::max_chunks_per_request + 1);
        check(!answer_transfer(source, many), "a request for too many chunks is rejected");
        check(!answer_transfer(source, peer::chunks_answer{}),
              "an answer in place of a request is rejected");
        check(!answer_transfer(source, peer::manifest_request{static_cast<document>(7)}),
              "an unknown kind of document is rejected");
        document_fetch fetch(store, kind, 2);
        fetch.begin();
        check(std::holds_alternative<fetch_failed>(fetch.on_message(peer::chunks_answer{kind, {}})),
              "chunks before the manifest fail the fetch");
    });
}
