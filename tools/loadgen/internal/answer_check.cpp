#include "loadgen/answer_check.h"

#include <algorithm>
#include <set>

#include "backend_server/records.h"

namespace poplarfront::loadgen {
namespace {

constexpr std::string_view key_prefix = "key:";

std::set<std::string> services_of(const std::vector<std::string>& shards) {
    std::set<std::string> services;
    for (const auto& it : shards) {
        services.insert(it.substr(0, it.find(':')));
    }
    return services;
}

void check_coverage(const received_answer& answer, std::vector<std::string>& broken) {
    if (answer.complete != answer.missing.empty()) {
        broken.emplace_back("the answer states \"complete\" wrongly");
    }
    std::set<std::string> shards{answer.covered.begin(), answer.covered.end()};
    shards.insert(answer.missing.begin(), answer.missing.end());
    if (shards.size() != answer.covered.size() + answer.missing.size()) {
        broken.emplace_back("a shard is listed twice");
    }
}

void check_versions(const received_answer& answer, std::vector<std::string>& broken) {
    for (const auto& it : answer.records) {
        if (standins::stated_version(it.body) != answer.version) {
            broken.push_back("record " + it.key + " is not of the version of the answer");
        }
    }
}

/// `all` must give exactly one record for each covered shard.
void check_all(const received_answer& answer, std::vector<std::string>& broken) {
    std::vector<std::string> keys;
    for (const auto& it : answer.records) {
        keys.push_back(it.key);
    }
    auto covered = answer.covered;
    std::sort(keys.begin(), keys.end());
    std::sort(covered.begin(), covered.end());
    if (keys != covered) {
        broken.emplace_back("the records are not those of the covered shards");
    }
}

/// A key must give one record for each service, unless the shard that owns it is missing.
void check_key(std::string_view key, const received_answer& answer,
               std::vector<std::string>& broken) {
    const bool foreign = std::any_of(answer.records.begin(), answer.records.end(),
                                     [key](const auto& it) { return it.key != key; });
    if (foreign) {
        broken.emplace_back("a record has a key that was not asked for");
    }
    const auto services = services_of(answer.covered).size();
    if (answer.records.size() > services) {
        broken.emplace_back("a key was found more than once");
    }
    if (answer.complete && answer.records.size() < services) {
        broken.emplace_back("a complete answer lacks a record");
    }
}

}  // namespace

std::vector<std::string> broken_promises(const expected_answer& expected,
                                         const received_answer& answer) {
    std::vector<std::string> broken;
    if (answer.request != expected.request) {
        broken.emplace_back("the answer belongs to another request");
    }
    if (answer.searcher != expected.searcher) {
        broken.emplace_back("the answer belongs to another searcher");
    }
    check_coverage(answer, broken);
    check_versions(answer, broken);
    const std::string_view word{expected.query.data(),
                                std::min(expected.query.find(' '), expected.query.size())};
    if (word == "all") {
        check_all(answer, broken);
    } else if (word.starts_with(key_prefix)) {
        check_key(word.substr(key_prefix.size()), answer, broken);
    }
    return broken;
}

std::vector<std::string> broken_promises(const action_history& history, std::uint64_t executions) {
    std::vector<std::string> broken;
    const auto told = [&](std::string_view status) {
        return std::find(history.statuses.begin(), history.statuses.end(), status) !=
               history.statuses.end();
    };
    const auto name = "action " + history.request_key;
    if (executions > 1) {
        broken.push_back(name + " ran " + std::to_string(executions) + " times");
    }
    if (executions == 0 && (told("executed") || told("already_executed"))) {
        broken.push_back(name + " did not run but was reported as executed");
    }
    // After other statuses an earlier send may have run.
    const bool only_not_run =
        !history.statuses.empty() && std::all_of(history.statuses.begin(), history.statuses.end(),
                                                 [](const auto& it) { return it == "not_run"; });
    if (executions > 0 && only_not_run) {
        broken.push_back(name + " ran but was reported as not run");
    }
    return broken;
}

}  // namespace poplarfront::loadgen
