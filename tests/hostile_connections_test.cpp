// Requests that are malformed, half sent or slowly sent, and connections that are opened and left, on the port of users
// and workers and on that of the other controllers. Guards against a client that blocks a controller, or uses up its
// memory or its connections: each such connection gets an error or is closed within the stated time, and others are
// answered as without it.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>

#include "api/server.hpp"
#include "fuzz_settings.hpp"
#include "loopback_server.hpp"
#include "peers/peer_network.hpp"
#include "site_settings.hpp"

namespace wellstair::test {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr double kIdleLimitS = 1.0;       // of the server under test
constexpr double kClosedWithinS = 2.0;    // the limit, and the time that a busy test machine may add
constexpr double kAnsweredWithinS = 1.0;  // PROTOCOL: a probe of the load balancer gives up after it
constexpr std::size_t kHostileAtOnce = 40;

double seconds_since(Clock::time_point start) {
    return std::chrono::duration<double>(Clock::now() - start).count();
}

// Resident memory of this process, in MB.
double resident_mb() {
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmRSS:")) return std::atof(line.c_str() + sizeof("VmRSS:") - 1) / 1024;
    return 0;
}

std::size_t open_descriptors() {
    std::size_t count = 0;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) count += !entry.path().empty();
    return count;
}

// What a client sends: bytes in pieces, a pause before each, and then nothing more.
struct HostileClient {
    std::string kind;
    std::vector<std::string> pieces;
    double pauseS = 0;
};

class HostileClients {
  public:
    explicit HostileClients(unsigned seed) : random_(seed) {}

    HostileClient draw() {
        const std::string body(20 + below(400), 'x');
        const std::string head = request_line() + "Host: a\r\n";
        const std::string wholeHead = head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        switch (below(9)) {
            case 0:
                return {"opened and left", {}, 0};
            case 1:
                return {"half a header", {head.substr(0, 1 + below(head.size()))}, 0};
            case 2:
                return {"slow header", bytes_of(wholeHead + body), 0.05};
            case 3:
                return {"header without end", std::vector<std::string>(400, "X-Filler: " + body + "\r\n"), 0};
            case 4:
                return {"body shorter than said", {wholeHead + body.substr(0, below(body.size()))}, 0};
            case 5:
                return {"body longer than said", {wholeHead + body + random_bytes(1 + below(300))}, 0};
            case 6:
                return {"slow body", bytes_of(body, wholeHead), 0.05};
            case 7:
                return {"random bytes", {random_bytes(1 + below(2000))}, 0};
            default:
                return {"changed request", {changed(wholeHead + body)}, 0};
        }
    }
    std::string random_bytes(std::size_t size) {
        std::string bytes;
        while (bytes.size() < size) bytes += static_cast<char>(below(256));
        return bytes;
    }

  private:
    std::size_t below(std::size_t bound) { return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_); }
    std::string request_line() {
        const char* lines[] = {"POST /v2/runs HTTP/1.1\r\n", "POST /checkin HTTP/1.1\r\n", "GET /healthz HTTP/1.1\r\n",
                               "POST /v2/runs/j-1/withdraw HTTP/1.0\r\n", "GET /v2/runs/j-1 HTTP/1.1\r\n"};
        return lines[below(std::size(lines))];
    }
    static std::vector<std::string> bytes_of(const std::string& text, const std::string& first = "") {
        std::vector<std::string> pieces;
        if (!first.empty()) pieces.push_back(first);
        for (char byte : text) pieces.emplace_back(1, byte);
        return pieces;
    }
    std::string changed(std::string request) {
        for (std::size_t changes = 1 + below(4); changes > 0; --changes) {
            const std::size_t at = below(request.size());
            if (below(2))
                request[at] = static_cast<char>(below(256));
            else
                request.erase(at, 1 + below(20));
        }
        return request;
    }

    std::mt19937 random_;
};

class HostileConnections : public testing::Test {
  protected:
    static asio::awaitable<api::Response> answer() { co_return api::Response{200, {{"ok", true}}, 0, ""}; }
    static api::Handlers handlers() {
        api::Handlers out;
        out.submit = out.heartbeat = out.poll = out.cancel = [](const std::string&) { return answer(); };
        out.healthy = [] { return true; };
        return out;
    }
    tcp::endpoint public_port() const { return {asio::ip::address_v4::loopback(), server.port()}; }
    tcp::endpoint peer_port() const { return {asio::ip::address_v4::loopback(), peers.port()}; }

    asio::awaitable<void> pause(double seconds) {
        asio::steady_timer timer(io,
                                 std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds)));
        co_await timer.async_wait(kAwait);
    }

    // Sends what the client sends, and waits until the other side answers or closes. Returns the seconds that this took
    // from the last byte that could be sent.
    asio::awaitable<double> attack(tcp::endpoint port, HostileClient client) {
        tcp::socket socket(io);
        auto [connectError] = co_await socket.async_connect(port, kAwait);
        const auto start = Clock::now();
        if (connectError) co_return 0;
        for (const std::string& piece : client.pieces) {
            if (client.pauseS > 0) co_await pause(client.pauseS);
            auto [writeError, size] = co_await asio::async_write(socket, asio::buffer(piece), kAwait);
            if (writeError) co_return seconds_since(start);
        }
        char byte = 0;
        co_await socket.async_read_some(asio::buffer(&byte, 1), kAwait);
        co_return seconds_since(start);
    }

    // Sends an ordinary request on a connection of its own. Returns the seconds until the reply; -1: none.
    asio::awaitable<double> ordinary(http::verb method, std::string target) {
        http::request<http::string_body> request(method, target, 11);
        if (method == http::verb::post) request.body() = wire::encode({{"ref", "j-1"}});
        request.prepare_payload();
        const auto start = Clock::now();
        beast::tcp_stream stream(io);
        stream.expires_after(std::chrono::seconds(5));
        auto [connectError] = co_await stream.async_connect(public_port(), kAwait);
        if (connectError) co_return -1;
        co_await http::async_write(stream, request, kAwait);
        beast::flat_buffer buffer;
        http::response<http::string_body> reply;
        auto [readError, read] = co_await http::async_read(stream, buffer, reply, kAwait);
        co_return !readError && reply.result_int() == 200 ? seconds_since(start) : -1;
    }

    // One user and one worker, which ask without a pause until told to stop.
    asio::awaitable<void> ask_repeatedly(http::verb method, const char* target, std::vector<double>& times) {
        while (!stop) {
            times.push_back(co_await ordinary(method, target));
            co_await pause(0.005);
        }
        ++stopped;
    }
    asio::awaitable<void> attack_repeatedly(HostileClients& clients, double untilS, Clock::time_point start) {
        while (seconds_since(start) < untilS) {
            const HostileClient client = clients.draw();
            const double tookS = co_await attack(public_port(), client);
            ++attacks;
            if (tookS > longest[client.kind]) longest[client.kind] = tookS;
        }
        ++attackersDone;
    }

    asio::awaitable<void> send_and_leave(tcp::socket& socket, const std::string& bytes) {
        co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
    }
    double growth_by_half_sent(tcp::endpoint port, const std::string& bytes, std::size_t connections);

    // Connects as another controller does, again whenever the connection is closed.
    asio::awaitable<void> send_status_repeatedly() {
        const std::string packet = peers::pack({"b", 1, 0, true, {}});
        while (!stop) {
            tcp::socket socket(io);
            auto [connectError] = co_await socket.async_connect(peer_port(), kAwait);
            if (!connectError) co_await asio::async_write(socket, asio::buffer(packet), kAwait);
            co_await pause(0.5);
        }
        ++stopped;
    }

    // Runs the user and the worker beside the hostile clients for some seconds; with none of these if `hostile` is 0.
    void run_beside(std::size_t hostile, double seconds, HostileClients& clients) {
        userTimes.clear();
        workerTimes.clear();
        stop = false;
        stopped = attackersDone = 0;
        const auto start = Clock::now();
        asio::co_spawn(io, ask_repeatedly(http::verb::get, "/v2/runs/j-1", userTimes), asio::detached);
        asio::co_spawn(io, ask_repeatedly(http::verb::post, "/checkin", workerTimes), asio::detached);
        for (std::size_t i = 0; i < hostile; ++i)
            asio::co_spawn(io, attack_repeatedly(clients, seconds, start), asio::detached);
        const auto limit = std::chrono::milliseconds(static_cast<int>((seconds + 10) * 1000));
        EXPECT_TRUE(run_until(
            io, [&] { return seconds_since(start) > seconds && attackersDone == hostile; }, limit));
        stop = true;
        EXPECT_TRUE(run_until(io, [&] { return stopped == 2; }));
    }
    static double highest(const std::vector<double>& times) { return *std::max_element(times.begin(), times.end()); }
    static bool all_answered(const std::vector<double>& times) {
        return !times.empty() && std::all_of(times.begin(), times.end(), [](double seconds) { return seconds >= 0; });
    }

    static config::Settings peer_settings() {
        config::Settings settings = site_settings();
        settings.member = "a";
        settings.internalEndpoint = {"127.0.0.1", 0};
        settings.members = {{"b", "b", {"127.0.0.1", 1}}, {"c", "c", {"127.0.0.1", 1}}};
        return settings;
    }

    asio::io_context io{1};
    static constexpr std::size_t kMaxConnections = 920;
    api::Server server{
        io, {"127.0.0.1", 0}, kMaxConnections, {.userS = kIdleLimitS, .workerS = kIdleLimitS}, handlers()};
    const config::Settings settings = peer_settings();
    int statuses = 0;
    peers::PeerNetwork peers{io, settings,
                             [](const std::string&) {
                                 return peers::PeerStatus{"a", 1, 0, true, {}};
                             },
                             [this](const peers::PeerStatus&) { ++statuses; }};

    bool stop = false;
    std::size_t stopped = 0, attackersDone = 0, attacks = 0;
    std::vector<double> userTimes, workerTimes;  // seconds until each answer; -1: none
    std::map<std::string, double> longest;       // seconds until an answer or the close, by kind of client
};

TEST_F(HostileConnections, AreAnsweredOrClosedInTimeAndOthersAreAnsweredBesideThem) {
    const double seconds = fuzz_seconds();
    HostileClients clients(fuzz_seed());
    server.start();
    run_beside(0, 1, clients);
    ASSERT_TRUE(all_answered(userTimes) && all_answered(workerTimes));
    const double userAloneS = highest(userTimes), workerAloneS = highest(workerTimes);
    const std::size_t descriptorsBefore = open_descriptors();
    const double memoryBeforeMb = resident_mb();

    run_beside(kHostileAtOnce, seconds, clients);
    EXPECT_TRUE(all_answered(userTimes));
    EXPECT_TRUE(all_answered(workerTimes));
    EXPECT_LT(highest(userTimes), kAnsweredWithinS);
    EXPECT_LT(highest(workerTimes), kAnsweredWithinS);
    for (const auto& [kind, tookS] : longest) EXPECT_LT(tookS, kClosedWithinS) << kind;
    EXPECT_GT(attacks, kHostileAtOnce);
    EXPECT_TRUE(run_until(io, [&] { return open_descriptors() <= descriptorsBefore; })) << "connections stay open";
    std::printf(
        "%zu hostile connections; longest answer to a user %.3f s (%.3f s without them), to a worker %.3f s (%.3f "
        "s); memory %.1f MB before, %.1f MB after\n",
        attacks, highest(userTimes), userAloneS, highest(workerTimes), workerAloneS, memoryBeforeMb, resident_mb());
    for (const auto& [kind, tookS] : longest) std::printf("  %s: %.3f s at the longest\n", kind.c_str(), tookS);
}

// Opens connections, sends the bytes on each, and leaves them open. Returns how many MB the process has grown by.
double HostileConnections::growth_by_half_sent(tcp::endpoint port, const std::string& bytes, std::size_t connections) {
    const double beforeMb = resident_mb();
    std::vector<tcp::socket> sockets;
    for (std::size_t i = 0; i < connections; ++i) {
        sockets.emplace_back(io).connect(port);
        asio::co_spawn(io, send_and_leave(sockets.back(), bytes), asio::detached);
        io.poll();
    }
    run_until(
        io, [] { return false; }, std::chrono::milliseconds(300));
    return resident_mb() - beforeMb;
}

TEST_F(HostileConnections, HalfSentBodiesStayWithinTheMemoryOfTheProcess) {
    server.start();
    const std::string head =
        "POST /v2/runs HTTP/1.1\r\nContent-Length: " + std::to_string(wire::kMaxBodyBytes) + "\r\n\r\n";
    const std::string half = head + std::string(wire::kMaxBodyBytes - 1, 'x');
    const double growthMb = growth_by_half_sent(public_port(), half, kMaxConnections);
    std::printf("%zu half-sent bodies: %.1f MB\n", kMaxConnections, growthMb);
    EXPECT_LT(growthMb, settings.processRamMb);
}

TEST_F(HostileConnections, HalfSentPacketsOfPeersStayWithinTheMemoryOfTheProcess) {
    peers.start();
    peers::PacketHeader header;
    header.unusableCount = header.cancelledCount = 65536;
    const std::string half(reinterpret_cast<const char*>(&header), sizeof header);
    ASSERT_TRUE(peers::packed_size(half));
    constexpr std::size_t kMoreThanAreAccepted = 40;
    EXPECT_LT(growth_by_half_sent(peer_port(), half, kMoreThanAreAccepted), settings.processRamMb);
}

TEST_F(HostileConnections, APeerIsHeardWhenThoseLeftOpenHaveTimedOut) {
    constexpr std::size_t kMoreThanAreAccepted = 40;
    constexpr auto kReceiveTimeout = std::chrono::seconds(10);  // of the port of the other controllers
    peers.start();
    std::vector<tcp::socket> sockets;
    for (std::size_t i = 0; i < kMoreThanAreAccepted; ++i) {
        sockets.emplace_back(io).connect(peer_port());
        io.poll();
    }
    asio::co_spawn(io, send_status_repeatedly(), asio::detached);
    EXPECT_TRUE(run_until(
        io, [this] { return statuses > 0; }, kReceiveTimeout + std::chrono::seconds(2)));
    stop = true;
    EXPECT_TRUE(run_until(io, [this] { return stopped == 1; }));
}

}  // namespace
}  // namespace wellstair::test
