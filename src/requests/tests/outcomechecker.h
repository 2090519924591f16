/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "model/reasons.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace saltvane::requests {

/// Compares the outcomes reported to callers with the operations that ran. An operation is identified by its key, or by
/// its request if it has none.
class OutcomeChecker {
public:
    /// A target started running the operation.
    void recordRun(const std::string& operation, bool isRepeatable)
    {
        if (++runs_[operation] > 1 && !isRepeatable)
            report("repeated run of " + operation);
    }
    /// A request for the operation arrived; `request` identifies it.
    void recordStart(const std::string& request, const std::string& operation) { operations_[request] = operation; }
    /// The caller disconnected; it may get no response afterwards.
    void recordDisconnect(const std::string& request) { disconnected_.insert(request); }
    void recordOutcome(const std::string& request, model::Outcome outcome, const std::string& body)
    {
        const std::string& operation = operations_[request];
        if (disconnected_.contains(request))
            report("response after the caller disconnected: " + request);
        if (++outcomes_[request] > 1)
            report("second outcome: " + request);
        ++outcomeCounts[static_cast<size_t>(outcome)];
        if (outcome == model::Outcome::NotRun && runs_.contains(operation))
            report("reported not run after a run: " + operation);
        if (outcome == model::Outcome::Answered && !runs_.contains(operation))
            report("answered without a run: " + operation);
        if (outcome == model::Outcome::Answered && body != responseBodyOf(operation))
            report("wrong or incomplete response for " + operation);
    }
    /// The response of the caller was aborted.
    void recordBrokenResponse(const std::string& request) { recordOutcome(request, model::Outcome::Unknown, {}); }
    /// Called at the end, when each request must have an outcome.
    void finish()
    {
        for (const auto& [request, operation] : operations_) {
            if (!disconnected_.contains(request) && outcomes_[request] == 0)
                report("no outcome: " + request);
        }
    }
    void report(const std::string& fault) { faults.push_back(fault); }

    /// The response body of the operation; some are longer than the limits for buffering and storing.
    static std::string responseBodyOf(const std::string& operation)
    {
        std::string body;
        const size_t times = 1 + std::hash<std::string> {}(operation) % 6000;
        for (size_t count = 0; count < times; ++count)
            body += operation + ";";
        return body;
    }

    std::vector<std::string> faults;
    std::array<int, 3> outcomeCounts {}; ///< Indexed by outcome.
    [[nodiscard]] size_t runs() const { return runs_.size(); }

private:
    std::map<std::string, int> runs_;
    std::map<std::string, std::string> operations_;
    std::map<std::string, int> outcomes_;
    std::set<std::string> disconnected_;
};

} // namespace saltvane::requests
