#include "installation.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <quetzal/platform/wire_names.hpp>

namespace quetzal::review {

namespace {

const auto started = std::chrono::steady_clock::now();
constexpr const char* program = "target/apps/quetzallever/quetzallever";
constexpr std::size_t read_size = 16384;
constexpr std::uint64_t history_start = 10; // the first revision

std::string encode_base64(std::string_view bytes)
{
    static constexpr std::string_view alphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            const bool within = at + index < bytes.size();
            group = group << 8 | (within ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            const bool padding = at + index > bytes.size();
            text += padding ? '=' : alphabet[group >> (18 - 6 * index) & 63U];
        }
    }
    return text;
}

std::string decode_percent(std::string_view text)
{
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            const std::string code(text.substr(at + 1, 2));
            plain += static_cast<char>(std::strtol(code.c_str(), nullptr, 16));
            at += 2;
        } else {
            plain += text[at];
        }
    }
    return plain;
}

bool same_name(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    });
}

sockaddr_in socket_address(const std::string& address, int port)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, address.c_str(), &target.sin_addr);
    return target;
}

void limit_reads(int socket, std::int64_t time)
{
    const timeval limit{time / 1000, (time % 1000) * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

void set_no_delay(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Closes with a reset.
void set_reset(int socket)
{
    const linger at_once{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

std::string quoted(const std::string& text)
{
    return "\"" + text + "\"";
}

std::string replaced(std::string text, const std::string& what, const std::string& with)
{
    for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + with.size()))
    {
        text.replace(at, what.size(), with);
    }
    return text;
}

std::string json_answer(int status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " S\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

std::int64_t now_ms()
{
    const auto time = std::chrono::steady_clock::now() - started;
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

void sleep_ms(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(time, 0)));
}

record::record(const std::string& path)
    : file_(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

record::~record()
{
    ::close(file_);
}

void record::write(const std::string& line)
{
    const std::string text = std::to_string(now_ms()) + " ms  " + line + "\n";
    const std::lock_guard lock(mutex_);
    if (::write(file_, text.data(), text.size()) < 0) {
        std::perror("record");
    }
}

std::string message::header(std::string_view name) const
{
    for (const auto& [known, value] : headers) {
        if (same_name(known, name)) {
            return value;
        }
    }
    return {};
}

std::string message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string message::path() const
{
    const auto begin = start.find(' ') + 1;
    const std::string target = start.substr(begin, start.find(' ', begin) - begin);
    return target.substr(0, target.find('?'));
}

std::string message::parameter(std::string_view name) const
{
    const auto begin = start.find('?');
    if (begin == std::string::npos) {
        return {};
    }
    std::string rest = start.substr(begin + 1, start.find(' ', begin) - begin - 1);
    std::stringstream parts(rest);
    for (std::string part; std::getline(parts, part, '&');) {
        const auto equals = part.find('=');
        if (part.substr(0, equals) == name && equals != std::string::npos) {
            return decode_percent(part.substr(equals + 1));
        }
    }
    return {};
}

int message::status() const
{
    const auto space = start.find(' ');
    return space == std::string::npos ? 0 : std::atoi(start.c_str() + space + 1);
}

connection::~connection()
{
    ::close(socket_);
}

void connection::reset()
{
    set_reset(socket_);
    ::shutdown(socket_, SHUT_RDWR);
}

bool connection::closed_by_peer() const
{
    char byte = 0;
    const auto got = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto written = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

bool connection::read_more()
{
    std::array<char, read_size> bytes{};
    const auto got = ::recv(socket_, bytes.data(), bytes.size(), 0);
    if (got <= 0) {
        return false;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(got));
    return true;
}

bool connection::read_head(message& into)
{
    into = {};
    auto end = buffer_.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!read_more()) {
            return false;
        }
        end = buffer_.find("\r\n\r\n");
    }
    std::stringstream lines(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.ends_with('\r')) {
            line.pop_back();
        }
        if (into.start.empty()) {
            into.start = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            into.headers.emplace_back(line.substr(0, colon),
                                      value == std::string::npos ? "" : line.substr(value));
        }
    }
    return true;
}

bool connection::read_chunks(message& into)
{
    while (true) {
        auto end = buffer_.find("\r\n");
        while (end == std::string::npos) {
            if (!read_more()) {
                return false;
            }
            end = buffer_.find("\r\n");
        }
        const auto size =
            static_cast<std::size_t>(std::strtoul(buffer_.substr(0, end).c_str(), nullptr, 16));
        while (buffer_.size() < end + 2 + size + 2) {
            if (!read_more()) {
                into.body += buffer_.substr(std::min(buffer_.size(), end + 2));
                return false;
            }
        }
        into.body += buffer_.substr(end + 2, size);
        buffer_.erase(0, end + 2 + size + 2);
        if (size == 0) {
            into.complete = true;
            return true;
        }
    }
}

bool connection::read_body(message& into, bool until_close)
{
    if (!into.header("Transfer-Encoding").empty()) {
        return read_chunks(into);
    }
    const std::string length = into.header("Content-Length");
    if (length.empty() && !until_close) {
        into.complete = true;
        return true;
    }
    const std::size_t size =
        length.empty() ? SIZE_MAX
                       : static_cast<std::size_t>(std::strtoul(length.c_str(), nullptr, 10));
    while (buffer_.size() < size) {
        if (!read_more()) {
            into.complete = length.empty();
            into.body = std::exchange(buffer_, {});
            return into.complete;
        }
    }
    into.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    into.complete = true;
    return true;
}

std::unique_ptr<connection> connect_to(const std::string& address, int port, std::int64_t timeout)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    limit_reads(socket, timeout);
    set_no_delay(socket);
    auto opened = std::make_unique<connection>(socket);
    const sockaddr_in target = socket_address(address, port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        return nullptr;
    }
    return opened;
}

server::server(const std::string& address, int port, handler serve) : serve_(std::move(serve))
{
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in own = socket_address(address, port);
    socklen_t size = sizeof(own);
    if (::bind(socket_, reinterpret_cast<const sockaddr*>(&own), size) != 0 ||
        ::listen(socket_, 512) != 0)
    {
        std::perror("a stand-in cannot listen");
        std::_Exit(2);
    }
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&own), &size);
    port_ = ntohs(own.sin_port);
    acceptor_ = std::thread([this] { accept_loop(); });
}

server::~server()
{
    stop();
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [&] { return running_ == 0; });
}

void server::stop()
{
    if (stopped_.exchange(true)) {
        return;
    }
    ::shutdown(socket_, SHUT_RDWR);
    acceptor_.join();
    ::close(socket_);
    const std::lock_guard lock(mutex_);
    for (const int socket : open_) {
        set_reset(socket);
        ::shutdown(socket, SHUT_RDWR);
    }
}

void server::accept_loop()
{
    while (!stopped_) {
        const int socket = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        set_no_delay(socket);
        const std::lock_guard lock(mutex_);
        open_.insert(socket);
        ++running_;
        std::thread([this, socket] { serve_connection(socket); }).detach();
    }
}

void server::serve_connection(int socket)
{
    {
        connection caller(socket);
        message request;
        while (!stopped_ && caller.read_head(request) && caller.read_body(request, false) &&
               serve_(caller, request))
        {
        }
        const std::lock_guard lock(mutex_);
        open_.erase(socket);
    }
    const std::lock_guard lock(mutex_);
    --running_;
    ended_.notify_all();
}

store_standin::store_standin(const std::string& address, int port, record& log)
    : log_(log), server_(address, port, [this](connection& caller, const message& request) {
          return serve(caller, request);
      })
{
}

std::uint64_t store_standin::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    items_[key] = {value, ++revision_};
    events_.push_back({key, value, revision_, false});
    changed_.notify_all();
    log_.write("the store acknowledges " + key + " at revision " + std::to_string(revision_));
    return revision_;
}

std::uint64_t store_standin::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    items_.erase(key);
    events_.push_back({key, {}, ++revision_, true});
    changed_.notify_all();
    log_.write("the store removes " + key + " at revision " + std::to_string(revision_));
    return revision_;
}

void store_standin::silence_open_channels()
{
    const std::lock_guard lock(mutex_);
    ++generation_;
    changed_.notify_all();
    log_.write("the open channels to the store go silent");
}

// Waits until the peer has closed the channel.
bool store_standin::stay_silent(const connection& caller) const
{
    while (!caller.closed_by_peer()) {
        sleep_ms(20);
    }
    return false;
}

std::string store_standin::read_range(const message& request)
{
    const std::string prefix = request.parameter("prefix");
    std::string items;
    const std::lock_guard lock(mutex_);
    for (const auto& [key, stored] : items_) {
        if (key.starts_with(prefix) && key > request.parameter("after")) {
            items += items.empty() ? "" : ",";
            items += R"({"key":)" + quoted(key) + R"(,"value":)" +
                     quoted(encode_base64(stored.value)) + R"(,"revision":)" +
                     std::to_string(stored.revision) + R"(,"created":)" +
                     std::to_string(stored.revision) + R"(,"lease":0})";
        }
    }
    return json_answer(200, R"({"items":[)" + items + R"(],"has-more":false,"current-rev":)" +
                                std::to_string(revision_) + "}");
}

std::optional<std::string> store_standin::watch(const message& request, std::uint64_t generation)
{
    const std::string prefix = request.parameter("prefix");
    const std::uint64_t after = std::strtoull(request.parameter("after").c_str(), nullptr, 10);
    const auto wait = std::chrono::milliseconds(std::atoi(request.parameter("wait-ms").c_str()));
    std::unique_lock lock(mutex_);
    if (after > revision_ || after < history_start) {
        return json_answer(410, "{}");
    }
    std::string found;
    const auto collect = [&] {
        found.clear();
        for (const event& change : events_) {
            if (change.revision <= after || !change.key.starts_with(prefix)) {
                continue;
            }
            found += found.empty() ? "" : ",";
            found += R"({"key":)" + quoted(change.key) + R"(,"revision":)" +
                     std::to_string(change.revision);
            found += change.removed
                         ? R"(,"removed":true})"
                         : R"(,"value":)" + quoted(encode_base64(change.value)) + R"(,"created":)" +
                               std::to_string(change.revision) + R"(,"lease":0})";
        }
        return !found.empty() || generation != generation_;
    };
    changed_.wait_for(lock, wait, collect);
    if (generation != generation_) {
        return std::nullopt;
    }
    return json_answer(200, R"({"events":[)" + found + R"(],"current-rev":)" +
                                std::to_string(revision_) + "}");
}

bool store_standin::serve(connection& caller, const message& request)
{
    const std::string path = request.path();
    if (caller.generation == 0) {
        caller.generation = generation_;
    }
    if (caller.generation != generation_) {
        return stay_silent(caller);
    }
    if (path.ends_with("-watch")) {
        sleep_ms(answer_ms);
        const auto answer = watch(request, caller.generation);
        return answer ? caller.write(*answer) : stay_silent(caller);
    }
    if (!path.ends_with("-range")) {
        return caller.write(json_answer(404, "{}"));
    }
    const bool of_operator = request.parameter("prefix").starts_with("op/");
    if (!of_operator && before_server_read) {
        before_server_read();
    }
    sleep_ms(answer_ms);
    const std::string answer = read_range(request);
    if (!caller.write(answer)) {
        return false;
    }
    operator_reads += of_operator ? 1 : 0;
    return true;
}

replica::replica(std::string id, std::string service, std::string zone, const std::string& address,
                 record& log, runner run)
    : id_(std::move(id)), service_(std::move(service)), zone_(std::move(zone)), address_(address),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()),
      log_(log), run_(std::move(run)),
      server_(address, 0,
              [this](connection& caller, const message& request) { return serve(caller, request); })
{
}

std::string replica::entry(const std::string& state) const
{
    return R"({"service":)" + quoted(service_) + R"(,"address":)" +
           quoted(address_ + ":" + std::to_string(server_.port())) + R"(,"zone":)" + quoted(zone_) +
           R"(,"version":"v1","slots":64,"state":)" + quoted(state) +
           R"(,"cold-remaining-ms":0,"sequence":1,"born":)" + std::to_string(born_) + "}";
}

std::string replica::response_head(const message& request) const
{
    return "HTTP/1.1 200 OK\r\n" + names().request_id + ": " + request.header(names().request_id) +
           "\r\n" + names().signature + ": s-" + id_ + "\r\n" + names().load + ": 1,0,64\r\n";
}

std::size_t replica::begin_run(const message& request)
{
    const std::lock_guard lock(mutex_);
    arrivals_.push_back({request.header(names().request_id), now_ms(), -1});
    log_.write("replica " + id_ + " runs request " + arrivals_.back().id);
    return arrivals_.size() - 1;
}

void replica::end_run(std::size_t number)
{
    const std::lock_guard lock(mutex_);
    arrivals_[number].ended = now_ms();
}

std::vector<replica::arrival> replica::arrivals()
{
    const std::lock_guard lock(mutex_);
    return arrivals_;
}

bool replica::serve(connection& caller, const message& request)
{
    if (request.header(names().expected_endpoint) != id_) {
        return caller.write("HTTP/1.1 421 Misdirected Request\r\n" + names().request_id + ": " +
                            request.header(names().request_id) + "\r\n" + names().not_run +
                            ": 1\r\nContent-Length: 0\r\n\r\n");
    }
    if (run_) {
        return run_(*this, caller, request);
    }
    const std::size_t number = begin_run(request);
    sleep_ms(work_ms);
    if (stopped) {
        log_.write("replica " + id_ + " has exited during request " +
                   request.header(names().request_id));
        return false;
    }
    end_run(number);
    const std::string body = "done " + request.header(names().request_id);
    return caller.write(response_head(request) + "Content-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + body);
}

instance::instance(std::string name, std::string zone, std::string address,
                   std::string store_address, std::vector<std::string> seeds, std::string folder)
    : name_(std::move(name)), zone_(std::move(zone)), address_(std::move(address)),
      store_address_(std::move(store_address)), seeds_(std::move(seeds)), folder_(std::move(folder))
{
}

instance::~instance()
{
    kill();
}

// Fills in the template of the deploy file as the platform does.
std::string instance::settings() const
{
    const instance_ports ports;
    std::ifstream file("deploy/settings.toml.in");
    std::stringstream content;
    content << file.rdbuf();
    std::string text = content.str();
    const auto section = text.find("{{#seeds}}");
    const std::string section_end = "{{/seeds}}";
    const auto end = text.find(section_end) + section_end.size();
    std::string seeds;
    for (const auto& seed : seeds_) {
        seeds += seeds.empty() ? "" : ", ";
        seeds += quoted(seed + ":8628");
    }
    text.replace(section, end - section, seeds);
    const auto at = [&](int port) { return address_ + ":" + std::to_string(port); };
    const std::vector<std::pair<std::string, std::string>> values{
        {"node-name", name_},
        {"zone", zone_},
        {"ip-address", address_},
        {"listen.front", at(ports.callers)},
        {"listen.ready", at(ports.readiness)},
        {"listen.directory", at(ports.directory)},
        {"platform.address", store_address_ + ":" + std::to_string(ports.store)},
        {"internal-port-range.0", std::to_string(ports.first_peer)},
        {"internal-port-range.1", std::to_string(ports.first_peer + 15)},
        {"bounds.retry-budget-ratio", "0.2"},
        {"bounds.retry-budget-slack", "56"},
        {"bounds.budget-window-s", "10"},
        {"bounds.cold-overage", "1.5"},
        {"bounds.cold-slack", "5"},
        {"bounds.grace-period-s", "8"},
        {"bounds.ttl_max_s", "5"},
        {"limits.memory-mb", "260"},
        {"limits.file-descriptors", "4100"},
        {"limits.cpu-share", "0.25"},
        {"limits.cpu-cores", "1"},
        {"limits.link-mbps", "1000.0"}};
    for (const auto& [name, value] : values) {
        std::string placeholder = "{{";
        placeholder.append(name).append("}}");
        text = replaced(std::move(text), placeholder, value);
    }
    return text;
}

bool instance::start()
{
    const std::string path = folder_ + "/" + name_ + ".toml";
    std::ofstream(path) << settings();
    const std::string log = folder_ + "/" + name_ + ".log";
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the harness
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::setenv("QUETZALLEVER_SETTINGS", path.c_str(), 1);
        ::execl(program, program, "--front", nullptr);
        std::_Exit(127);
    }
    return pid_ > 0;
}

void instance::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

bool instance::running()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = 0;
    }
    return pid_ > 0;
}

void instance::kill()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
}

const gateway::header_names& names()
{
    static const gateway::header_names known = platform::make_header_names();
    return known;
}

const std::string& network()
{
    static const std::string prefix = [] {
        const auto id = static_cast<unsigned>(::getpid());
        return "127." + std::to_string(64 + (id >> 8) % 128) + "." + std::to_string(id % 256) + ".";
    }();
    return prefix;
}

std::string wire_path(const std::string& name)
{
    std::ifstream file("review/standins-2/wire.txt");
    std::string known;
    std::string path;
    while (file >> known >> path) {
        if (known == name) {
            return path;
        }
    }
    return {};
}

bool wait_ready(const std::vector<std::unique_ptr<instance>>& instances, std::int64_t timeout)
{
    const std::int64_t end = now_ms() + timeout;
    for (const auto& process : instances) {
        while (true) {
            const response answer =
                send_request(process->address(), instance_ports{}.readiness, "GET",
                             wire_path("readiness"), process->address(), "ready", {}, {}, 1000);
            if (answer.status == 200) {
                break;
            }
            if (now_ms() > end || !process->running()) {
                return false;
            }
            sleep_ms(50);
        }
    }
    return true;
}

response send_request(const std::string& address, int port, const std::string& method,
                      const std::string& target, const std::string& host, const std::string& id,
                      const std::vector<std::pair<std::string, std::string>>& headers,
                      const std::string& body, std::int64_t deadline)
{
    response answer;
    const auto opened = connect_to(address, port, deadline + 500);
    if (!opened) {
        answer.detail = "not connected";
        return answer;
    }
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" +
                       names().request_id + ": " + id + "\r\n" + names().deadline + ": " +
                       std::to_string(deadline) + "\r\n" + names().key + ": " + api_key + "\r\n";
    for (const auto& [name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    if (!opened->write(text) || !opened->read_head(answer.content)) {
        answer.detail = "the channel ended without an answer";
        return answer;
    }
    answer.status = answer.content.status();
    if (!opened->read_body(answer.content, true)) {
        answer.detail = "the answer is not complete";
    }
    return answer;
}

std::string configuration(std::uint64_t version, const std::string& service)
{
    const auto route = [&](const std::string& name, const std::string& kind, bool resumed) {
        return R"({"name":)" + quoted("r-" + name) + R"(,"host":)" + quoted(host_name) +
               R"(,"prefix":)" + quoted("/" + name + "/") + R"(,"kind":)" + quoted(kind) +
               R"(,"timeout-ms":6000,"target-latency-ms":1500,"priority":1,"max-attempts":2,)" +
               R"("public":false,"service":)" + quoted(service) +
               (resumed ? R"(,"resume-streams":true)" : "") + "}";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           route("safe", "safe", false) + "," + route("unsafe", "unsafe", false) + "," +
           route("stream", "streaming", false) + "," + route("resume", "streaming", true) +
           R"(],"services":[{"name":)" + quoted(service) +
           R"(,"max-connections":400,"cold-start-s":0,"cold-per-s":0}],)" +
           R"("tenants":[{"name":"clubs","api-keys":[)" + quoted(api_key) + "]}]," +
           R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)" +
           R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

} // namespace quetzal::review
