/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/hostmessages.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace saltvane::steering {

/// Records row movement and diversions, and sums them over every window independently of the code under test.
class MovementRecorder {
public:
    /// Records the current rows. The movement is that of the row that moved most.
    void recordRows(const std::vector<model::RouteRow>& rows, Timestamp now)
    {
        double largest = 0;
        for (size_t index = 0; index < rows.size() && index < last_.size(); ++index)
            largest = std::max(largest, movement(last_[index], rows[index]));
        last_ = rows;
        if (largest > 0)
            events_.push_back({.at = now, .moved = largest});
    }
    void recordRequest(bool isDiverted, Timestamp now)
    {
        events_.push_back({.at = now, .requests = 1, .diverted = isDiverted ? 1.0 : 0.0});
    }

    /// Maximum over all closed windows of the row movement plus the diverted requests as a fraction of the requests in
    /// the window. Only windows that start at an event are examined; one that starts between two events contains no
    /// more.
    [[nodiscard]] double maxMovement(Duration window) const
    {
        double max = 0;
        Event sum;
        size_t end = 0;
        for (const auto& first : events_) {
            for (; end < events_.size() && events_[end].at <= first.at + window; ++end)
                sum.add(events_[end], 1);
            // A window that extends past the last event has too few requests for a meaningful fraction.
            const bool isWhole = first.at + window <= events_.back().at;
            max = std::max(max, sum.moved + (sum.diverted > 0 && isWhole ? sum.diverted / sum.requests : 0));
            sum.add(first, -1);
        }
        return max;
    }

private:
    struct Event {
        Timestamp at;
        double moved = 0;
        double requests = 0;
        double diverted = 0;

        void add(const Event& event, double sign)
        {
            moved += sign * event.moved;
            requests += sign * event.requests;
            diverted += sign * event.diverted;
        }
    };

    static double movement(const model::RouteRow& from, const model::RouteRow& to)
    {
        std::map<ZoneName, double> change;
        double fromSum = 0;
        double toSum = 0;
        for (size_t index = 0; index < from.zones.size(); ++index) {
            change[from.zones[index]] -= from.shares[index];
            fromSum += from.shares[index];
        }
        for (size_t index = 0; index < to.zones.size(); ++index) {
            change[to.zones[index]] += to.shares[index];
            toSum += to.shares[index];
        }
        double sum = std::abs(toSum - fromSum);
        for (const auto& [zone, amount] : change)
            sum += std::abs(amount);
        return sum / 2;
    }

    std::vector<model::RouteRow> last_;
    std::vector<Event> events_;
};

} // namespace saltvane::steering
