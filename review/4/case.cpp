// Tasks are stopped and moved to other machines soon after their start, while answers to their machines' reports are slow.
#include "../standin-2/world.hpp"

using namespace world;

namespace {

constexpr double kFirstS = 8, kEveryS = 7, kStopAfterS = 1.0, kLastS = 92, kEndS = 104;
const std::vector<std::string> kZones = {"zarqa", "madaba", "salt", "aqaba"};

MachineType petra() {
    MachineType type;
    type.sku = "petra";
    type.cores = 16;
    type.ramGb = 32;
    type.cacheGb = 50;
    type.fetchGbPerS = 0.15;
    type.rate = 0.59;
    type.lowPrice = 0.15;
    type.startupS = 15;
    type.halls = kZones;
    return type;
}
MachineType wadi() {
    MachineType type = petra();
    type.sku = "wadi";
    type.gpus = 2;
    type.ramGb = 64;
    type.cacheGb = 120;
    type.fetchGbPerS = 0.1;
    type.rate = 4.69;
    type.lowPrice = 1.48;
    type.startupS = 40;
    return type;
}

Site site() {
    Site out;
    out.zones = kZones;
    out.writeRps = 20;
    out.leaseS = 29;
    out.gangWaitS = 50;
    out.cancelS = 54;
    out.cloudRps = 8;
    out.listLagS = 3;
    out.cores = 0.16;
    out.ramMb = 136;
    out.maxSockets = 2500;
    for (int i = 0; i < 10; ++i)
        out.teams += "[[deployment.teams]]\nname = \"grid-desk-0" + std::to_string(i) + "\"\ncpus = 32.0\ncpus_max = 72.0\n";
    return out;
}

Work user(Deployment& deployment, std::string ref, int team, unsigned steps, const char* build, double expectS, double runS) {
    Json spec = job_spec(ref, "grid-desk-0" + std::to_string(team), steps, 15, expectS);
    spec["imageGb"] = 0.01;
    if (build) spec["builds"] = Json::array({build});
    co_await submit(deployment, spec, runS, 0, 0);
}

Work run(Deployment& deployment) {
    for (std::size_t i = 0; i < deployment.controllers.size(); ++i) {
        deployment.controllers[i].start();
        const bool ok = co_await deployment.wait_healthy(i, now() + 10);
        if (!ok) finish(deployment, 2, "a controller does not become healthy");
    }
    co_await pause(0.5);
    for (int i = 1; i <= 3; ++i) {
        Worker& worker = deployment.add_worker("n-00000" + std::to_string(i), petra(), "zarqa");
        if (deployment.trouble) worker.link = {0.35, 2.9, 0.35, 0.35};
    }
    for (int i = 4; i <= 9; ++i) deployment.add_worker("n-00000" + std::to_string(i), wadi(), "zarqa");
    co_await pause(kFirstS - now());
    int number = 0;
    for (double at = kFirstS; at < kLastS; at += kEveryS, ++number) {
        co_await pause(at - now());
        // Over its team's guarantee of 32 CPUs, so that its tasks may be stopped for other teams within theirs.
        spawn(user(deployment, "j-1000" + std::to_string(10 + number), number % 5, 3, nullptr, 60, 12));
        co_await pause(at + kStopAfterS - now());
        for (int k = 0; k < 3; ++k)
            spawn(user(deployment, "j-2" + std::to_string(1000 + number * 10 + k) + "0", 5 + k, 1, "petra", 30, 0.4));
    }
    co_await pause(kEndS - now());
    char text[200];
    std::snprintf(text, sizeof text, "%d jobs, %zu starts of tasks that were on another machine", number * 4, rules().broken.size());
    finish(deployment, rules().broken.empty() ? 0 : 1, text);
}

}  // namespace

int main(int argc, char** argv) {
    rng().seed(std::random_device{}());
    Deployment deployment(argc, argv, site(), {"zarqa", "madaba", "salt"}, {petra(), wadi()});
    spawn(run(deployment));
    io().run();
}
