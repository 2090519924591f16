/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvaned/internal/metricstext.h"

#include <limits>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <utility>
#include <vector>

namespace saltvane::saltvaned {

namespace {

using Labels = std::vector<prometheus::ClientMetric::Label>;
using ReasonCounts = std::array<uint64_t, static_cast<size_t>(model::Reason::Count)>;

prometheus::MetricFamily makeFamily(std::string name, std::string help, prometheus::MetricType type)
{
    prometheus::MetricFamily family;
    family.name = std::move(name);
    family.help = std::move(help);
    family.type = type;
    return family;
}

void addCounter(prometheus::MetricFamily& family, Labels labels, uint64_t value)
{
    prometheus::ClientMetric metric;
    metric.label = std::move(labels);
    metric.counter.value = static_cast<double>(value);
    family.metric.push_back(std::move(metric));
}

void addGauge(prometheus::MetricFamily& family, Labels labels, double value)
{
    prometheus::ClientMetric metric;
    metric.label = std::move(labels);
    metric.gauge.value = value;
    family.metric.push_back(std::move(metric));
}

prometheus::MetricFamily makeGauge(const char* name, const char* help, double value)
{
    prometheus::MetricFamily family = makeFamily(name, help, prometheus::MetricType::Gauge);
    addGauge(family, {}, value);
    return family;
}

prometheus::MetricFamily makeReasonFamily(
    const char* name, const char* help, const ReasonCounts& core, const ReasonCounts& adapters)
{
    prometheus::MetricFamily family = makeFamily(name, help, prometheus::MetricType::Counter);
    for (size_t index = 1; index < core.size(); ++index) {
        const std::string reason(model::toString(static_cast<model::Reason>(index)));
        addCounter(family, {{"reason", reason}}, core[index] + adapters[index]);
    }
    return family;
}

prometheus::MetricFamily makeCloses(const model::Counters& adapters)
{
    prometheus::MetricFamily family = makeFamily("saltvane_connection_closes_total",
        "Callers' connections that the host closed, by reason", prometheus::MetricType::Counter);
    for (size_t index = 0; index < adapters.closes.size(); ++index) {
        const std::string reason(model::toString(static_cast<model::CloseReason>(index)));
        addCounter(family, {{"reason", reason}}, adapters.closes.at(index));
    }
    return family;
}

void addCounters(
    std::vector<prometheus::MetricFamily>& families, const model::Counters& core, const model::Counters& adapters)
{
    for (size_t index = 0; index < core.values.size(); ++index) {
        const model::CounterInfo info = model::infoOf(static_cast<model::Counter>(index));
        prometheus::MetricFamily family
            = makeFamily(std::string(info.name), std::string(info.help), prometheus::MetricType::Counter);
        addCounter(family, {}, core.values[index] + adapters.values[index]);
        families.push_back(std::move(family));
    }
    families.push_back(makeReasonFamily(
        "saltvane_refusals_total", "Requests refused (not run), by reason", core.refusals, adapters.refusals));
    families.push_back(
        makeReasonFamily("saltvane_retries_total", "Attempts repeated, by reason", core.retries, adapters.retries));
    families.push_back(makeReasonFamily(
        "saltvane_unknowns_total", "Requests with an unknown outcome, by reason", core.unknowns, adapters.unknowns));
    families.push_back(makeReasonFamily("saltvane_withheld_total",
        "Dispatches withheld before their first byte, by reason", core.withheld, adapters.withheld));
    families.push_back(makeCloses(adapters));
}

void addZoneGauges(std::vector<prometheus::MetricFamily>& families, const host::HostStatus& status)
{
    const auto gauge = prometheus::MetricType::Gauge;
    prometheus::MetricFamily room = makeFamily("saltvane_zone_room", "Slots usable in the zone, as known here", gauge);
    prometheus::MetricFamily inFlight
        = makeFamily("saltvane_zone_in_flight", "Requests in flight on the zone's targets, as known here", gauge);
    prometheus::MetricFamily open
        = makeFamily("saltvane_zone_open_ratio", "Share of the zone's room that is open", gauge);
    for (const host::ZoneStatus& zone : status.zones) {
        const Labels labels {{"zone", zone.zone.value()}, {"service", zone.service.value()}};
        addGauge(room, labels, zone.room);
        addGauge(inFlight, labels, zone.inFlight);
        addGauge(open, labels, zone.openShare);
    }
    families.push_back(std::move(room));
    families.push_back(std::move(inFlight));
    families.push_back(std::move(open));
}

prometheus::MetricFamily makeLatencies(std::span<const model::StageLatency> latencies)
{
    prometheus::MetricFamily family = makeFamily(
        "saltvane_latency_seconds", "Time of requests, by kind and stage", prometheus::MetricType::Histogram);
    for (const model::StageLatency& latency : latencies) {
        prometheus::ClientMetric metric;
        metric.label = {{"kind", std::string(latency.kind)}, {"stage", std::string(latency.stage)}};
        uint64_t count = 0;
        for (size_t i = 0; i < latency.histogram.counts.size(); ++i) {
            count += latency.histogram.counts.at(i);
            const bool isLast = i == model::LatencyBucketBoundsSeconds.size();
            const double bound
                = isLast ? std::numeric_limits<double>::infinity() : model::LatencyBucketBoundsSeconds.at(i);
            metric.histogram.bucket.push_back({count, bound});
        }
        metric.histogram.sample_count = count;
        metric.histogram.sample_sum = latency.histogram.sumSeconds;
        family.metric.push_back(std::move(metric));
    }
    return family;
}

} // namespace

std::string metricsText(const MetricsInput& input)
{
    const host::HostStatus& status = input.status;
    std::vector<prometheus::MetricFamily> families;
    addCounters(families, input.core, input.adapters);
    addZoneGauges(families, status);
    families.push_back(makeGauge(
        "saltvane_serving", "1 while the host takes requests", status.state == model::HostState::Serving ? 1.0 : 0.0));
    families.push_back(makeGauge("saltvane_cut_off", "1 while the host hears nothing from control", status.isCutOff));
    families.push_back(makeGauge(
        "saltvane_bundle_version", "Bundle version in force here", static_cast<double>(status.inForceVersion.value)));
    families.push_back(makeGauge(
        "saltvane_state_age_seconds", "Time since control confirmed the state as current", toSeconds(status.stateAge)));
    families.push_back(
        makeGauge("saltvane_requests_in_flight", "Callers' requests in flight here", status.requestsInFlight));
    families.push_back(makeGauge(
        "saltvane_dispatches_in_flight", "Requests in flight on targets owned here", status.dispatchesInFlight));
    families.push_back(
        makeGauge("saltvane_control_leader", "1 while this host leads the replicated log", status.isControlLeader));
    families.push_back(makeGauge(
        "saltvane_control_current", "1 while this control host has proof of being current", status.isControlCurrent));
    families.push_back(makeGauge("saltvane_targets_known", "Targets this host knows", status.targetsKnown));
    families.push_back(makeGauge(
        "saltvane_targets_unreachable", "1 while this gateway reaches no target", status.areTargetsUnreachable));
    families.push_back(
        makeGauge("saltvane_gateways_known", "Gateways heard of lately by a registry host", status.gatewaysKnown));
    families.push_back(makeGauge("saltvane_link_backlog_bytes", "Bytes that wait for other hosts to take them",
        static_cast<double>(input.linkBacklogBytes)));
    families.push_back(makeGauge("saltvane_link_memory_bytes", "Memory of the buffers of all links",
        static_cast<double>(input.linkMemoryBytes)));
    families.push_back(makeGauge(
        "saltvane_call_bytes", "Bodies of calls under way at a registry host", static_cast<double>(status.callBytes)));
    families.push_back(
        makeGauge("saltvane_body_bytes", "Memory held for bodies of requests", static_cast<double>(status.bodyBytes)));
    families.push_back(
        makeGauge("saltvane_resident_bytes", "Memory of this process", static_cast<double>(input.residentBytes)));
    families.push_back(makeGauge("saltvane_stood_still_seconds",
        "Time in which timers of this process were late by over 250 ms, since its start", toSeconds(input.stallTime)));
    families.push_back(makeGauge("saltvane_word_age_seconds",
        "Time since a gateway asked the registry something that was answered with a proof",
        toSeconds(status.registryInfoAge)));
    families.push_back(makeGauge("saltvane_orders_index",
        "Log index of the newest orders about targets and zones that this host knows",
        static_cast<double>(status.orders.index.value)));
    if (!input.latencies.empty())
        families.push_back(makeLatencies(input.latencies));
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace saltvane::saltvaned
