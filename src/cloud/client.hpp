// The requests to the cloud (PROTOCOL, cloud): machine types, renting, returning and the list of machines.
// Owns its connections and the pacing of its calls. One io_context thread.
// Errors: nothing throws; a call that failed may still have been carried out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/http.hpp"
#include "wire/messages.hpp"

namespace wellstair::cloud {

namespace asio = boost::asio;

// What became of a request for machines.
struct RentResult {
    enum class Kind : std::uint8_t {
        rented,
        refused,  // the cloud has none of this kind now, or does not accept the request
        failed,   // not known: to be repeated under the same name
    };
    Kind kind = Kind::failed;
    std::vector<std::string> hosts;  // rented: their names
};

// The result's name for the log.
const char* to_string(RentResult::Kind kind);

class Client {
  public:
    // The settings name the endpoint and the rate that all controllers share.
    Client(asio::io_context& io, const config::Settings& settings);

    // All machine types; nothing on failure.
    asio::awaitable<std::optional<std::vector<wire::MachineType>>> list_machine_types();

    // Rents machines. The name is never used again for another request, and repeated with the same contents when no
    // answer came: the cloud carries it out once.
    asio::awaitable<RentResult> rent(std::string requestName, std::string machineType, std::string zone, bool spot,
                                     std::uint32_t count);

    // Returns machines; true when the cloud has confirmed that they are gone.
    asio::awaitable<bool> return_hosts(std::vector<std::string> hosts);

    // All machines that are held, page by page; nothing on failure.
    asio::awaitable<std::optional<std::vector<wire::Machine>>> list_machines();

  private:
    asio::awaitable<net::Reply> call(net::verb method, std::string target, std::string body);

    asio::io_context& io_;
    net::HttpClient http_;
    double spacingS_;         // least time between two calls
    double nextCallAtS_ = 0;  // steady clock
};

}  // namespace wellstair::cloud
