#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <iostream>

#include "config/settings.hpp"
#include "service/service.hpp"

using namespace wellstair;

namespace {

void set_up_log() {
    auto log = spdlog::stderr_logger_st("wellstair");
    log->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
    const char* level = std::getenv("LOG_LEVEL");
    std::string name = level ? level : "info";
    log->set_level(name == "error" ? spdlog::level::err : name == "debug" ? spdlog::level::debug : spdlog::level::info);
    spdlog::set_default_logger(std::move(log));
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App cli(
        "wellstair: a controller of a cluster scheduler. Logs go to standard error, as much as LOG_LEVEL\n"
        "(error, info, debug) says.");
    cli.set_version_flag("--version", std::string("wellstair ") + WELLSTAIR_VERSION);
    std::string config;
    bool check = false;
    controller::Tunables tunables;
    std::string mode = "lem";
    cli.add_option("--config", config, "the settings file (TOML)")->required()->envname("WELLSTAIR_CONFIG");
    cli.add_flag("--check", check, "validate the settings and exit");
    cli.add_option("--lea-weight", tunables.leaWeight, "W, the weight of fetching in LEA; 0: the number of machines")
        ->check(CLI::NonNegativeNumber)
        ->envname("WELLSTAIR_LEA_WEIGHT");
    cli.add_option("--fetch-rate", tunables.fetchGbPerS, "assumed fetch rate in GB/s; 0: as published by the cloud")
        ->check(CLI::NonNegativeNumber)
        ->envname("WELLSTAIR_FETCH_RATE");
    cli.add_option("--headroom", tunables.headroom, "room kept free, as a multiple of what arrives during a boot")
        ->check(CLI::NonNegativeNumber)
        ->envname("WELLSTAIR_HEADROOM");
    cli.add_option("--placement", mode, "lem, or eft or lea alone (for comparisons)")
        ->check(CLI::IsMember({"lem", "eft", "lea"}))
        ->envname("WELLSTAIR_PLACEMENT");
    try {
        cli.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        int code = cli.exit(e);
        return code == 0 ? 0 : 2;
    }
    using Mode = placement::Weights::Mode;
    tunables.mode = mode == "eft" ? Mode::eft : mode == "lea" ? Mode::lea : Mode::mixed;
    config::Settings settings;
    try {
        settings = config::load_settings(config);
    } catch (const config::SettingsError& e) {
        std::cerr << e.what() << "\n";
        return 2;
    }
    if (check) return 0;
    set_up_log();
    try {
        boost::asio::io_context io(1);
        service::Service service(io, settings, tunables);
        service.start();
        spdlog::info("{} listens on {}:{}", settings.member, settings.front.host, settings.front.port);
        io.run();
    } catch (const std::exception& e) {
        spdlog::critical("cannot run: {}", e.what());
        return 1;
    }
    return 0;
}
