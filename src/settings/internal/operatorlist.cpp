/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/internal/operatorlist.h"

#include "model/textchecks.h"

#include <set>

namespace saltvane::settings {
namespace {

void checkOperator(YamlReader& entry, const model::Operator& read, std::set<OperatorName>& names)
{
    if (!model::isName(read.name.value()))
        entry.addFinding("name", std::string(model::NameRule));
    if (!names.insert(read.name).second)
        entry.addFinding("name", "is listed twice: '" + read.name.value() + "'");
    if (!model::isPublicKey(read.publicKey))
        entry.addFinding("public_key", std::string(model::PublicKeyRule));
}

} // namespace

std::vector<model::Operator> readOperators(YamlReader& root, OperatorChecks checks)
{
    std::set<OperatorName> names;
    std::vector<model::Operator> operators;
    for (YamlReader& entry : root.mappings("operators", Presence::Optional)) {
        operators.push_back({.name = OperatorName(entry.text("name")),
            .publicKey = entry.text("public_key"),
            .location = entry.location()});
        if (checks == OperatorChecks::Run)
            checkOperator(entry, operators.back(), names);
        entry.reportUnknownKeys();
    }
    return operators;
}

} // namespace saltvane::settings
