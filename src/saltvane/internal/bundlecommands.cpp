/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvane/internal/bundlecommands.h"

#include "control/icontrolreplica.h"
#include "saltvane/internal/controlclient.h"
#include "saltvane/internal/exitcodes.h"
#include "saltvane/internal/report.h"
#include "saltvane/internal/signer.h"
#include "saltvane/internal/texttable.h"
#include "settings/hostsettings.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace saltvane::cli {

namespace {

constexpr size_t PrintedDigestLength = 12;

std::optional<uint64_t> parseVersion(const std::string& text)
{
    uint64_t version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (error != std::errc() || end != text.data() + text.size() || version == 0)
        return std::nullopt;
    return version;
}

std::optional<uint64_t> versionOperand(const Arguments& arguments)
{
    if (arguments.operands.size() != 1)
        return std::nullopt;
    return parseVersion(arguments.operands.front());
}

/// Loads the operator's key. Prints an error and returns nothing if an option is missing or the key can't be read.
std::optional<Signer> loadSigner(const Arguments& arguments)
{
    if (arguments.operatorName.empty() || arguments.keyPath.empty()) {
        std::cerr << "saltvane: --operator and --key are required to sign\n";
        return std::nullopt;
    }
    Result<Signer, IoError> signer = Signer::load(arguments.keyPath);
    if (!signer) {
        std::cerr << "saltvane: " << signer.error().location << ": " << signer.error().message << "\n";
        return std::nullopt;
    }
    return signer.value();
}

int printResult(
    const Result<nlohmann::json, ClientError>& response, const Arguments& arguments, const std::string& successText)
{
    if (!response)
        return reportError(response.error());
    if (arguments.isJson)
        std::cout << response.value().dump(2) << "\n";
    else
        std::cout << successText << "\n";
    return ExitOk;
}

std::string fieldText(const nlohmann::json& record, const char* name)
{
    const auto value = record.find(name);
    if (value == record.end() || value->is_null())
        return "-";
    return value->is_string() ? value->get<std::string>() : value->dump();
}

} // namespace

int proposeBundle(const Arguments& arguments)
{
    if (arguments.operands.size() != 1) {
        std::cerr << "saltvane: bundle propose takes one file\n";
        return ExitUsage;
    }
    const std::string& path = arguments.operands.front();
    const Result<model::Bundle, Findings> bundle = settings::loadBundle(path);
    if (!bundle) {
        for (const Finding& finding : bundle.error().items())
            std::cerr << toString(finding) << "\n";
        return ExitUsage;
    }
    const std::optional<Signer> signer = loadSigner(arguments);
    if (!signer)
        return ExitUsage;
    std::ostringstream content;
    content << std::ifstream(path).rdbuf();
    const control::ProposeBundle proposal {
        .content = content.str(), .version = bundle.value().version, .author = OperatorName(arguments.operatorName)};
    const nlohmann::json body {{"content", proposal.content}, {"version", proposal.version.value},
        {"author", proposal.author.value()}, {"signature", signer->sign(control::proposalText(proposal))}};
    const std::string version = std::to_string(proposal.version.value);
    return printResult(ControlClient(arguments.servers).post("/v1/control/propose", body), arguments,
        "version " + version + " proposed; another operator approves it with: saltvane bundle approve " + version);
}

int approveBundle(const Arguments& arguments)
{
    const std::optional<uint64_t> version = versionOperand(arguments);
    if (!version) {
        std::cerr << "saltvane: bundle approve takes one version number\n";
        return ExitUsage;
    }
    const std::optional<Signer> signer = loadSigner(arguments);
    if (!signer)
        return ExitUsage;
    const ControlClient client(arguments.servers);
    const auto record = client.get("/v1/control/bundles/" + std::to_string(*version));
    if (!record)
        return reportError(record.error());
    const control::ApproveBundle approval {.version = {*version},
        .digest = record.value().value("digest", std::string()),
        .approver = OperatorName(arguments.operatorName)};
    const nlohmann::json body {{"version", *version}, {"digest", approval.digest},
        {"approver", approval.approver.value()}, {"signature", signer->sign(control::approvalText(approval))}};
    return printResult(client.post("/v1/control/approve", body), arguments,
        "version " + std::to_string(*version)
            + " approved and in force; follow it with: saltvane bundle status --wait");
}

int revertBundle(const Arguments& arguments)
{
    if (arguments.toVersion == 0 || !arguments.operands.empty()) {
        std::cerr << "saltvane: bundle revert takes --to VERSION\n";
        return ExitUsage;
    }
    const std::optional<Signer> signer = loadSigner(arguments);
    if (!signer)
        return ExitUsage;
    const ControlClient client(arguments.servers);
    const auto list = client.get("/v1/control/bundles");
    if (!list)
        return reportError(list.error());
    uint64_t newestVersion = 0;
    for (const nlohmann::json& record : list.value().value("bundles", nlohmann::json::array()))
        newestVersion = std::max(newestVersion, record.value("version", uint64_t {0}));
    const control::RevertBundle revert {
        .to = {arguments.toVersion}, .version = {newestVersion + 1}, .author = OperatorName(arguments.operatorName)};
    const nlohmann::json body {{"to", revert.to.value}, {"version", revert.version.value},
        {"author", revert.author.value()}, {"signature", signer->sign(control::revertText(revert))}};
    const std::string version = std::to_string(revert.version.value);
    return printResult(client.post("/v1/control/revert", body), arguments,
        "version " + version + " proposed with the content of version " + std::to_string(revert.to.value)
            + "; another operator approves it with: saltvane bundle approve " + version);
}

int listBundles(const Arguments& arguments)
{
    const auto list = ControlClient(arguments.servers).get("/v1/control/bundles");
    if (!list)
        return reportError(list.error());
    if (arguments.isJson) {
        std::cout << list.value().dump(2) << "\n";
        return ExitOk;
    }
    TextTable table({"VERSION", "STATE", "AUTHOR", "APPROVER", "DIGEST", "REVERT OF"});
    for (const nlohmann::json& record : list.value().value("bundles", nlohmann::json::array())) {
        table.add({fieldText(record, "version"), fieldText(record, "state"), fieldText(record, "author"),
            fieldText(record, "approver"), fieldText(record, "digest").substr(0, PrintedDigestLength),
            fieldText(record, "revert_of")});
    }
    table.print(std::cout);
    return ExitOk;
}

int showBundle(const Arguments& arguments)
{
    const std::optional<uint64_t> version = versionOperand(arguments);
    if (!version) {
        std::cerr << "saltvane: bundle show takes one version number\n";
        return ExitUsage;
    }
    const auto record = ControlClient(arguments.servers).get("/v1/control/bundles/" + std::to_string(*version));
    if (!record)
        return reportError(record.error());
    if (arguments.isJson)
        std::cout << record.value().dump(2) << "\n";
    else
        std::cout << record.value().value("content", std::string());
    return ExitOk;
}

} // namespace saltvane::cli
