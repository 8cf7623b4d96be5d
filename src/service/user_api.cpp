#include "service/user_api.hpp"

#include <utility>

#include "service/answers.hpp"

namespace wellstair::service {

using api::Response;

asio::awaitable<bool> UserApi::state_is_current() {
    availability_.update();
    if (context_.core.availability() != state::Availability::serving) co_return false;
    const bool current = co_await readBarrier_.wait(kUserTimeoutS);
    co_return current;
}

asio::awaitable<std::optional<Response>> UserApi::repeat_response(std::string id) {
    const bool current = co_await state_is_current();
    if (!current) co_return unavailable(kStateServiceNotResponding);
    if (auto known = context_.core.find_submission(id)) co_return to_response(*known);
    co_return std::nullopt;
}

asio::awaitable<Response> UserApi::submit(std::string bytes) {
    auto body = wire::decode(bytes);
    if (!body) co_return refusal(400, "the request body must be MessagePack without binary values");
    if (!body->is_object()) co_return refusal(400, "the request body must be a MessagePack map");
    auto parsed = wire::parse_job(*body);
    std::optional<Response> refused = rejection(parsed);
    if (refused) co_return co_await refuse(std::move(*body), std::move(*refused));
    co_return co_await accept(std::get<wire::JobSpec>(std::move(parsed)));
}

std::optional<Response> UserApi::rejection(const ParsedJob& parsed) const {
    if (auto* invalid = std::get_if<wire::JobSpecError>(&parsed)) return refusal(400, invalid->reason);
    bool undetermined = false;
    auto infeasible = context_.core.infeasibility_reason(std::get<wire::JobSpec>(parsed), undetermined);
    if (infeasible) return refusal(422, *infeasible);
    if (undetermined) return unavailable("the machine types have not been read yet; retry later");
    return std::nullopt;
}

asio::awaitable<Response> UserApi::refuse(wire::Json body, Response refusal) {
    auto id = wire::get_string(body, "ref");
    if (id && wire::valid_job_id(*id)) {
        auto repeat = co_await repeat_response(*id);
        if (repeat) co_return *repeat;
    }
    co_return refusal;
}

asio::awaitable<Response> UserApi::accept(wire::JobSpec spec) {
    controller::Core& core = context_.core;
    if (core.state().outcome(spec.id)) co_return to_response(*core.find_submission(spec.id));
    if (core.state().job(spec.id)) {
        auto repeat = co_await repeat_response(spec.id);
        if (repeat) co_return *repeat;
    }
    controller::UserResponse response = co_await queue_.submit(std::move(spec));
    co_return to_response(response);
}

asio::awaitable<Response> UserApi::poll(std::string id) {
    controller::Core& core = context_.core;
    if (core.state().outcome(id)) co_return to_response(core.job_status(id));
    const bool current = co_await state_is_current();
    if (!current) co_return unavailable(kStateServiceNotResponding);
    co_return to_response(core.job_status(id));
}

asio::awaitable<Response> UserApi::cancel(std::string id) {
    controller::Core& core = context_.core;
    if (core.state().outcome(id)) co_return to_response(core.job_status(id));
    const bool current = co_await state_is_current();
    if (!current) co_return unavailable(kStateServiceNotResponding);
    auto* job = core.state().job(id);
    if (!job || job->state != state::JobState::active) co_return to_response(core.job_status(id));
    controller::UserResponse response = co_await queue_.cancel(std::move(id));
    co_return to_response(response);
}

}  // namespace wellstair::service
