// Client of the cloud provider's API (PROTOCOL, cloud): lists machine types, rents, returns and lists machines.
// Owns its connections and the spacing of its calls. Runs on one io_context thread.
// Errors: nothing throws. A call that failed may still have been executed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/http.hpp"
#include "wire/messages.hpp"

namespace wellstair::cloud {

namespace asio = boost::asio;

// The result of a request for machines.
struct RentResult {
    enum class Kind : std::uint8_t {
        rented,
        refused,  // the cloud has no capacity for this type now, or rejects the request as invalid
        failed,   // outcome unknown: the request must be repeated under the same name
    };
    Kind kind = Kind::failed;
    std::vector<std::string> hosts;  // names of the rented machines
};

// Returns the result's name for logging.
const char* to_string(RentResult::Kind kind);

class Client {
  public:
    // Takes the endpoint and the rate that all controllers share from the settings.
    Client(asio::io_context& io, const config::Settings& settings);

    // Returns all machine types, or nullopt on failure.
    asio::awaitable<std::optional<std::vector<wire::MachineType>>> list_machine_types();

    // Rents `count` machines. The name identifies the request: it must not be used for another one, and a repetition
    // after a missing response must have the same name and contents, so that the cloud executes the request once.
    asio::awaitable<RentResult> rent(std::string requestName, std::string machineType, std::string zone, bool spot,
                                     std::uint32_t count);

    // Returns machines to the cloud. True if the cloud has confirmed that they are gone.
    asio::awaitable<bool> return_hosts(std::vector<std::string> hosts);

    // Returns all machines that are rented, read page by page, or nullopt on failure.
    asio::awaitable<std::optional<std::vector<wire::Machine>>> list_machines();

  private:
    asio::awaitable<net::Reply> call(net::verb method, std::string target, std::string body);

    asio::io_context& io_;
    net::HttpClient http_;
    double spacingS_;         // minimum seconds between the starts of two calls
    double nextCallAtS_ = 0;  // earliest steady time of the next call
};

}  // namespace wellstair::cloud
