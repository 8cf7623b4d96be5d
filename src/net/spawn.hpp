// Starts coroutines that nobody waits for. Stateless. One io_context thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace wellstair::net {

namespace asio = boost::asio;

// Runs a coroutine on the io_context. An exception that leaves it terminates the process with exit code 3: without one
// of its loops the controller would work only in part, and all durable data is in the state service. Work that depends
// on a message from outside must handle its exceptions itself.
void spawn(asio::io_context& io, asio::awaitable<void> work);

}  // namespace wellstair::net
