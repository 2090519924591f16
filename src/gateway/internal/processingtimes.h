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

/// Rank of a target among an object's targets.
enum class Choice : uint8_t { First, Second, Other };
[[nodiscard]] std::string_view toString(Choice choice);

/// Processing times of targets, learnt from their responses: by route, since routes of one service may differ several
/// times over, and by service, to estimate how long a queue of all its routes takes. Bounded in the number of routes;
/// an unknown route uses the times of its service.
class ProcessingTimes {
public:
    struct Times {
        Duration first {}; ///< Time at an object's first choice, when idle.
        Duration secondExcess {}; ///< Additional time at the second choice, which has the object warm less often.
        Duration otherExcess {}; ///< Additional time at any other target.
        Duration slowest {}; ///< The longest recent time to the head of a response.
        [[nodiscard]] Duration of(Choice choice) const;
    };
    /// Initializes the times of an unknown service from the objective of the first route that is requested.
    void initialize(const ServiceName& service, Duration objective);
    [[nodiscard]] Times ofService(const ServiceName& service) const;
    [[nodiscard]] Times ofRoute(const ServiceName& service, const model::RouteName& route) const;

    /// Records the expected processing time of a request that is sent now, for a cold or a warm object.
    void recordSent(const ServiceName& service, Duration processingTime);
    /// Mean processing time of recently sent requests, which those that wait at a target have before them. Objects that
    /// are cold after a loss of targets take three times as long, and so does each position in a queue.
    [[nodiscard]] Duration meanOfSent(const ServiceName& service) const;

    struct Sample {
        Choice choice = Choice::Other;
        Duration duration {};
        bool hasQueued = false; ///< Waited for a slot, so the duration says nothing about the processing time.
    };
    void record(const ServiceName& service, const model::RouteName& route, const Sample& sample);
    /// Replaces the learnt time of the route at an object's first choice: a response came much earlier.
    void correct(const ServiceName& service, const model::RouteName& route, Duration first);

    /// Records the time from sending a request until its caller had the whole response.
    void recordDelivery(const ServiceName& service, const model::RouteName& route, Duration duration);
    struct Deliveries {
        Duration slowest {}; ///< The longest recent one of these times.
        uint64_t count = 0;
    };
    [[nodiscard]] Deliveries deliveriesOf(const ServiceName& service, const model::RouteName& route) const;

private:
    /// Times of the route; null if it is unknown and no further routes are kept.
    [[nodiscard]] Times* findOrAdd(const ServiceName& service, const model::RouteName& route);
    static void update(Times& times, const Sample& sample);

    std::map<ServiceName, Times> services_;
    std::map<ServiceName, Duration> sent_;
    std::map<std::pair<ServiceName, model::RouteName>, Times> routes_;
    std::map<std::pair<ServiceName, model::RouteName>, Deliveries> deliveries_;
};

} // namespace saltvane::gateway
