#pragma once

#include <concepts>
#include <optional>
#include <string>
#include <utility>

#include "kernel/concepts.h"
#include "model/action.h"

namespace poplarfront::at_most_once {

/// Forwards actions to their home instance. `forward` does not block; the result is passed to
/// forwarded_action::on_result.
template <class T>
concept home_transport = requires(T& transport, const model::instance_id& home,
                                  const model::action_request& action) {
    { transport.forward(home, action) } -> std::same_as<void>;
};

/// State machine of one action that the entry instance forwards to its home instance. Without a
/// result by the deadline the outcome is unknown, since the home instance may have sent the action.
///
/// Thread safety: used on one thread. `clock` and `transport` must outlive it.
template <kernel::clock_source Clock, home_transport Transport>
class forwarded_action {
public:
    forwarded_action(const Clock& clock, Transport& transport, model::instance_id home,
                     model::action_request request)
        : clock_(clock),
          transport_(transport),
          home_(std::move(home)),
          request_(std::move(request)) {}

    /// Forwards the action, unless its deadline has passed.
    void start() {
        if (clock_.now() >= request_.deadline) {
            result_ = {model::action_status::not_run, "", "deadline"};
            return;
        }
        transport_.forward(home_, request_);
    }

    /// Handles a result from the home instance. Results of other requests are ignored.
    void on_result(const model::request_id& request, const model::searcher_id& searcher,
                   const model::action_outcome& outcome) {
        if (!result_ && request == request_.request && searcher == request_.searcher) {
            result_ = outcome;
        }
    }

    /// Must be called when the time next_timer() is reached.
    void on_timer() {
        if (!result_ && clock_.now() >= request_.deadline) {
            result_ = {model::action_status::unknown, "", "no_reply_from_home"};
        }
    }

    [[nodiscard]] kernel::time_point next_timer() const { return request_.deadline; }

    /// The outcome; empty until it is known.
    [[nodiscard]] const std::optional<model::action_outcome>& result() const { return result_; }

    [[nodiscard]] const model::action_request& request() const { return request_; }

private:
    const Clock& clock_;
    Transport& transport_;
    model::instance_id home_;
    model::action_request request_;
    std::optional<model::action_outcome> result_;
};

}  // namespace poplarfront::at_most_once
