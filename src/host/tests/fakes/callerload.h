/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/tests/fakes/fakedeployment.h"

#include <boost/random/mersenne_twister.hpp>
#include <map>
#include <string>
#include <vector>

namespace saltvane::host::fakes {

struct CallerLoadOptions {
    FakeDeployment* deployment = nullptr; ///< Must outlive the load.
    double requestsPerSecond = 100;
    uint32_t tokenKeyPercent = 25; ///< Non-repeatable requests with a key from a look-up's token.
    uint32_t ownKeyPercent = 5; ///< Non-repeatable requests with a key made by the caller.
    std::vector<ServiceName> services; ///< Empty: all of the first bundle.
    std::vector<RegionName> regions; ///< Empty: all of the first bundle.
    std::string name = "load"; ///< Unique among the loads on the deployment.
    uint64_t seed = 1;
};

/// Outcomes that callers received, and violations found in them.
struct CallerLoadRecord {
    uint64_t requests = 0;
    uint64_t answered = 0;
    uint64_t notRun = 0; ///< Calls with the outcome not-run, counting each resend.
    uint64_t unknown = 0;
    uint64_t broken = 0; ///< No complete response arrived.
    uint64_t resends = 0;
    std::map<std::string, uint64_t> reasons; ///< Calls that were not answered, by "outcome:reason".
    std::vector<std::string> violations;
};

/// Callers as docs/REQUESTS.md describes them: they look up entry hosts, cache the result for its time to live, resend
/// non-repeatable requests with the same key to another host, and check every outcome against the targets' records.
class CallerLoad {
public:
    explicit CallerLoad(CallerLoadOptions options);
    CallerLoad(const CallerLoad&) = delete;
    CallerLoad& operator=(const CallerLoad&) = delete;

    void start();
    /// Starts no new requests; open ones continue.
    void stop() { ++generation_; }
    /// Stops, waits for the open requests and checks the last outcome of each request.
    void finish();
    [[nodiscard]] const CallerLoadRecord& record() const { return record_; }
    /// Calls with this outcome and reason, such as "not-run:no-room".
    [[nodiscard]] uint64_t countOf(const std::string& outcomeAndReason) const;
    [[nodiscard]] size_t openRequests() const { return jobs_.size(); }
    /// All violations, one a line.
    [[nodiscard]] std::string violations() const;
    [[nodiscard]] std::string summary() const;

private:
    enum class Kind { Repeatable, TokenKey, OwnKey };
    /// Clients of one region that call one service.
    struct Caller {
        ServiceName service;
        RegionName region;
        std::string address;
        std::string readPath;
        std::vector<HostId> hosts; ///< From the last look-up.
        std::string token;
        Timestamp expiry;
        bool isLookingUp = false;
        uint32_t failures = 0;
    };
    struct Job {
        size_t caller = 0;
        Kind kind = Kind::Repeatable;
        std::string key;
        uint32_t calls = 0;
        bool isAwaiting = false;
        HttpCall call;
        FakeHttp::CallId callId = 0;
    };
    using JobId = uint64_t;

    void scheduleNext(uint64_t generation);
    void startJob();
    void lookUp(size_t index);
    void handleLookUpReply(size_t index, const HttpReply& reply);
    void send(JobId id);
    void handleReply(JobId id, const HttpReply& reply);
    void onCallerTimeout(JobId id, uint32_t call);
    void handleAnswered(JobId id, const Job& job, const HttpReply& reply);
    void handleNotRun(JobId id, Job& job, const HttpReply& reply);
    void resendOrFinish(JobId id, Job& job, bool wasReportedNotRun);
    void addViolation(JobId id, const Job& job, const std::string& text);
    [[nodiscard]] std::string expectedBody(const Job& job, const std::string& target) const;
    [[nodiscard]] std::string callName(JobId id) const { return options_.name + "-" + std::to_string(id); }
    [[nodiscard]] uint64_t runsOf(JobId id) const { return deployment_.runsOfCall(callName(id)); }
    [[nodiscard]] uint64_t draw(uint64_t bound);
    [[nodiscard]] std::string addressIn(const RegionName& region) const;

    CallerLoadOptions options_;
    FakeDeployment& deployment_;
    VirtualTime& time_;
    boost::random::mt19937_64 random_;
    CallerLoadRecord record_;
    std::vector<Caller> callers_;
    std::map<JobId, Job> jobs_;
    std::map<JobId, std::string> lastNotRun_; ///< Requests whose last outcome was not-run, with a description.
    JobId lastJob_ = 0;
    uint64_t generation_ = 0;
};

} // namespace saltvane::host::fakes
