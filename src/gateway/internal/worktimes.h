/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/timetypes.h"
#include "model/routeplan.h"

#include <map>
#include <string_view>
#include <utility>

namespace saltvane::gateway {

/// Place of a target in the order of an object's targets.
enum class Choice : uint8_t { First, Second, Other };
[[nodiscard]] std::string_view toString(Choice choice);

/// How long targets work, learnt from their answers: by route, since routes of one service may differ several times
/// over in what they take, and by service for how long a queue of all its routes lasts. Bounded in the number of
/// routes; a route that is not known yet is taken for one of its service's usual ones.
class WorkTimes {
public:
    struct Times {
        Duration first {}; ///< Of an object's first choice, when idle.
        Duration secondExcess {}; ///< What the second choice takes beyond that: it is warm less often.
        Duration otherExcess {}; ///< What any other takes beyond that.
        Duration slowest {}; ///< The longest lately.
        [[nodiscard]] Duration of(Choice choice) const;
    };
    /// A request of a route with this objective is about to be sent: of a service that is not known yet the objective
    /// tells about how long its targets work.
    void noteAsked(const ServiceName& service, Duration objective);
    [[nodiscard]] Times ofService(const ServiceName& service) const;
    [[nodiscard]] Times ofRoute(const ServiceName& service, const model::RouteName& route) const;

    /// The work of a request that is sent now, cold or warm as it is expected to be.
    void noteSent(const ServiceName& service, Duration work);
    /// Mean work of the requests sent lately: what those that wait at a target have before them. Objects that are cold
    /// after a loss of targets take three times the work, and so does each place in a queue.
    [[nodiscard]] Duration sentTo(const ServiceName& service) const;

    struct Sample {
        Choice choice = Choice::Other;
        Duration taken {};
        bool hasWaited = false; ///< For a slot: tells nothing of the work.
    };
    void note(const ServiceName& service, const model::RouteName& route, const Sample& sample);

private:
    static void learn(Times& times, const Sample& sample);

    std::map<ServiceName, Times> services_;
    std::map<ServiceName, Duration> sent_;
    std::map<std::pair<ServiceName, model::RouteName>, Times> routes_;
};

} // namespace saltvane::gateway
