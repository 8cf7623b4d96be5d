// The cloud: machine types, renting, returning and the list, within its rate.
#pragma once

#include <optional>

#include "net/http.hpp"
#include "wire/messages.hpp"

namespace wellstair::cloud {

namespace asio = boost::asio;

struct RentResult {
    enum Kind { rented, refused, failed } kind = failed;
    std::vector<std::string> hosts;
};

class Client {
  public:
    Client(asio::io_context& io, const config::Settings& settings);
    asio::awaitable<std::optional<std::vector<wire::MachineType>>> types();
    // `ask` is never used again for another request; repeated with the same contents when no answer came.
    asio::awaitable<RentResult> rent(std::string requestName, std::string machineType, std::string zone, bool spot,
                                     std::uint32_t number);
    asio::awaitable<bool> return_hosts(std::vector<std::string> hosts);
    asio::awaitable<std::optional<std::vector<wire::Machine>>> list();

  private:
    asio::awaitable<net::Reply> call(net::verb method, std::string target, std::string body);
    asio::io_context& io_;
    net::HttpClient http_;
    double spacingS_, next_ = 0;
};

}  // namespace wellstair::cloud
