#ifndef QUETZAL_REVIEW_INSTALLATION_HPP
#define QUETZAL_REVIEW_INSTALLATION_HPP

// A small installation on loopback for the scripts of the second review: stand-ins of the
// platform's store, of replicas and of requesters, each with blocking sockets and threads, and the
// processes of the entry instances. The stand-ins do what the users' pages say, and what a case
// asks of them in addition.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <quetzal/gateway/header_names.hpp>

namespace quetzal::review {

// Milliseconds since the start of the harness.
std::int64_t now_ms();
void sleep_ms(std::int64_t time);

// Lines with the time at which they were written.
class record
{
public:
    explicit record(const std::string& path);
    ~record();
    void write(const std::string& line);

private:
    std::mutex mutex_;
    int file_;
};

struct message
{
    std::string start; // the request line or the status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false;

    std::string header(std::string_view name) const;
    std::string method() const;
    std::string path() const; // without the query
    std::string parameter(std::string_view name) const;
    int status() const;
};

// One blocking connection.
class connection
{
public:
    explicit connection(int socket) : socket_(socket) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool write(std::string_view bytes);
    bool read_head(message& into);
    bool read_body(message& into, bool until_close);
    void reset(); // closes with a reset
    int socket() const { return socket_; }
    bool closed_by_peer() const;

    std::uint64_t generation = 0; // set by the server that accepted it

private:
    bool read_more();
    bool read_chunks(message& into);

    int socket_;
    std::string buffer_;
};

std::unique_ptr<connection> connect_to(const std::string& address, int port, std::int64_t timeout);

// Accepts connections and serves each one on a thread of its own.
class server
{
public:
    using handler = std::function<bool(connection&, const message&)>; // false ends the connection

    server(const std::string& address, int port, handler serve);
    ~server();
    int port() const { return port_; }
    void stop(); // stops listening and resets all connections

private:
    void accept_loop();
    void serve_connection(int socket);

    handler serve_;
    int socket_ = -1;
    int port_ = 0;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::condition_variable ended_;
    std::set<int> open_;
    std::size_t running_ = 0;
    std::thread acceptor_;
};

// The platform's store, as far as the system reads it.
class store_standin
{
public:
    store_standin(const std::string& address, int port, record& log);
    std::uint64_t put(const std::string& key, const std::string& value);
    std::uint64_t remove(const std::string& key);
    // Open channels go silent for good, without a reset, while new ones work.
    void silence_open_channels();
    std::atomic<int> answer_ms{4};                // the time of an answer
    std::atomic<std::uint64_t> operator_reads{0}; // answered reads of the operator's keys
    std::function<void()> before_server_read;     // called before the replicas are read
    void stop() { server_.stop(); }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
    };
    struct event
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

    bool serve(connection& caller, const message& request);
    std::string read_range(const message& request);
    std::optional<std::string> watch(const message& request, std::uint64_t generation);
    bool stay_silent(const connection& caller) const;

    record& log_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<event> events_;
    std::uint64_t revision_ = 10;
    std::atomic<std::uint64_t> generation_{1}; // of the channels that are answered
    server server_;
};

// A replica. It runs a request as `run` says; without one it works for `work_ms` and answers.
class replica
{
public:
    struct arrival
    {
        std::string id;
        std::int64_t at = 0;
        std::int64_t ended = -1; // of the run; -1 if the process ended before
    };
    using runner = std::function<bool(replica&, connection&, const message&)>;

    replica(std::string id, std::string service, std::string zone, const std::string& address,
            record& log, runner run = {});
    std::string entry(const std::string& state = "ready") const;
    std::string response_head(const message& request) const; // without an end
    const std::string& id() const { return id_; }
    std::vector<arrival> arrivals();
    void stop()
    {
        stopped = true;
        server_.stop();
    }

    std::atomic<int> work_ms{60};
    std::atomic<bool> stopped{false};
    std::size_t begin_run(const message& request);
    void end_run(std::size_t number);

private:
    bool serve(connection& caller, const message& request);

    std::string id_;
    std::string service_;
    std::string zone_;
    std::string address_;
    std::int64_t born_;
    record& log_;
    runner run_;
    std::mutex mutex_;
    std::vector<arrival> arrivals_;
    server server_;
};

struct instance_ports
{
    int callers = 8625;
    int readiness = 8621;
    int directory = 8620;
    int first_peer = 7740;
    int store = 8624;
};

// One entry instance, started with the command of the deploy file.
class instance
{
public:
    instance(std::string name, std::string zone, std::string address, std::string store_address,
             std::vector<std::string> seeds, std::string folder);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    bool start();
    void signal(int number) const;
    void kill(); // ends the process and waits for it
    bool running();
    const std::string& address() const { return address_; }

private:
    std::string settings() const;

    std::string name_;
    std::string zone_;
    std::string address_;
    std::string store_address_;
    std::vector<std::string> seeds_;
    std::string folder_;
    int pid_ = 0;
};

constexpr int drain_ms = 2000; // the bounds of the small sites
constexpr int contact_ms = 3000;

const gateway::header_names& names();

// The loopback network of this process, "127.A.B.".
const std::string& network();

// A path of the wire, from the file wire.txt beside the sources.
std::string wire_path(const std::string& name);

// Waits until every instance says that it is ready.
bool wait_ready(const std::vector<std::unique_ptr<instance>>& instances, std::int64_t timeout);

struct response
{
    int status = 0; // 0: none
    message content;
    std::string detail;
};

// Sends one request on a connection of its own, or on `kept`, and reads the answer.
response send_request(const std::string& address, int port, const std::string& method,
                      const std::string& target, const std::string& host, const std::string& id,
                      const std::vector<std::pair<std::string, std::string>>& headers,
                      const std::string& body, std::int64_t deadline);

// The operator's configuration with the routes /safe/, /unsafe/, /stream/ and /resume/.
std::string configuration(std::uint64_t version, const std::string& service);

constexpr const char* host_name = "desk.example";
constexpr const char* api_key = "k9dnn2ctnfzs989anu6w";

// True unless the variable TROUBLE is 0.
bool with_trouble();

} // namespace quetzal::review

#endif
