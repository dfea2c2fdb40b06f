#pragma once

#include <string_view>

#include "gateway/gateway_answer.h"
#include "gateway/request_parts.h"
#include "gateway/route.h"
#include "gateway/session_options.h"
#include "kernel/clock_and_random_sources.h"

/// The contents of answers. All functions are thread-safe unless their arguments are shared.
namespace poplarfront::gateway {

/// Whether a reply settles its part without another attempt. `plan` is null if the request is not a
/// gather. A server error of a backend server is forwarded only if no other attempt is possible.
[[nodiscard]] bool is_final(const backend_reply& reply, const gather_plan* plan);

/// Keeps only those records of a large part that the answer can contain, since parts are kept until
/// the gather is answered.
void drop_surplus_records(backend_reply& reply, const gather_plan& plan);

/// The answer to a gather with the parts that are answered.
[[nodiscard]] gateway_answer gathered_answer(const request_parts& parts, const gather_plan& plan);

/// The answer that forwards a reply; a failure if the client would conclude from the status of an
/// executed request that it has not run.
[[nodiscard]] gateway_answer forwarded_answer(backend_reply reply);

/// The answer that the request has not run and will not. The client may return after `min_wait` and
/// a random time, which spreads the clients that are refused together.
[[nodiscard]] gateway_answer refused_answer(std::string_view reason, kernel::duration min_wait,
                                            const session_options& options,
                                            kernel::seeded_random_source& random);

/// The answer that the request may have run and has no reply. Precondition: `kind` is failed or
/// timed_out.
[[nodiscard]] gateway_answer failed_answer(answer_kind kind, std::string_view reason);

}  // namespace poplarfront::gateway
