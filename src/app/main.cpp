// The program: command line, settings, log, and one controller on one thread.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "config/settings.hpp"
#include "service/service.hpp"

using namespace wellstair;

namespace {

constexpr int kExitFailure = 1;   // cannot run
constexpr int kExitBadUsage = 2;  // of the command line or the settings

// What the command line and the environment say.
struct Options {
    std::string settingsPath;
    bool checkOnly = false;
    controller::Tunables tunables;
    std::string placementMode = "lem";
};

void set_up_log() {
    auto log = spdlog::stderr_logger_st("wellstair");
    log->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
    const char* level = std::getenv("LOG_LEVEL");
    std::string name = level ? level : "info";
    log->set_level(name == "error" ? spdlog::level::err : name == "debug" ? spdlog::level::debug : spdlog::level::info);
    spdlog::set_default_logger(std::move(log));
}

void add_options(CLI::App& cli, Options& options) {
    cli.set_version_flag("--version", std::string("wellstair ") + WELLSTAIR_VERSION);
    cli.add_option("--config", options.settingsPath, "the settings file (TOML)")
        ->required()
        ->envname("WELLSTAIR_CONFIG");
    cli.add_flag("--check", options.checkOnly, "validate the settings and exit");
    cli.add_option("--lea-weight", options.tunables.leaWeight,
                   "W, the weight of fetching in LEA; 0: the number of machines")
        ->check(CLI::NonNegativeNumber)
        ->envname("WELLSTAIR_LEA_WEIGHT");
    cli.add_option("--fetch-rate", options.tunables.fetchGbPerS,
                   "assumed fetch rate in GB/s; 0: as published by the cloud")
        ->check(CLI::NonNegativeNumber)
        ->envname("WELLSTAIR_FETCH_RATE");
    cli.add_option("--headroom", options.tunables.headroom,
                   "room kept free, as a multiple of what arrives during a boot")
        ->check(CLI::NonNegativeNumber)
        ->envname("WELLSTAIR_HEADROOM");
    cli.add_option("--placement", options.placementMode, "lem, or eft or lea alone (for comparisons)")
        ->check(CLI::IsMember({"lem", "eft", "lea"}))
        ->envname("WELLSTAIR_PLACEMENT");
}

placement::Weights::Mode parse_mode(const std::string& name) {
    using Mode = placement::Weights::Mode;
    if (name == "eft") return Mode::eft;
    if (name == "lea") return Mode::lea;
    return Mode::mixed;
}

int run(const config::Settings& settings, const controller::Tunables& tunables) {
    try {
        boost::asio::io_context io(1);
        service::Service service(io, settings, tunables);
        service.start();
        spdlog::info("{} listens on {}:{}", settings.member, settings.publicEndpoint.host,
                     settings.publicEndpoint.port);
        io.run();
    } catch (const std::exception& e) {
        spdlog::critical("cannot run: {}", e.what());
        return kExitFailure;
    }
    return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App cli(
        "wellstair: a controller of a cluster scheduler. Logs go to standard error, as much as LOG_LEVEL\n"
        "(error, info, debug) says.");
    Options options;
    add_options(cli, options);
    try {
        cli.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return cli.exit(e) == 0 ? EXIT_SUCCESS : kExitBadUsage;
    }
    options.tunables.mode = parse_mode(options.placementMode);
    config::Settings settings;
    try {
        settings = config::load_settings(options.settingsPath);
    } catch (const config::SettingsError& e) {
        std::cerr << e.what() << "\n";
        return kExitBadUsage;
    }
    if (options.checkOnly) return EXIT_SUCCESS;
    set_up_log();
    return run(settings, options.tunables);
}
