#include "peers/peer_network.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace wellstair::peers {

using asio::ip::tcp;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

namespace {
constexpr double kIntervalS = 0.5;
constexpr auto kPatience = std::chrono::milliseconds(1500);
}  // namespace

PeerNetwork::PeerNetwork(asio::io_context& io, const config::Settings& s,
                         std::function<PeerStatus(const std::string& to)> ownStatus,
                         std::function<void(const PeerStatus&)> onStatus)
    : io_(io), settings_(s), acceptor_(io), ownStatus_(std::move(ownStatus)), onStatus_(std::move(onStatus)) {
    tcp::endpoint at(asio::ip::make_address_v4(s.internal.host), s.internal.port);
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen(32);
}

void PeerNetwork::start() {
    asio::co_spawn(io_, accept(), asio::detached);
    for (const auto& m : settings_.members) asio::co_spawn(io_, send_to(m.name, m.peer), asio::detached);
}

asio::awaitable<void> PeerNetwork::accept() {
    for (;;) {
        auto [ec, socket] = co_await acceptor_.async_accept(kAwait);
        if (ec)
            co_await net::sleep_for(io_, kIntervalS);
        else if (open_ < 8 * settings_.members.size() + 8)
            asio::co_spawn(io_, receive(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> PeerNetwork::receive(tcp::socket socket) {
    ++open_;
    boost::beast::tcp_stream stream(std::move(socket));
    for (;;) {
        std::string bytes(sizeof(PacketHeader), '\0');
        stream.expires_after(std::chrono::seconds(10));
        auto [e1, n1] = co_await asio::async_read(stream, asio::buffer(bytes), kAwait);
        if (e1) break;
        auto size = packed_size(bytes);
        if (!size) break;
        bytes.resize(*size);
        auto [e2, n2] = co_await asio::async_read(
            stream, asio::buffer(bytes.data() + sizeof(PacketHeader), *size - sizeof(PacketHeader)), kAwait);
        if (e2) break;
        if (auto peerStatus = unpack(bytes)) onStatus_(*peerStatus);
    }
    --open_;
}

asio::awaitable<void> PeerNetwork::send_to(std::string member, config::Endpoint to) {
    for (;;) {
        boost::beast::tcp_stream stream(io_);
        stream.expires_after(kPatience);
        auto [ec] = co_await stream.async_connect(tcp::endpoint(asio::ip::make_address_v4(to.host), to.port), kAwait);
        while (!ec) {
            std::string bytes = pack(ownStatus_(member));
            stream.expires_after(kPatience);
            auto [we, n] = co_await asio::async_write(stream, asio::buffer(bytes), kAwait);
            if (we) break;
            co_await net::sleep_for(io_, kIntervalS);
        }
        co_await net::sleep_for(io_, net::jitter(kIntervalS));
    }
}

}  // namespace wellstair::peers
