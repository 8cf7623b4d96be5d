// The program: reads the command line and the settings, sets up logging, and runs one controller on one thread.
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

constexpr int kExitFailure = 1;   // the controller could not start, or failed
constexpr int kExitBadUsage = 2;  // invalid command line or settings

// Options from the command line and the environment.
struct Options {
    std::string settingsPath;
    bool checkOnly = false;
    controller::Tunables tunables;
    std::string placementMode = "lem";
};

// Logs to standard error at the level in LOG_LEVEL; an unset or unknown level counts as `info`.
void set_up_log() {
    auto log = spdlog::stderr_logger_st("wellstair");
    log->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
    const char* level = std::getenv("LOG_LEVEL");
    std::string levelName = level ? level : "info";
    log->set_level(levelName == "error"   ? spdlog::level::err
                   : levelName == "debug" ? spdlog::level::debug
                                          : spdlog::level::info);
    spdlog::set_default_logger(std::move(log));
}

void add_options(CLI::App& cli, Options& options) {
    cli.set_version_flag("--version", std::string("wellstair ") + WELLSTAIR_VERSION);
    cli.add_option("--config", options.settingsPath, "settings file (TOML)")->required()->envname("WELLSTAIR_CONFIG");
    cli.add_flag("--check", options.checkOnly, "validate the settings and exit");
    cli.add_option("--lea-weight", options.tunables.leaWeight,
                   "W, the weight of the image load time in LEA; 0: the number of machines")
        ->check(CLI::NonNegativeNumber)
        ->envname("WELLSTAIR_LEA_WEIGHT");
    cli.add_option("--fetch-rate", options.tunables.fetchGbPerS,
                   "assumed image fetch rate of a machine in GB/s; 0: the rate that the cloud publishes")
        ->check(CLI::NonNegativeNumber)
        ->envname("WELLSTAIR_FETCH_RATE");
    cli.add_option("--headroom", options.tunables.headroom,
                   "capacity rented ahead of demand, as a multiple of the demand that arrives during a boot")
        ->check(CLI::NonNegativeNumber)
        ->envname("WELLSTAIR_HEADROOM");
    cli.add_option("--placement", options.placementMode,
                   "placement algorithm: lem, or only eft or lea, for comparisons")
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
        spdlog::info("controller {} listening on {}:{}", settings.member, settings.publicEndpoint.host,
                     settings.publicEndpoint.port);
        io.run();
    } catch (const std::exception& e) {
        spdlog::critical("controller failed: {}", e.what());
        return kExitFailure;
    }
    return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App cli(
        "wellstair: a controller of a cluster scheduler. Logs go to standard error; LOG_LEVEL sets the level\n"
        "(error, info or debug).");
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
