#pragma once

#include <boost/asio/dispatch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "daemon/decoded_messages.h"
#include "daemon/instance_identity.h"
#include "daemon/peer_link.h"
#include "kernel/module_registration.h"
#include "kernel/readiness.h"
#include "kernel/reload.h"
#include "kernel/state_registry.h"
#include "metrics/exposition.h"
#include "metrics/metrics_json.h"
#include "proxy/crash_channel.h"
#include "proxy/delegated_gather_service.h"
#include "proxy/fleet_publisher.h"
#include "proxy/front_server.h"
#include "proxy/gateway_settings.h"
#include "proxy/request_log.h"
#include "runtime/http_server.h"
#include "runtime/thread_set.h"

namespace poplarfront::proxy {

/// Serves the clients of one protocol. An instantiation for a protocol is registered as a module.
template <gateway_protocol Protocol>
class gateway_module {
public:
    static kernel::module_descriptor descriptor() {
        return {
            "gateway", {"runtime", "instance", "peers", "fleet"}, gateway_settings(), {"gateway"}};
    }

    static kernel::result<std::shared_ptr<gateway_module>> create(kernel::module_context& context) {
        const auto& settings = context.process_settings();
        const auto publisher = context.require<fleet_publisher>();
        auto module = std::make_shared<gateway_module>();
        module->threads_ = context.require<runtime::thread_set>();
        module->ready_address_ = settings.text("gateway", "ready");
        for (const auto& thread : module->threads_->traffic) {
            auto thread_context = std::make_shared<traffic_context<Protocol>>(
                thread, publisher->view(), session_options_from(settings),
                backend_pool_options_from(settings, module->threads_->traffic.size()),
                std::random_device{}());
            auto options = front_server_options_from(settings);
            options.share_address = module->threads_->traffic.size() > 1;
            module->servers_.push_back(
                front_server<Protocol>::create(thread_context, std::move(options)));
            module->contexts_.push_back(std::move(thread_context));
        }
        module->register_delegation_handlers(context);
        connect_quarantines(module->contexts_, context.require<crash_channel>());
        share_notices(module->contexts_);
        publisher->on_published([contexts = module->contexts_] { post_view_update(contexts); });
        context.require<kernel::reload_handlers>()->add(
            [contexts = module->contexts_](const kernel::settings& next) {
                for (const auto& it : contexts) {
                    boost::asio::post(it->thread->context(),
                                      [it, options = session_options_from(next)] {
                                          it->state.set_options(options);
                                      });
                }
            });
        module->register_readiness_and_metrics(context, publisher->view());
        return module;
    }

    kernel::result<void> start() {
        return boost::leaf::try_handle_some(
            [&]() -> kernel::result<void> {
                for (const auto& server : servers_) {
                    BOOST_LEAF_CHECK(server->start());
                }
                runtime::http_server_options options;
                options.address = ready_address_;
                BOOST_LEAF_ASSIGN(ready_server_,
                                  runtime::http_server::create(
                                      threads_->control, options,
                                      [readiness = readiness_](const runtime::http_request&) {
                                          return readiness->ready()
                                                     ? runtime::http_response{ok, "{}"}
                                                     : runtime::http_response{unavailable, "{}"};
                                      }));
                return {};
            },
            [&](const runtime::listen_error& error) -> kernel::result<void> {
                // The kernel does not stop a module whose start failed.
                for (const auto& it : servers_) {
                    it->stop_immediately();
                }
                return boost::leaf::new_error(
                    kernel::module_error{"gateway", error.address + ": " + error.message});
            });
    }

    void begin_stop() {
        for (const auto& it : contexts_) {
            it->stopping = true;
        }
        // The threads stop at the same time, since the time of a stop is limited.
        for (const auto& it : servers_) {
            it->begin_stop();
        }
    }

    void stop() {
        for (const auto& it : servers_) {
            it->stop();
        }
        constexpr auto drain_timeout = std::chrono::milliseconds{50};
        ready_server_->stop(drain_timeout);
    }

private:
    using context_list = std::vector<std::shared_ptr<traffic_context<Protocol>>>;

    static constexpr unsigned ok = 200;
    static constexpr unsigned unavailable = 503;

    /// Shares the crashes that each traffic thread observes with the other threads and instances.
    static void connect_quarantines(const context_list& contexts,
                                    const std::shared_ptr<crash_channel>& channel) {
        for (const auto& it : contexts) {
            gateway::crash_quarantine::publication publication;
            publication.change = [channel](const auto& change) { channel->publish(change); };
            publication.claim_trial = [channel, weak = std::weak_ptr(it)](const auto& trial) {
                channel->claim(trial, [weak, trial](bool granted) {
                    if (const auto context = weak.lock()) {
                        boost::asio::post(context->thread->context(), [context, trial, granted] {
                            context->state.quarantine().on_trial_decision(
                                trial, granted, kernel::time_point::clock::now());
                        });
                    }
                });
            };
            it->state.quarantine().set_publication(std::move(publication));
        }
        std::vector<std::weak_ptr<traffic_context<Protocol>>> weak_contexts{contexts.begin(),
                                                                            contexts.end()};
        channel->on_table([weak_contexts =
                               std::move(weak_contexts)](const crash_channel::table_ptr& table) {
            for (const auto& weak : weak_contexts) {
                if (const auto it = weak.lock()) {
                    boost::asio::post(it->thread->context(), [it, table] {
                        it->state.quarantine().on_table(table, kernel::time_point::clock::now());
                    });
                }
            }
        });
    }

    /// Passes the notices of backend servers that one traffic thread receives to the others.
    static void share_notices(const context_list& contexts) {
        const std::vector<std::weak_ptr<traffic_context<Protocol>>> weak_contexts{contexts.begin(),
                                                                                  contexts.end()};
        for (const auto& receiver : contexts) {
            receiver->state.notices().set_publication(
                [weak_contexts, own = receiver.get()](const gateway::backend_notice& notice) {
                    log_backend_notice(notice);
                    for (const auto& weak : weak_contexts) {
                        const auto it = weak.lock();
                        if (it != nullptr && it.get() != own) {
                            boost::asio::post(it->thread->context(), [it, notice] {
                                it->state.notices().on_notice(notice);
                            });
                        }
                    }
                });
        }
    }

    /// Enables delegation of gathers to other instances, and executes gathers that they delegate.
    void register_delegation_handlers(kernel::module_context& context) {
        const auto link = context.require<daemon::peer_link>();
        const auto identity = context.require<const daemon::instance_identity>();
        std::vector<std::shared_ptr<delegated_gather_service<Protocol>>> services;
        for (std::size_t thread_index = 0; thread_index < contexts_.size(); ++thread_index) {
            contexts_[thread_index]->delegated_gathers = std::make_unique<delegated_gather_table>(
                link, identity->peer_address, thread_index, contexts_.size());
            services.push_back(std::make_shared<delegated_gather_service<Protocol>>(
                contexts_[thread_index], link));
        }
        dispatch_to_threads(
            *link, wire::message_kind::delegated_gather, wire::decode_delegated_gather,
            [services](std::size_t thread_index, const auto& gather, const std::string& sender) {
                services[thread_index]->on_delegated_gather(gather, sender);
            });
        dispatch_to_threads(
            *link, wire::message_kind::gather_warm_up, wire::decode_delegated_gather_reference,
            [services](std::size_t thread_index, const auto& warm_up, const std::string&) {
                services[thread_index]->on_warm_up(warm_up);
            });
        dispatch_to_threads(
            *link, wire::message_kind::gather_confirmation, wire::decode_delegated_gather_reference,
            [services](std::size_t thread_index, const auto& confirmation, const std::string&) {
                services[thread_index]->on_confirmation(confirmation);
            });
        dispatch_to_threads(
            *link, wire::message_kind::gather_cancel, wire::decode_gather_cancel,
            [services](std::size_t thread_index, const auto& cancel, const std::string&) {
                services[thread_index]->on_cancel(cancel);
            });
        dispatch_to_threads(*link, wire::message_kind::gather_report, wire::decode_gather_report,
                            [contexts = contexts_](std::size_t thread_index, const auto& report,
                                                   const std::string&) {
                                contexts[thread_index]->delegated_gathers->on_report(report);
                            });
    }

    /// Passes each message of one kind to the traffic thread whose index is the message's number
    /// modulo the number of traffic threads.
    template <class Decoder, class Handler>
    void dispatch_to_threads(daemon::peer_link& link, wire::message_kind kind, Decoder decode,
                             Handler handler) {
        link.on(kind, daemon::decoded(decode, [contexts = contexts_, handler](
                                                  auto value, const std::string& sender) {
                    const auto thread_index =
                        static_cast<std::size_t>(value.number % contexts.size());
                    boost::asio::dispatch(contexts[thread_index]->thread->context(),
                                          [handler, thread_index, value = std::move(value),
                                           sender] { handler(thread_index, value, sender); });
                }));
    }

    void register_readiness_and_metrics(kernel::module_context& context,
                                        const fleet_publisher::view_ptr& view) {
        readiness_ = context.require<kernel::readiness>();
        readiness_->add([view] { return view->read()->configuration != nullptr; });
        readiness_->add([contexts = contexts_] { return !contexts.front()->stopping; });
        context.require<metrics::metrics_registry>()->add(
            [contexts = contexts_, view](metrics::exposition& page) {
                add_metrics(contexts, *view->read(), page);
            });
        context.require<kernel::state_registry>()->add(
            "gateway", [contexts = contexts_] { return encode_state(contexts); });
    }

    static void post_view_update(const context_list& contexts) {
        for (const auto& it : contexts) {
            boost::asio::post(it->thread->context(), [it] { it->on_view_published(); });
        }
    }

    static void add_metrics(const context_list& contexts, const gateway::fleet_view& view,
                            metrics::exposition& page) {
        metrics::counter_snapshot answers;
        metrics::counter_snapshot events;
        metrics::latency_snapshot latencies;
        typename backend_pool<Protocol>::connection_counters connections;
        std::uint64_t open_requests = 0;
        std::size_t suspected_requests = 0;
        for (const auto& it : contexts) {
            it->thread->run([&] {
                answers = metrics::merged(answers, it->answers.snapshot());
                events = metrics::merged(events, it->state.counters().snapshot());
                latencies = metrics::merged(latencies, it->latencies.snapshot());
                suspected_requests = it->state.quarantine().shared_request_count();
                connections.opened += it->pool.counters().opened;
                connections.reused += it->pool.counters().reused;
                connections.connect_errors += it->pool.counters().connect_errors;
                open_requests += it->open_requests;
            });
        }
        page.counters("poplarfront_answers_total", "Answers to clients by kind or own status.",
                      "kind", answers);
        page.counters("poplarfront_attempts_total", "Requests to backend servers by outcome.",
                      "outcome", events);
        page.histogram("poplarfront_answer_seconds",
                       "Time from the end of a request to its answer.", latencies);
        page.counter("poplarfront_backend_connections_opened_total",
                     "Connections opened to backend servers.", connections.opened);
        page.counter("poplarfront_backend_connections_reused_total",
                     "Requests sent on connections that were open.", connections.reused);
        page.counter("poplarfront_backend_connections_failed_total",
                     "Connections to backend servers that could not be opened.",
                     connections.connect_errors);
        page.gauge("poplarfront_open_requests", "Requests under way.", open_requests);
        page.gauge("poplarfront_configuration_version", "Version of the configuration in force.",
                   view.configuration == nullptr ? 0 : view.configuration->version);
        page.gauge("poplarfront_instances", "Instances that share the backend servers.",
                   view.instances);
        page.gauge("poplarfront_suspected_requests",
                   "Requests with crashes of backend servers that all instances know.",
                   suspected_requests);
        page.gauge("poplarfront_store_reached", "1 if the last call of the store was answered.",
                   view.store_reached ? 1 : 0);
    }

    static std::string encode_state(const context_list& contexts) {
        std::string text = "[";
        for (const auto& it : contexts) {
            it->thread->run([&] {
                text +=
                    std::string{text.size() > 1 ? "," : ""} +
                    "{\"open_requests\":" + std::to_string(it->open_requests) +
                    ",\"connections\":" + std::to_string(it->pool.connection_count()) +
                    ",\"latency\":" + metrics::encode_latency(it->latencies.snapshot()) +
                    ",\"counters\":" + metrics::encode_counters(it->state.counters().snapshot()) +
                    "}";
            });
        }
        return text + "]";
    }

    std::shared_ptr<runtime::thread_set> threads_;
    std::shared_ptr<kernel::readiness> readiness_;
    context_list contexts_;
    std::vector<std::shared_ptr<front_server<Protocol>>> servers_;
    std::unique_ptr<runtime::http_server> ready_server_;
    std::string ready_address_;
};

}  // namespace poplarfront::proxy
