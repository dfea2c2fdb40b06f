#include "membership/member_rows.h"

#include <algorithm>

namespace poplarfront::membership {
namespace {

using model::instance_status;

// What an update about the same process makes of a row. A report of a failure only counts at once
// if the row was already suspect here.
instance_status next_status(const member_rows::row& known, const model::instance_info& update) {
    const bool newer = update.incarnation_number > known.info.incarnation_number;
    const auto current = known.info.status;
    const bool leaving = known.was_leaving || update.status == instance_status::leaving;
    if (update.status == instance_status::failed) {
        const bool agreed = current == instance_status::suspect && !newer;
        if (agreed || current == instance_status::failed) {
            return instance_status::failed;
        }
        return leaving ? instance_status::leaving : instance_status::suspect;
    }
    if (!newer && current == instance_status::failed) {
        return current;
    }
    if (leaving) {
        return instance_status::leaving;
    }
    return newer ? update.status : std::max(current, update.status);
}

}  // namespace

merge_outcome member_rows::merge(const model::instance_info& update) {
    const auto it = rows_.find(update.instance);
    if (it != rows_.end()) {
        return merge_known(it->second, update);
    }
    // A row that was purged here must not come back from an instance that still doubts it.
    if (update.status == instance_status::failed || update.status == instance_status::suspect) {
        return merge_outcome::unchanged;
    }
    rows_.emplace(update.instance, row{update, update.status == instance_status::leaving, {}});
    indexed_ = false;
    return merge_outcome::changed;
}

merge_outcome member_rows::merge_known(row& known, const model::instance_info& update) {
    if (update.incarnation_number < known.info.incarnation_number) {
        return merge_outcome::stale;
    }
    auto next = update;
    if (process_start(update.incarnation_number) > process_start(known.info.incarnation_number)) {
        known.was_leaving = update.status == instance_status::leaving;
    } else {
        next.status = next_status(known, update);
        known.was_leaving = known.was_leaving || next.status == instance_status::leaving;
    }
    const bool unconfirmed_failure =
        update.status == instance_status::failed && next.status != instance_status::failed;
    if (next == known.info) {
        return unconfirmed_failure ? merge_outcome::unconfirmed_failure : merge_outcome::unchanged;
    }
    known.info = std::move(next);
    indexed_ = false;
    return unconfirmed_failure ? merge_outcome::unconfirmed_failure : merge_outcome::changed;
}

bool member_rows::set_status(const model::instance_id& id, instance_status status) {
    const auto it = rows_.find(id);
    if (it == rows_.end() || it->second.info.status == status) {
        return false;
    }
    it->second.info.status = status;
    it->second.was_leaving = it->second.was_leaving || status == instance_status::leaving;
    indexed_ = false;
    return true;
}

void member_rows::set_purge_time(const model::instance_id& id, kernel::time_point at) {
    const auto it = rows_.find(id);
    if (it != rows_.end()) {
        it->second.purge_at = at;
    }
}

bool member_rows::purge(kernel::time_point now, std::size_t max_failed) {
    std::vector<std::pair<kernel::time_point, model::instance_id>> order;
    for (const auto* it : failed()) {
        order.emplace_back(it->purge_at, it->info.instance);
    }
    std::sort(order.begin(), order.end());
    const auto excess = order.size() > max_failed ? order.size() - max_failed : 0;
    std::size_t n = 0;
    for (const auto& [at, id] : order) {
        if (n >= excess && at > now) {
            break;
        }
        rows_.erase(id);
        ++n;
    }
    indexed_ = indexed_ && n == 0;
    return n > 0;
}

const member_rows::row* member_rows::find(const model::instance_id& id) const {
    const auto it = rows_.find(id);
    return it == rows_.end() ? nullptr : &it->second;
}

const std::vector<const member_rows::row*>& member_rows::reachable() const {
    index();
    return reachable_;
}

const std::vector<const member_rows::row*>& member_rows::failed() const {
    index();
    return failed_;
}

void member_rows::index() const {
    if (indexed_) {
        return;
    }
    reachable_.clear();
    failed_.clear();
    for (const auto& [id, row] : rows_) {
        auto& list = row.info.status == instance_status::failed ? failed_ : reachable_;
        list.push_back(&row);
    }
    indexed_ = true;
}

}  // namespace poplarfront::membership
