// The controller that calls the cloud is killed and comes back within a fraction of a second, while jobs arrive and the
// state service holds the final states of many earlier jobs.
#include "../standin-2/world.hpp"

using namespace world;

namespace {

constexpr int kEarlierJobs = 250000;  // of all users, with ids up to j-999999
constexpr int kNewBelow = 100000;     // the ids that this user chooses, in no order
constexpr double kArrivalsPerS = 2.5;
// After all controllers are ready.
constexpr double kFirstArrivalS = 1, kLastArrivalS = 15, kRestartAtS = 7, kEndS = 80;
double readyS = 0;
constexpr unsigned kTasks = 4;  // of a job
constexpr double kTaskCores = 1, kTaskS = 30;
constexpr double kBackAfterS = 8;  // BRIEF: back about 8 s after an end
constexpr double kLongestLagS = 60; // PROTOCOL: 3 s

MachineType minaret() {
    MachineType type;
    type.sku = "minaret";
    type.cores = 16;
    type.ramGb = 64;
    type.startupS = 35;
    type.halls = {"delta-north"};
    return type;
}

Site site() {
    Site out;
    out.zones = {"delta-north"};
    out.teams =
        "[[deployment.teams]]\nname = \"papyrus\"\ncpus = 120.0\ncpus_max = 192.0\n"
        "[[deployment.teams]]\nname = \"scribe\"\ncpus = 192.0\ncpus_max = 576.0\n";
    return out;
}

std::string random_id(int below) {
    char text[16];
    std::snprintf(text, sizeof text, "j-%06d", int(uniform(0, below)));
    return text;
}

struct Outcome {
    bool accepted = false, done = false;
};
std::map<std::string, Outcome> outcomes;
std::map<std::string, double> lastEndS;  // when the last task of a job had completed

Work user(Deployment& deployment, std::string ref, std::size_t node) {
    Json spec = job_spec(ref, "scribe", kTasks, kTaskCores, kTaskS);
    spec["imageGb"] = 0.2;
    const int status = co_await submit(deployment, spec, kTaskS, 0, node);
    outcomes[ref].accepted = status == 200 || status == 201;
    while (outcomes[ref].accepted && !outcomes[ref].done) {
        co_await pause(uniform(4, 6));
        Reply reply = co_await poll(deployment, ref, node++);
        if (reply.status == 404) rules().broke("forgotten: " + ref + " gets 404");
        if (reply.status == 200 && reply.body.value("phase", "") == "done") outcomes[ref].done = true;
    }
}

Work arrivals(Deployment& deployment) {
    co_await pause(readyS + kFirstArrivalS - now());
    for (std::size_t i = 0; now() < readyS + kLastArrivalS; ++i) {
        std::string ref = random_id(kNewBelow);
        while (jobs().count(ref) || deployment.state.get("ws/jobs/" + ref)) ref = random_id(kNewBelow);
        spawn(user(deployment, ref, i));
        co_await pause(1 / kArrivalsPerS);
    }
}

// When every task of a job has completed.
Work watch_ends() {
    for (;;) {
        co_await pause(0.1);
        for (const auto& [ref, info] : jobs()) {
            if (lastEndS.count(ref)) continue;
            bool all = true;
            for (unsigned i = 0; i < info.spec["steps"].get<unsigned>() && all; ++i)
                all = rules().completed.count(ref + "/" + std::to_string(i)) > 0;
            if (all) lastEndS[ref] = now();
        }
    }
}

// A controller that ends by itself is started again, as the platform does.
std::vector<std::string> ends;
Work restart(Deployment& deployment) {
    for (;;) {
        co_await pause(0.1);
        for (auto& controller : deployment.controllers)
            if (auto status = controller.ended()) {
                ends.push_back(controller.name);
                record("PROC  %s has ended by itself, exit code %d, signal %d", controller.name.c_str(),
                       WIFEXITED(*status) ? WEXITSTATUS(*status) : -1, WIFSIGNALED(*status) ? WTERMSIG(*status) : 0);
                spawn([](Controller& again) -> Work {
                    co_await pause(kBackAfterS);
                    again.start();
                }(controller));
            }
    }
}

Work run(Deployment& deployment) {
    for (std::size_t i = 0; i < deployment.controllers.size(); ++i) {
        deployment.controllers[i].start();
        const bool ok = co_await deployment.wait_healthy(i, now() + 12);
        if (!ok) finish(deployment, 2, "a controller does not become healthy");
    }
    readyS = now();
    for (int i = 1; i <= 16; ++i) {
        char name[16];
        std::snprintf(name, sizeof name, "n-%06d", i);
        deployment.add_worker(name, minaret(), "delta-north");
    }
    spawn(arrivals(deployment));
    spawn(watch_ends());
    spawn(restart(deployment));
    co_await pause(readyS + kRestartAtS - now());
    if (deployment.trouble)
        for (auto& controller : deployment.controllers)
            if (controller.name == deployment.cloud_caller()) {
                controller.kill_now();
                co_await pause(0.2);
                controller.start();
                break;
            }
    co_await pause(readyS + kEndS - now());
    int accepted = 0, late = 0, unfinished = 0, repeated = 0;
    std::string example;
    for (const auto& [ref, outcome] : outcomes) {
        if (!outcome.accepted) continue;
        ++accepted;
        if (outcome.done) continue;
        ++unfinished;
        if (lastEndS.count(ref) && now() - lastEndS[ref] > kLongestLagS) {
            ++late;
            if (example.empty()) example = ref;
        }
    }
    for (const auto& [task, starts] : rules().starts) repeated += starts > 1;
    char text[300];
    std::snprintf(text, sizeof text,
                  "%d jobs accepted, %d not done, of these %d although all tasks completed more than %.0f s ago (%s); "
                  "%d tasks started more than once, %zu times while running elsewhere; %zu controllers ended by themselves",
                  accepted, unfinished, late, kLongestLagS, example.c_str(), repeated, rules().broken.size(), ends.size());
    if (accepted < 10) finish(deployment, 2, text);
    finish(deployment, rules().broken.empty() ? 0 : 1, text);
}

}  // namespace

int main(int argc, char** argv) {
    rng().seed(std::random_device{}());
    Deployment deployment(argc, argv, site(), {"delta-north", "delta-north", "delta-north"}, {minaret()});
    for (int i = 0; i < kEarlierJobs; ++i) deployment.state.seed("ws/jobs/" + random_id(1000000), Json{{"f", "done"}});
    deployment.state.onConflict = [](const Json& body, const Json& failed) {
        std::string keys;
        for (const auto& operation : body["apply"])
            keys += (operation.contains("set") ? " set " + operation["set"].get<std::string>()
                                               : " remove " + operation["remove"].get<std::string>());
        record("STATE refused %s:%s", failed.dump().c_str(), keys.c_str());
    };
    deployment.state.onApplied = [](const Json& body) {
        std::string keys;
        for (const auto& operation : body["apply"])
            keys += (operation.contains("set") ? " set " + operation["set"].get<std::string>()
                                               : " remove " + operation["remove"].get<std::string>());
        record("STATE applied:%s", keys.c_str());
    };
    spawn(run(deployment));
    io().run();
}
