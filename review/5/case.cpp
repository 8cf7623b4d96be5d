// A client submits a batch of jobs whose class name is not valid text, and repeats each submission as users do while no
// answer comes. Afterwards another user asks for a job that was accepted before.
#include "../standin-2/world.hpp"

using namespace world;

namespace {

constexpr int kBadJobs = 300;
constexpr double kRetryS = 1;         // PROTOCOL: retried after 1 s or more ...
constexpr double kBatchS = 22;        // ... for up to 60 s; this client gives up earlier
constexpr double kUnansweredS = 75;   // hunt page: counts as forgotten once all troubles are over
constexpr double kBadFromS = 8;

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
    out.teams = "[[deployment.teams]]\nname = \"scribe\"\ncpus = 192.0\ncpus_max = 576.0\n";
    return out;
}

std::map<int, int> batchAnswers;  // by status; 0: the connection ended without an answer
double lastPollAnsweredS = 0;
int lastHealthy = 0;  // nodes whose /healthz answered 200 at the last look

// A submission of the batch. Without the trouble its class name is empty: just as invalid, and sent as often.
Work batch_user(Deployment& deployment, int number) {
    Json spec = job_spec("j-9" + std::to_string(10000 + number), "scribe", 1, 1.0, 4.0);
    spec["lane"] = deployment.trouble ? "cha\xeene" : "";
    const double untilS = now() + kBatchS;
    for (std::size_t node = std::size_t(number); now() < untilS; ++node) {
        Reply reply = co_await call_once(deployment.controllers[node % 3].front, "POST", "/v2/runs", pack(spec), 5.0);
        ++batchAnswers[reply.status];
        co_await pause(kRetryS);
    }
}

Work polling_user(Deployment& deployment, std::string ref) {
    for (std::size_t node = 0;; ++node) {
        co_await pause(2);
        Reply reply;
        // The load balancer tries up to three nodes.
        for (std::size_t i = 0; i < 3 && !reply.status; ++i)
            reply = co_await call_once(deployment.controllers[(node + i) % 3].front, "GET", "/v2/runs/" + ref, "", 2.0);
        record("USER  poll %s: %d %s", ref.c_str(), reply.status, reply.body.dump().c_str());
        if (reply.status == 404) rules().broke("forgotten: " + ref + " gets 404");
        if (reply.status == 200) lastPollAnsweredS = now();
    }
}

Work prober(Deployment& deployment) {
    for (;;) {
        co_await pause(1);
        int count = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            const bool ok = co_await deployment.healthy(i);
            count += ok;
        }
        lastHealthy = count;
        std::string answers;
        for (const auto& [status, number] : batchAnswers)
            answers += " " + std::to_string(status) + ": " + std::to_string(number);
        record("PROBE %d of 3 nodes answer /healthz; answers to the batch by status:%s", count, answers.c_str());
    }
}

Work run(Deployment& deployment) {
    for (std::size_t i = 0; i < deployment.controllers.size(); ++i) {
        deployment.controllers[i].start();
        const bool ok = co_await deployment.wait_healthy(i, now() + 10);
        if (!ok) finish(deployment, 2, "a controller does not become healthy");
    }
    co_await pause(1);
    for (int i = 1; i <= 6; ++i) deployment.add_worker("n-00000" + std::to_string(i), minaret(), "delta-north");
    const int status = co_await submit(deployment, job_spec("j-000412", "scribe", 3, 1.0, 4.0), 2, 1, 0);
    if (status != 200 && status != 201) finish(deployment, 2, "the job is not accepted");
    spawn(polling_user(deployment, "j-000412"));
    spawn(prober(deployment));
    co_await pause(kBadFromS - now());
    if (!lastPollAnsweredS) finish(deployment, 2, "the job is not answered before the batch");
    for (int i = 0; i < kBadJobs; ++i) spawn(batch_user(deployment, i));
    co_await pause(kBatchS + 1);
    const double overS = now();  // nothing but ordinary polls and probes from here on
    while (now() < overS + kUnansweredS + 2.5) co_await pause(0.5);
    const double silentS = now() - std::max(overS, lastPollAnsweredS);
    char text[200];
    std::snprintf(text, sizeof text,
                  "no poll of j-000412 was answered in the last %.1f s of %.1f s after the batch; %d of 3 nodes healthy",
                  silentS, now() - overS, lastHealthy);
    finish(deployment, silentS >= kUnansweredS || !rules().broken.empty() ? 1 : 0, text);
}

}  // namespace

int main(int argc, char** argv) {
    Deployment deployment(argc, argv, site(), {"delta-north", "delta-north", "delta-north"}, {minaret()});
    spawn(run(deployment));
    io().run();
}
