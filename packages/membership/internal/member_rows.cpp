#include "membership/member_rows.h"

#include <algorithm>

namespace poplarfront::membership {
namespace {

using model::instance_status;

// The status of a row after an update about the same process. A reported failure takes effect at
// once only if the row is already suspect here.
instance_status next_status(const member_rows::row& known, const model::instance_info& update) {
    const bool newer = update.incarnation_number > known.info.incarnation_number;
    const auto current = known.info.status;
    const bool leaving = known.was_leaving || update.status == instance_status::leaving;
    if (update.status == instance_status::failed) {
        const bool confirmed = current == instance_status::suspect && !newer;
        if (confirmed || current == instance_status::failed) {
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
    // A row that was purged here must not be added again by an instance that still has it as
    // suspect or failed.
    if (update.status == instance_status::failed || update.status == instance_status::suspect) {
        return merge_outcome::unchanged;
    }
    rows_.emplace(update.instance, row{update, update.status == instance_status::leaving, {}});
    index_valid_ = false;
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
    index_valid_ = false;
    return unconfirmed_failure ? merge_outcome::unconfirmed_failure : merge_outcome::changed;
}

bool member_rows::set_status(const model::instance_id& id, instance_status status) {
    const auto it = rows_.find(id);
    if (it == rows_.end() || it->second.info.status == status) {
        return false;
    }
    it->second.info.status = status;
    it->second.was_leaving = it->second.was_leaving || status == instance_status::leaving;
    index_valid_ = false;
    return true;
}

void member_rows::set_purge_time(const model::instance_id& id, kernel::time_point at) {
    const auto it = rows_.find(id);
    if (it != rows_.end()) {
        it->second.purge_at = at;
    }
}

bool member_rows::purge(kernel::time_point now, std::size_t max_failed) {
    std::vector<std::pair<kernel::time_point, model::instance_id>> by_purge_time;
    for (const auto* it : failed()) {
        by_purge_time.emplace_back(it->purge_at, it->info.instance);
    }
    std::sort(by_purge_time.begin(), by_purge_time.end());
    const auto excess = by_purge_time.size() > max_failed ? by_purge_time.size() - max_failed : 0;
    std::size_t removed = 0;
    for (const auto& [at, id] : by_purge_time) {
        if (removed >= excess && at > now) {
            break;
        }
        rows_.erase(id);
        ++removed;
    }
    index_valid_ = index_valid_ && removed == 0;
    return removed > 0;
}

const member_rows::row* member_rows::find(const model::instance_id& id) const {
    const auto it = rows_.find(id);
    return it == rows_.end() ? nullptr : &it->second;
}

const std::vector<const member_rows::row*>& member_rows::not_failed() const {
    update_index();
    return not_failed_;
}

const std::vector<const member_rows::row*>& member_rows::failed() const {
    update_index();
    return failed_;
}

void member_rows::update_index() const {
    if (index_valid_) {
        return;
    }
    not_failed_.clear();
    failed_.clear();
    for (const auto& [id, row] : rows_) {
        auto& list = row.info.status == instance_status::failed ? failed_ : not_failed_;
        list.push_back(&row);
    }
    index_valid_ = true;
}

}  // namespace poplarfront::membership
