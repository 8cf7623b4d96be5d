#include "site_settings.hpp"

namespace wellstair::test {

using wire::Json;

Json machine_types() {
    return {{"builds",
             {{{"sku", "c8"},
               {"cores", 8},
               {"gpus", 0},
               {"ramGb", 32},
               {"cacheGb", 50},
               {"fetchGbPerS", 1},
               {"rate", 1},
               {"lowPrice", 0.3},
               {"startupS", 20},
               {"halls", {"a", "b"}}},
              {{"sku", "g8"},
               {"cores", 8},
               {"gpus", 2},
               {"ramGb", 32},
               {"cacheGb", 50},
               {"fetchGbPerS", 1},
               {"rate", 9},
               {"lowPrice", 3},
               {"startupS", 20},
               {"halls", {"a", "b"}}}}}};
}

config::Settings site_settings() {
    config::Settings settings;
    settings.location = "a";
    settings.teams = {{"red", 16, 16, 2, 4}, {"blue", 8, 0, 0, 0}};
    settings.heartbeatIntervalS = 3;
    settings.leaseS = 20;
    settings.gangAssemblyTimeoutS = 30;
    settings.gangPeerTimeoutS = 8;
    settings.cancelS = 45;
    settings.stateRps = 100;
    settings.stateWriteRps = 50;
    settings.valueKb = 8;
    settings.transactionOperations = 16;
    settings.cloudRps = 5;
    settings.listLagS = 3;
    settings.processCores = 1;
    settings.processRamMb = 100;
    settings.maxSockets = 1000;
    return settings;
}

}  // namespace wellstair::test
