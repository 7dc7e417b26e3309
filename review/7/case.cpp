// A replica breaks off in the middle of an event of a stream: the last bytes of the event never
// come, and its server ends the body as HTTP wants it.

#include <cstdio>

#include "../standins-2/installation.hpp"

using namespace quetzal::review;

namespace {

constexpr int events = 8;
constexpr int broken_event = 5;
constexpr int streams = 400;
constexpr int requester_count = 8;
constexpr int faulty_share = 20; // the faulty replica breaks off one of so many streams

std::string event_text(int number)
{
    return "id: " + std::to_string(number) + "\ndata: colour " + std::to_string(number) +
           " of the course marking\n\n";
}

std::string chunk(const std::string& bytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        return 2;
    }
    record log(argv[1]);
    const std::string folder = argv[2];
    const bool trouble = with_trouble();
    store_standin store(network() + "1", instance_ports{}.store, log);
    std::atomic<int> served{0};
    std::mutex mutex;
    std::set<std::string> broken; // requests whose stream was broken off
    const auto run_stream = [&](bool faulty) {
        return [&, faulty](replica& self, connection& caller, const message& request) {
            const std::size_t number = self.begin_run(request);
            const std::string id = request.header(names().request_id);
            const bool breaks = faulty && served++ % faulty_share == 0;
            const std::string resumed = request.header(names().last_event_id);
            const int first = resumed.empty() ? 1 : std::atoi(resumed.c_str()) + 1;
            bool open =
                caller.write(self.response_head(request) + "Content-Type: text/event-stream\r\n"
                                                           "Transfer-Encoding: chunked\r\n\r\n");
            for (int event = first; event <= events && open; ++event) {
                sleep_ms(20);
                const std::string text = event_text(event);
                if (breaks && event == broken_event) {
                    {
                        const std::lock_guard lock(mutex);
                        broken.insert(id);
                    }
                    log.write("replica " + self.id() + " breaks off request " + id +
                              " inside event " + std::to_string(event));
                    open = caller.write(chunk(text.substr(0, text.size() / 2)));
                    break;
                }
                open = caller.write(chunk(text));
            }
            self.end_run(number);
            return open && caller.write("0\r\n\r\n");
        };
    };
    replica first("i-first", "pool", "zone-a", network() + "2", log, run_stream(trouble));
    replica second("i-second", "pool", "zone-b", network() + "3", log, run_stream(false));
    store.put("op/config", configuration(1, "pool"));
    store.put("servers/" + first.id(), first.entry());
    store.put("servers/" + second.id(), second.entry());
    std::vector<std::unique_ptr<instance>> instances;
    const std::vector<std::string> seeds{network() + "10", network() + "11"};
    for (std::size_t index = 0; index < seeds.size(); ++index) {
        instances.push_back(std::make_unique<instance>(
            "front-" + std::to_string(index), index == 0 ? "zone-a" : "zone-b", seeds[index],
            network() + "1", seeds, folder));
        instances.back()->start();
    }
    if (!wait_ready(instances, 10000)) {
        log.write("the instances are not ready");
        return 2;
    }
    std::string whole;
    for (int event = 1; event <= events; ++event) {
        whole += event_text(event);
    }
    std::atomic<int> wrong{0};
    std::atomic<int> complete{0};
    std::atomic<int> cut{0};
    const auto ask = [&](int number) {
        const std::string route = number % 2 == 0 ? "/stream/" : "/resume/";
        const std::string id = "a5" + std::to_string(1000 + number);
        const response answer = send_request(
            seeds[static_cast<std::size_t>(number / 2) % seeds.size()], instance_ports{}.callers,
            "POST", route + "chat", host_name, id, {}, "prompt", 6000);
        const bool ends_complete = answer.status == 200 && answer.content.complete;
        const bool is_whole = answer.content.body == whole;
        complete += ends_complete && is_whole ? 1 : 0;
        cut += ends_complete ? 0 : 1;
        wrong += ends_complete && !is_whole ? 1 : 0;
        log.write("request " + id + " on " + route + ": status " + std::to_string(answer.status) +
                  (ends_complete ? ", complete, " : ", not complete, ") +
                  std::to_string(answer.content.body.size()) + " of " +
                  std::to_string(whole.size()) + " bytes");
    };
    std::vector<std::thread> requesters;
    requesters.reserve(requester_count);
    for (int requester = 0; requester < requester_count; ++requester) {
        requesters.emplace_back([&, requester] {
            for (int number = requester; number < streams; number += requester_count) {
                ask(number);
            }
        });
    }
    for (auto& requester : requesters) {
        requester.join();
    }
    log.write(std::to_string(complete.load()) + " streams whole, " + std::to_string(cut.load()) +
              " not complete, " + std::to_string(wrong.load()) +
              " end as complete before their last piece; the replica broke off " +
              std::to_string(broken.size()));
    std::printf("whole %d, not complete %d, complete before the last piece %d\n", complete.load(),
                cut.load(), wrong.load());
    if (complete == 0) {
        return 2;
    }
    return wrong > 0 ? 1 : 0;
}
