#include "service/answers.hpp"

namespace wellstair::service {

namespace {

constexpr double kRetryAfterS = 1;  // sent in the Retry-After header

controller::UserResponse phase_response(int status, const std::string& id, const char* phase) {
    return {status, {{"ref", id}, {"phase", phase}}, 0};
}

}  // namespace

api::Response refusal(int status, const std::string& reason) {
    return {status, {{"error", reason}}, 0, ""};
}

api::Response unavailable(const char* reason) {
    return {503, {{"error", reason}}, kRetryAfterS, ""};
}

api::Response redirect(const std::string& leader) {
    return {421, {{"foreman", leader}}, 0, ""};
}

api::Response commands_response(std::uint64_t fencingToken, const std::vector<wire::Command>& commands) {
    return {200, {{"baton", fencingToken}, {"orders", to_json(commands)}}, 0, ""};
}

api::Response to_response(const controller::UserResponse& response) {
    return {response.status, response.body, response.retryAfterS, ""};
}

controller::UserResponse submitted_response(const std::string& id) {
    return phase_response(201, id, "queued");
}

controller::UserResponse cancelled_response(const std::string& id) {
    return phase_response(200, id, "aborted");
}

controller::UserResponse unavailable_response(const char* reason) {
    return {503, {{"error", reason}}, kRetryAfterS};
}

}  // namespace wellstair::service
