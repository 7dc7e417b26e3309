// Tests the messages between instances against malformed bytes.

#include <quetzal/base/random.hpp>
#include <quetzal/gateway/peer_link.hpp>
#include <quetzal/testing/endless_server.hpp>
#include <quetzal/testing/section.hpp>

#include "peer_codec.hpp"

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::memory_growth;
using quetzal::testing::section;

namespace {

constexpr std::size_t growth_limit_kib = 4u << 10;

heartbeat sample_heartbeat()
{
    heartbeat message;
    message.sender.record.address = "10.0.0.1";
    message.sender.record.zone = "zone-a";
    message.sender.record.role = "stages/zone-a";
    for (int number = 0; number < 32; ++number) {
        aged_record other = message.sender;
        other.record.address = "10.0.1." + std::to_string(number);
        other.age_ms = 100;
        message.others.push_back(other);
    }
    message.wants_reply = true;
    return message;
}

peer_message sample_submission()
{
    stage_job job;
    job.request_id = "r";
    job.stages.push_back({"s", {0, 1}, 1500000, 4});
    return job_submission{{5, 7, 1}, "zone-a", job};
}

} // namespace

// Guards against a decoder that does not read what the encoder writes.
Test(peer_codec, messages_are_read_as_they_were_written)
{
    const auto beat = internal::decode<heartbeat>(internal::encode(sample_heartbeat()));
    check(beat && beat->others.size() == 32 && beat->others[31].record.address == "10.0.1.31" &&
              beat->sender.record.role == "stages/zone-a" && beat->wants_reply,
          "a heartbeat is complete");
    const auto message = internal::decode<peer_message>(internal::encode(sample_submission()));
    const auto* submission = message ? std::get_if<job_submission>(&*message) : nullptr;
    check(submission != nullptr && submission->id == submission_id{5, 7, 1} &&
              submission->share == "zone-a" &&
              submission->job.stages.front().after == std::vector<std::uint32_t>{0, 1} &&
              submission->job.stages.front().result_size == 1500000,
          "a submission is complete");
}

namespace {

template <class Message>
Message decode_as(const std::string& bytes)
{
    auto message = internal::decode<peer_message>(bytes);
    check(message && std::holds_alternative<Message>(*message), "the message is decoded");
    return message && std::holds_alternative<Message>(*message) ? std::get<Message>(*message)
                                                                : Message{};
}

// Returns the message as an instance of a former commit sends it: without its last fields.
std::string without_fields(const peer_message& message, std::size_t fields)
{
    std::string bytes = internal::encode(message);
    bytes.resize(bytes.size() - fields * sizeof(std::uint64_t));
    return bytes;
}

} // namespace

// Guards against a rolling replace in which instances cannot read each other's messages because
// only some of them send the era.
Test(peer_codec, the_era_is_appended_to_former_messages)
{
    document_changes changes;
    changes.after = 3;
    changes.position = {6, 9};
    changes.uncertain = true;
    changes.doubt_ms = 700;
    const document_subscription subscription{named_position({6, 9})};
    const snapshot_request request{named_position({6, 9}), 4};
    const document_snapshot snapshot{{6, 9}, {{"k", "v", 2}}, 800};
    section("given messages with an era", [&] {
        const auto changed = decode_as<document_changes>(internal::encode(peer_message(changes)));
        check(changed.position == changes.position && changed.doubt_ms == 700, "changes");
        check(decode_as<document_subscription>(internal::encode(peer_message(subscription)))
                      .known.position(1) == document_position{6, 9},
              "a subscription");
        const auto read = decode_as<snapshot_request>(internal::encode(peer_message(request)));
        check(read.newer_than.position(1) == document_position{6, 9} && read.configuration == 4,
              "a request");
        const auto all = decode_as<document_snapshot>(internal::encode(peer_message(snapshot)));
        check(all.position == snapshot.position && all.doubt_ms == 800, "a snapshot");
    });
    section("given messages of instances that send none", [&] {
        const auto read = decode_as<document_changes>(without_fields(changes, 2));
        check(read.position == document_position{0, 9} && read.uncertain && !read.doubt_ms,
              "changes");
        check(decode_as<document_subscription>(without_fields(subscription, 1)).known.position(6) ==
                  document_position{6, 9},
              "a subscription is answered by its revision");
        const auto asked = decode_as<snapshot_request>(without_fields(request, 2));
        check(asked.newer_than.position(6) == document_position{6, 9} && !asked.configuration,
              "so is a request");
        const auto sent = decode_as<document_snapshot>(without_fields(snapshot, 2));
        check(sent.position == document_position{0, 9} && sent.documents.size() == 1 &&
                  !sent.doubt_ms,
              "a snapshot");
    });
    section("given heartbeats", [] {
        heartbeat beat = sample_heartbeat();
        beat.sender.record.position = {6, 9};
        beat.others[31].record.position = {7, 8};
        std::string bytes = internal::encode(beat);
        const auto read = internal::decode<heartbeat>(bytes);
        check(read && read->sender.record.position == document_position{6, 9} &&
                  read->others[31].record.position == document_position{7, 8},
              "each record has its era");
        bytes.resize(bytes.size() - (1 + 33) * sizeof(std::uint64_t));
        const auto former = internal::decode<heartbeat>(bytes);
        check(former && former->others.size() == 32 && former->wants_reply &&
                  former->sender.record.position == document_position{0, 9},
              "one without eras is read");
    });
}

// Guards against one datagram or message whose counts make the process allocate all its memory.
Test(peer_codec, announced_counts_are_bounded_by_the_bytes, .timeout = 60)
{
    const std::string beat = internal::encode(sample_heartbeat());
    const std::string submission = internal::encode(sample_submission());
    const memory_growth growth;
    for (const std::string& bytes : {beat, submission}) {
        for (std::size_t at = 0; at + 8 <= bytes.size(); ++at) {
            std::string malformed = bytes;
            // 100 million, as a count of 8 bytes.
            malformed.replace(at, 8, std::string("\x00\xe1\xf5\x05\x00\x00\x00\x00", 8));
            (void)internal::decode<heartbeat>(malformed);
            (void)internal::decode<peer_message>(malformed);
        }
    }
    check(growth.kib() < growth_limit_kib,
          "memory stays bounded: " + std::to_string(growth.kib()) + " KiB");
}

// Guards against bytes that are read beyond their end or end the process.
Test(peer_codec, malformed_bytes_are_dropped, .timeout = 60)
{
    random_source random(1);
    constexpr int rounds = 20000;
    const std::string beat = internal::encode(sample_heartbeat());
    const std::string submission = internal::encode(sample_submission());
    section("bytes that are changed or cut off", [&] {
        for (int round = 0; round < rounds; ++round) {
            std::string bytes = random.below(2) == 0 ? beat : submission;
            for (std::uint64_t changes = random.below(4); changes > 0; --changes) {
                bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
            }
            bytes.resize(random.below(bytes.size() + 1));
            (void)internal::decode<heartbeat>(bytes);
            (void)internal::decode<peer_message>(bytes);
        }
    });
    check(!internal::decode<heartbeat>(""), "nothing is no message");
    check(!internal::decode<heartbeat>(beat.substr(0, beat.size() / 2)), "half of one is none");
}
