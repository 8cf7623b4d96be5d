// The exchange of status packets over loopback when something throws. Guards against connections that stay counted
// until no other controller is accepted any more, and against a sending loop that ends for ever.
#include "peers/peer_network.hpp"

#include <gtest/gtest.h>

#include <boost/asio/write.hpp>
#include <stdexcept>

#include "loopback_server.hpp"
#include "site_settings.hpp"

namespace wellstair::test {
namespace {

using peers::pack;
using peers::PeerNetwork;
using peers::PeerStatus;

config::Settings settings_with_peer(std::uint16_t peerPort) {
    config::Settings settings = site_settings();
    settings.member = "a";
    settings.internalEndpoint = {"127.0.0.1", 0};
    settings.members.push_back({"b", "b", {"127.0.0.1", peerPort}});
    return settings;
}

class PeerExchange : public testing::Test {
  protected:
    PeerStatus provide() {
        if (providerThrows) throw std::runtime_error("thrown by the test");
        return {"a", 1, 0, true, {}};
    }
    void handle() {
        if (handlerThrows) throw std::runtime_error("thrown by the test");
        ++handled;
    }

    // Connects, sends the bytes, and returns whether the other side then closes the connection.
    asio::awaitable<bool> send(std::string bytes) {
        boost::beast::tcp_stream stream(io);
        stream.expires_after(std::chrono::seconds(1));
        const asio::ip::tcp::endpoint remote(asio::ip::address_v4::loopback(), receiver.port());
        co_await stream.async_connect(remote, asio::use_awaitable);
        co_await asio::async_write(stream, asio::buffer(bytes), asio::use_awaitable);
        char byte = 0;
        auto [error, size] =
            co_await stream.async_read_some(asio::buffer(&byte, 1), asio::as_tuple(asio::use_awaitable));
        co_return error == asio::error::eof || error == asio::error::connection_reset;
    }

    asio::io_context io{1};
    bool providerThrows = false, handlerThrows = false;
    int handled = 0;
    const config::Settings receiverSettings = settings_with_peer(1);
    PeerNetwork receiver{io, receiverSettings,
                         [](const std::string&) {
                             return PeerStatus{"b", 1, 0, true, {}};
                         },
                         [this](const PeerStatus&) { handle(); }};
};

TEST_F(PeerExchange, ExceptionOfTheHandlerGivesTheConnectionBack) {
    constexpr int kMoreThanAreAccepted = 40;
    receiver.start();
    const std::string packet = pack({"b", 1, 0, true, {}});
    handlerThrows = true;
    for (int i = 0; i < kMoreThanAreAccepted; ++i) EXPECT_EQ(run_to_end(io, send(packet)), true) << i;
    handlerThrows = false;
    asio::co_spawn(io, send(packet), [](const std::exception_ptr&, bool) {});
    EXPECT_TRUE(run_until(io, [this] { return handled == 1; }));
}

TEST_F(PeerExchange, BytesThatAreNoPacketGiveTheConnectionBack) {
    receiver.start();
    const std::string packet = pack({"b", 1, 0, true, {}});
    std::string otherMagic = packet;
    otherMagic[0] ^= 1;
    for (int i = 0; i < 40; ++i) EXPECT_EQ(run_to_end(io, send(otherMagic)), true) << i;
    asio::co_spawn(io, send(packet), [](const std::exception_ptr&, bool) {});
    EXPECT_TRUE(run_until(io, [this] { return handled == 1; }));
}

TEST_F(PeerExchange, ExceptionOfTheProviderDoesNotEndTheSending) {
    const config::Settings senderSettings = settings_with_peer(receiver.port());
    PeerNetwork sender{io, senderSettings, [this](const std::string&) { return provide(); }, [](const PeerStatus&) {}};
    receiver.start();
    providerThrows = true;
    sender.start();
    run_until(
        io, [] { return false; }, std::chrono::milliseconds(900));
    EXPECT_EQ(handled, 0);
    providerThrows = false;
    EXPECT_TRUE(run_until(io, [this] { return handled > 0; }));
}

}  // namespace
}  // namespace wellstair::test
