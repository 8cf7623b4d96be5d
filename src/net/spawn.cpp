#include "net/spawn.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <cstdlib>
#include <exception>

namespace wellstair::net {

namespace {
constexpr int kExitOnUnexpectedException = 3;
}  // namespace

void spawn(asio::io_context& io, asio::awaitable<void> work) {
    asio::co_spawn(io, std::move(work), [](const std::exception_ptr& error) {
        if (!error) return;
        try {
            std::rethrow_exception(error);
        } catch (const std::exception& e) {
            spdlog::critical("terminating after an unexpected exception: {}", e.what());
            std::_Exit(kExitOnUnexpectedException);
        }
    });
}

}  // namespace wellstair::net
