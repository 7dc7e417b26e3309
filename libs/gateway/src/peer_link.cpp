#include <quetzal/gateway/peer_link.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <list>
#include <map>
#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <quetzal/gateway/channel.hpp>
#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/gateway/lazy_deadline.hpp>
#include <quetzal/gateway/spawn.hpp>

#include "peer_codec.hpp"

namespace quetzal::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

constexpr duration heartbeat_interval = std::chrono::milliseconds(350);
constexpr duration connect_timeout = std::chrono::milliseconds(500);
constexpr std::size_t datagram_limit = 60u << 10;           // bytes, below the maximum of UDP
constexpr std::uint32_t frame_limit = 16u << 20;            // bytes of one TCP message
constexpr std::size_t frame_read_size = 64u << 10;          // bytes allocated before they arrive
constexpr duration frame_timeout = std::chrono::seconds(5); // from its length to its last byte
constexpr std::size_t queued_bytes_limit = 8u << 20; // per peer; above, the connection is closed
// Open connections that one address has opened. A peer uses one; a restart may leave others open
// for some time.
constexpr std::size_t max_accepted_from_address = 32;
constexpr duration accept_pause = std::chrono::milliseconds(50); // after a failed accept
// Bytes that the kernel receives ahead from a live member, which is large enough for documents that
// cross availability zones. Others have the smaller buffer of the port.
constexpr int member_receive_buffer = 64 << 10;
// Bytes of the length before each TCP message.
constexpr std::size_t length_prefix_size = sizeof(std::uint32_t);

} // namespace

struct peer_link::implementation : std::enable_shared_from_this<implementation>
{
    // A connection to a peer, opened by either side.
    struct connection : std::enable_shared_from_this<connection>
    {
        connection(tcp::socket opened, std::string peer)
            : socket(std::move(opened)), address(std::move(peer))
        {
        }

        tcp::socket socket;
        std::string address;
        std::uint64_t process = 0; // of the peer, 0 until it has greeted
        std::string outgoing;      // bytes that wait for the next write
        bool writing = false;
        bool open = true;
        bool has_sent_message = false; // the peer
        bool has_small_buffer = false; // that of the port
    };

    implementation(asio::io_context& io, peer_link_options settings, member_table& table)
        : context(io), options(std::move(settings)), members(table), datagrams(io), acceptor(io),
          heartbeat_timer(io), random(random_seed())
    {
        use_seeds(options.seeds);
    }

    void use_seeds(std::vector<std::string> seeds)
    {
        options.seeds = std::move(seeds);
        if (std::any_of(options.seeds.begin(), options.seeds.end(),
                        [&](const std::string& seed) { return seed != options.address; }))
        {
            members.expect_peers();
        }
    }

    std::uint64_t random_seed() const
    {
        return members.self().incarnation ^ std::hash<std::string>{}(options.address);
    }

    tl::expected<void, std::string> open_ports()
    {
        boost::system::error_code error;
        const auto own_address = asio::ip::make_address(options.address, error);
        if (error) {
            return tl::unexpected("peer address " + options.address + ": " + error.message());
        }
        datagrams.open(udp::v4(), error);
        if (!error) {
            datagrams.bind({own_address, options.datagram_port}, error);
        }
        if (error) {
            return tl::unexpected("peer datagram port: " + error.message());
        }
        if (const auto opened =
                open_acceptor(acceptor, {own_address, options.stream_port}, options.listen);
            !opened)
        {
            return tl::unexpected("peer stream port: " + opened.error());
        }
        return {};
    }

    void start_loops()
    {
        const auto self = shared_from_this();
        spawn_persistent(context, "receive_datagrams", [self] { return receive_datagrams(self); });
        spawn_persistent(context, "accept_peers", [self] { return accept_peers(self); });
        spawn_persistent(context, "send_heartbeats", [self] { return send_heartbeats(self); });
    }

    static asio::awaitable<void> receive_datagrams(std::shared_ptr<implementation> self)
    {
        std::array<char, datagram_limit> buffer;
        while (true) {
            boost::system::error_code error;
            udp::endpoint from;
            const std::size_t size = co_await self->datagrams.async_receive_from(
                asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted) {
                co_return;
            }
            if (error) {
                log_event("peer_receive_failed", {{"error", error.message()}});
                continue;
            }
            auto message = internal::decode<heartbeat>(std::string(buffer.data(), size));
            if (!message) {
                log_event("peer_datagram_malformed", {{"peer", from.address().to_string()}});
                continue;
            }
            const time_point now = boot_clock::now();
            const std::string& sender = message->sender.record.address;
            self->merge_suspects(*message, now);
            if (self->members.merge_heartbeat(*message, now)) {
                auto reply = self->members.make_reply(sender, now, self->random);
                self->add_suspects(reply, now);
                self->send_heartbeat(sender, internal::encode(reply));
            } else if (message->wants_reply) {
                self->send_heartbeat(sender, internal::encode(self->members.make_probe(false)));
            }
        }
    }

    void add_suspects(heartbeat& message, time_point now)
    {
        if (quarantine != nullptr) {
            message.suspects = quarantine->records(now, random);
        }
    }

    void merge_suspects(const heartbeat& message, time_point now)
    {
        if (quarantine == nullptr) {
            return;
        }
        for (const std::uint64_t part : quarantine->merge(message.suspects, now)) {
            log_event("part_quarantined",
                      {{"part_hash", part}, {"peer", message.sender.record.address}});
        }
    }

    void send_heartbeat(const std::string& address, const std::string& bytes)
    {
        boost::system::error_code error;
        const auto target = asio::ip::make_address(address, error);
        if (error) {
            return;
        }
        datagrams.send_to(asio::buffer(bytes), {target, options.datagram_port}, 0, error);
        // Errors are ignored: the next heartbeat replaces a lost one, and the peer's member table
        // detects when heartbeats stop arriving.
    }

    void send_heartbeat_round()
    {
        const time_point now = boot_clock::now();
        members.expire(now);
        members.settle(now);
        if (quarantine != nullptr) {
            quarantine->expire(now);
        }
        heartbeat message = members.make_heartbeat(now, random);
        add_suspects(message, now);
        const std::string bytes = internal::encode(message);
        std::set<std::string> targets;
        for (auto& address : members.choose_peers(now, random)) {
            targets.insert(std::move(address));
        }
        for (const auto& seed : options.seeds) {
            if (seed != options.address && !members.is_live(seed, now)) {
                targets.insert(seed);
            }
        }
        for (const auto& address : targets) {
            send_heartbeat(address, bytes);
        }
        const std::string probe = internal::encode(members.make_probe(true));
        for (const auto& address : members.start_probes(now)) {
            send_heartbeat(address, probe);
        }
    }

    static asio::awaitable<void> send_heartbeats(std::shared_ptr<implementation> self)
    {
        while (true) {
            self->send_heartbeat_round();
            self->heartbeat_timer.expires_after(heartbeat_interval);
            boost::system::error_code error;
            co_await self->heartbeat_timer.async_wait(
                asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
        }
    }

    bool may_accept(const std::string& address) const
    {
        const auto same = accepted.find(address);
        return accepted_in_all < options.max_accepted &&
               (same == accepted.end() || same->second < max_accepted_from_address);
    }

    // Closes the longest open of the connections that others have opened and sent no message on;
    // one of `address` if that has used up its own. Returns false if there is none.
    bool make_room(const std::string& address)
    {
        const auto same = accepted.find(address);
        const bool of_address = same != accepted.end() && same->second >= max_accepted_from_address;
        const auto silent = std::find_if(
            accepted_connections.begin(), accepted_connections.end(), [&](const auto& peer) {
                return !peer->has_sent_message && (!of_address || peer->address == address);
            });
        if (silent == accepted_connections.end()) {
            return false;
        }
        log_event("peer_connection_displaced",
                  {{"peer", (*silent)->address}, {"open", accepted_in_all}});
        const auto closed = *silent;
        forget_accepted(closed);
        close_connection(closed);
        return true;
    }

    // Counts a connection that others have opened no longer.
    void forget_accepted(const std::shared_ptr<connection>& ended)
    {
        if (accepted_connections.remove(ended) == 0) {
            return; // it was displaced
        }
        --accepted_in_all;
        if (--accepted[ended->address] == 0) {
            accepted.erase(ended->address);
        }
    }

    void record_message(connection& peer)
    {
        const time_point now = boot_clock::now();
        members.record_contact(peer.address, now);
        peer.has_sent_message = true;
        if (!peer.has_small_buffer || !members.is_live(peer.address, now)) {
            return;
        }
        peer.has_small_buffer = false;
        boost::system::error_code error;
        peer.socket.set_option(asio::socket_base::receive_buffer_size(member_receive_buffer),
                               error);
        if (error) {
            log_event("peer_buffer_not_enlarged",
                      {{"peer", peer.address}, {"error", error.message()}});
        }
    }

    static asio::awaitable<void> accept_peers(std::shared_ptr<implementation> self)
    {
        while (true) {
            boost::system::error_code error;
            tcp::socket socket = co_await self->acceptor.async_accept(
                asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted) {
                co_return;
            }
            if (error) {
                // Without a pause a lasting error, such as no free descriptor, would use the
                // processor alone.
                log_event("peer_accept_failed", {{"error", error.message()}});
                asio::steady_timer pause(self->context, accept_pause);
                co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
                continue;
            }
            const auto remote = socket.remote_endpoint(error);
            if (error) {
                continue;
            }
            const std::string address = remote.address().to_string();
            if (!self->may_accept(address) && !self->make_room(address)) {
                log_event("peer_connection_refused",
                          {{"peer", address}, {"open", self->accepted_in_all}});
                continue; // the destructor closes the socket
            }
            ++self->accepted_in_all;
            ++self->accepted[address];
            auto opened = std::make_shared<connection>(std::move(socket), address);
            opened->has_small_buffer = self->options.listen.receive_buffer > 0;
            self->accepted_connections.push_back(opened);
            configure_socket(opened->socket);
            self->greet(opened);
            self->connections.try_emplace(opened->address, opened);
            spawn(self->context, "read_messages", read_accepted(self, opened));
        }
    }

    static asio::awaitable<void> read_accepted(std::shared_ptr<implementation> self,
                                               std::shared_ptr<connection> peer)
    {
        const auto forget = [&](connection*) { self->forget_accepted(peer); };
        const std::unique_ptr<connection, decltype(forget)> registration(peer.get(), forget);
        co_await read_messages(self, peer);
    }

    static asio::awaitable<void> read_messages(std::shared_ptr<implementation> self,
                                               std::shared_ptr<connection> peer)
    {
        bool timed_out = false;
        lazy_deadline timeout(self->context.get_executor(), [peer, &timed_out] {
            timed_out = true;
            boost::system::error_code ignored; // the read below fails in any case
            peer->socket.close(ignored);
        });
        while (peer->open) {
            boost::system::error_code error;
            std::uint32_t length = 0;
            co_await asio::async_read(peer->socket, asio::buffer(&length, sizeof(length)),
                                      asio::redirect_error(asio::use_awaitable, error));
            boost::endian::little_to_native_inplace(length);
            if (!error && length > frame_limit) {
                log_event("peer_message_too_large",
                          {{"peer", peer->address}, {"bytes", length}, {"limit", frame_limit}});
                break;
            }
            if (error) {
                break;
            }
            timeout.expires_after(frame_timeout);
            std::string bytes;
            body_memory::share memory(self->options.memory);
            while (!error && bytes.size() < length) {
                const std::size_t before = bytes.size();
                if (before + frame_read_size > bytes.capacity() &&
                    !memory.grow(3 * before + frame_read_size)) // both during the copy
                {
                    log_event("peer_message_refused",
                              {{"peer", peer->address},
                               {"bytes", length},
                               {"detail", "the instance's memory is in use"}});
                    error = asio::error::no_memory;
                    break;
                }
                bytes.resize(std::min<std::size_t>(length, before + frame_read_size));
                const asio::mutable_buffer next =
                    asio::buffer(bytes.data() + before, bytes.size() - before);
                co_await asio::async_read(peer->socket, next,
                                          asio::redirect_error(asio::use_awaitable, error));
            }
            timeout.clear();
            if (timed_out) {
                log_event("peer_message_too_slow",
                          {{"peer", peer->address},
                           {"bytes", length},
                           {"limit_ms", whole_milliseconds(frame_timeout)}});
            }
            if (error) {
                break;
            }
            auto message = internal::decode<peer_message>(bytes);
            if (!message) {
                log_event("peer_message_malformed", {{"peer", peer->address}});
                break;
            }
            self->record_message(*peer);
            if (const auto* greeting = std::get_if<peer_greeting>(&*message)) {
                self->record_process(peer, greeting->process);
                continue;
            }
            try {
                self->handle_message(peer->address, std::move(*message));
            } catch (const std::exception& thrown) {
                log_event("peer_message_failed",
                          {{"peer", peer->address}, {"error", thrown.what()}});
                break;
            }
        }
        self->close_connection(peer);
    }

    void greet(const std::shared_ptr<connection>& peer)
    {
        queue_message(peer, peer_greeting{members.self().process});
    }

    // Closes the connection that is used for sending to the peer if another process of the peer has
    // opened it: that process has ended, and a loss of power may have left its connection open.
    void record_process(const std::shared_ptr<connection>& peer, std::uint64_t process)
    {
        peer->process = process;
        const auto found = connections.find(peer->address);
        if (found == connections.end() || found->second->process == 0 ||
            found->second->process == process) {
            return;
        }
        log_event("peer_restarted", {{"peer", peer->address}});
        close_connection(std::shared_ptr(found->second));
        connections.emplace(peer->address, peer);
    }

    void close_connection(const std::shared_ptr<connection>& peer)
    {
        if (!peer->open) {
            return;
        }
        peer->open = false;
        boost::system::error_code ignored; // nothing depends on the outcome of closing
        peer->socket.close(ignored);
        // A connection that is not used for sending carried messages of the peer, which are lost
        // too.
        if (const auto found = connections.find(peer->address);
            found != connections.end() && found->second == peer)
        {
            connections.erase(found);
        }
        members.mark_unreliable(peer->address, boot_clock::now());
        // Not called here: a caller of `send` may be iterating over what the handler changes.
        asio::post(context, [self = shared_from_this(), address = peer->address,
                             process = peer->process] { self->handle_loss(address, process); });
    }

    static asio::awaitable<void> connect(std::shared_ptr<implementation> self,
                                         std::shared_ptr<connection> peer)
    {
        boost::system::error_code error;
        const auto target = asio::ip::make_address(peer->address, error);
        if (!error) {
            peer->socket.open(tcp::v4(), error);
        }
        if (!error) {
            // The peer identifies this instance by its source address.
            peer->socket.bind({asio::ip::make_address(self->options.address), 0}, error);
        }
        lazy_deadline timeout(self->context.get_executor(), [peer] {
            boost::system::error_code ignored;
            peer->socket.close(ignored);
        });
        timeout.expires_after(connect_timeout);
        if (!error) {
            const tcp::endpoint address(target, self->options.stream_port);
            co_await peer->socket.async_connect(address,
                                                asio::redirect_error(asio::use_awaitable, error));
        }
        timeout.clear();
        if (error) {
            self->close_connection(peer);
            co_return;
        }
        configure_socket(peer->socket);
        spawn(self->context, "read_messages", read_messages(self, peer));
        peer->writing = false;
        self->start_writing(peer);
    }

    static asio::awaitable<void> write_queued(std::shared_ptr<implementation> self,
                                              std::shared_ptr<connection> peer)
    {
        while (peer->open && !peer->outgoing.empty()) {
            const std::string bytes = std::exchange(peer->outgoing, {});
            boost::system::error_code error;
            co_await asio::async_write(peer->socket, asio::buffer(bytes),
                                       asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                self->close_connection(peer);
                co_return;
            }
        }
        peer->writing = false;
    }

    void start_writing(const std::shared_ptr<connection>& peer)
    {
        if (peer->writing || !peer->open || peer->outgoing.empty()) {
            return;
        }
        peer->writing = true;
        spawn(context, "write_queued", write_queued(shared_from_this(), peer));
    }

    std::shared_ptr<connection> connection_to(const std::string& address)
    {
        if (const auto found = connections.find(address); found != connections.end()) {
            return found->second;
        }
        auto peer = std::make_shared<connection>(tcp::socket(context), address);
        connections.emplace(address, peer);
        peer->writing = true; // prevents writes before the connection is established
        greet(peer);
        spawn(context, "connect", connect(shared_from_this(), peer));
        return peer;
    }

    void send_message(const std::string& address, const peer_message& message)
    {
        queue_message(connection_to(address), message);
    }

    void queue_message(const std::shared_ptr<connection>& peer, const peer_message& message)
    {
        const std::string bytes = internal::encode(message);
        const auto length =
            boost::endian::native_to_little(static_cast<std::uint32_t>(bytes.size()));
        peer->outgoing.append(reinterpret_cast<const char*>(&length), length_prefix_size);
        peer->outgoing += bytes;
        if (peer->outgoing.size() > queued_bytes_limit) {
            log_event("peer_too_slow", {{"peer", peer->address}});
            close_connection(peer);
            return;
        }
        if (!peer->writing) {
            asio::post(context, [self = shared_from_this(), peer] { self->start_writing(peer); });
        }
    }

    asio::io_context& context;
    peer_link_options options;
    member_table& members;
    udp::socket datagrams;
    tcp::acceptor acceptor;
    asio::steady_timer heartbeat_timer;
    random_source random;
    std::map<std::string, std::shared_ptr<connection>> connections; // by peer address
    std::size_t accepted_in_all = 0;             // open connections that peers have opened
    std::map<std::string, std::size_t> accepted; // the same by address; zeros are removed
    std::list<std::shared_ptr<connection>> accepted_connections; // the same, the longest open first
    message_handler handle_message;
    loss_handler handle_loss;
    part_quarantine* quarantine = nullptr;
};

peer_link::peer_link(asio::io_context& context, peer_link_options options, member_table& members)
    : self_(std::make_shared<implementation>(context, std::move(options), members))
{
}

peer_link::~peer_link()
{
    boost::system::error_code ignored; // the process is stopping
    self_->datagrams.close(ignored);
    self_->acceptor.close(ignored);
    self_->heartbeat_timer.cancel();
    self_->handle_message = [](const std::string&, const peer_message&) {};
    self_->handle_loss = [](const std::string&, std::uint64_t) {};
}

void peer_link::set_seeds(std::vector<std::string> seeds)
{
    self_->use_seeds(std::move(seeds));
}

void peer_link::share(part_quarantine& quarantine)
{
    self_->quarantine = &quarantine;
}

void peer_link::on_message(message_handler handler)
{
    self_->handle_message = std::move(handler);
}

void peer_link::on_loss(loss_handler handler)
{
    self_->handle_loss = std::move(handler);
}

tl::expected<void, std::string> peer_link::start()
{
    if (auto opened = self_->open_ports(); !opened) {
        return opened;
    }
    self_->start_loops();
    return {};
}

void peer_link::send(const std::string& address, const peer_message& message)
{
    self_->send_message(address, message);
}

void peer_link::probe(const std::string& address)
{
    self_->send_heartbeat(address, internal::encode(self_->members.make_probe(true)));
}

void peer_link::announce()
{
    self_->send_heartbeat_round();
}

} // namespace quetzal::gateway
