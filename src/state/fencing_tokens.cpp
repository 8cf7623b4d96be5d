#include "state/fencing_tokens.hpp"

namespace wellstair::state {

std::uint64_t next_registration_token(std::uint64_t highest) {
    const std::uint64_t rangesInUse = (highest + kTokensPerRegistration - 1) / kTokensPerRegistration;
    return (rangesInUse + 1) * kTokensPerRegistration;
}

// The version in production stores the next token after the highest known token or revision. Such a token is a multiple
// of the range only by chance; if it followed a revision, that revision is at least as high by now.
FencingTokenRange granted_tokens(std::uint64_t stored, std::uint64_t revision) {
    const bool wholeRange = stored % kTokensPerRegistration == 0 && stored > revision;
    return {wholeRange ? stored - kTokensPerRegistration + 1 : stored, stored};
}

}  // namespace wellstair::state
