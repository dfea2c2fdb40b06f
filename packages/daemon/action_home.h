#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "at_most_once/action_session_table.h"
#include "at_most_once/claim_table.h"
#include "daemon/search_worker.h"
#include "kernel/clock_and_random_sources.h"
#include "metrics/counter_set.h"
#include "runtime/state_machine_loop.h"
#include "store/async_store_adapter.h"
#include "store/http_store_client.h"
#include "wire/claims_codec.h"

namespace poplarfront::daemon {

/// Where completions and replies are posted; the loop's type needs action_home to be complete.
struct action_loop_reference;

/// Posts the completions of store calls to the loop of the claim table; those that arrive when the
/// loop is gone are dropped.
class claim_completions {
public:
    explicit claim_completions(std::shared_ptr<const action_loop_reference> target)
        : target_(std::move(target)) {}

    void on_read(store::call_id call, const store::read_outcome& outcome);
    void on_write(store::call_id call, const store::write_outcome& outcome);

private:
    std::shared_ptr<const action_loop_reference> target_;
};

/// Sends actions to the first replica of their shard that is not draining, on fibers of the
/// worker's thread, and posts one reply for each.
class backend_action_transport {
public:
    backend_action_transport(std::shared_ptr<search_worker> worker,
                             std::function<std::shared_ptr<const tier_state>()> state,
                             std::shared_ptr<const action_loop_reference> target)
        : worker_(std::move(worker)), state_(std::move(state)), target_(std::move(target)) {}

    void send(at_most_once::action_number number, const model::action_request& action);

private:
    std::shared_ptr<search_worker> worker_;
    std::function<std::shared_ptr<const tier_state>()> state_;
    std::shared_ptr<const action_loop_reference> target_;
};

/// The claim table of this instance and the actions for which it is the home.
///
/// Thread safety: used on the fiber of its loop, on the first traffic thread; the dump on another
/// fiber of that thread.
class action_home {
public:
    /// Receives the outcome of an action, once.
    using outcome_sink = std::function<void(const model::action_outcome&)>;

    /// `worker` is that of the first traffic thread; `store` is a client of the same thread.
    static std::shared_ptr<action_home> create(
        std::shared_ptr<search_worker> worker,
        std::function<std::shared_ptr<const tier_state>()> state,
        std::shared_ptr<store::http_store_client> store);

    [[nodiscard]] const std::shared_ptr<action_loop_reference>& loop_reference() { return loop_; }

    /// Starts an action. `on_outcome` is called by its deadline.
    void run(const model::action_request& action, outcome_sink on_outcome);

    void on_reply(at_most_once::action_number number, const at_most_once::action_reply& reply);
    void on_read(store::call_id call, const store::read_outcome& outcome);
    void on_write(store::call_id call, const store::write_outcome& outcome);
    [[nodiscard]] std::optional<kernel::time_point> next_timer() const;
    void on_timer();
    void after_step();

    /// Actions under way, and claims and ends of claims that wait for the store.
    [[nodiscard]] std::size_t unfinished() const {
        return actions_.size() + claims_.pending_changes();
    }
    /// The state as JSON.
    [[nodiscard]] std::string dump() const;

private:
    using clock = kernel::steady_clock_source;
    using random = kernel::seeded_random_source;
    using claim_store = store::async_store_adapter<store::http_store_client, claim_completions>;
    using claims = at_most_once::claim_table<clock, random, claim_store, wire::claims_codec>;
    using actions = at_most_once::action_session_table<clock, backend_action_transport, claims>;

    action_home(std::shared_ptr<search_worker> worker,
                std::function<std::shared_ptr<const tier_state>()> state,
                std::shared_ptr<store::http_store_client> store);

    clock clock_;
    random random_;
    std::shared_ptr<store::http_store_client> client_;
    std::shared_ptr<action_loop_reference> loop_;
    claim_store store_;
    backend_action_transport transport_;
    claims claims_;
    actions actions_;
    std::map<at_most_once::action_number, outcome_sink> sinks_;
    metrics::counter_set outcomes_;
};

using action_loop = runtime::state_machine_loop<action_home>;

/// Creates the loop that runs `home`. Called once, before anything is started.
std::shared_ptr<action_loop> create_loop(action_home& home);

}  // namespace poplarfront::daemon
