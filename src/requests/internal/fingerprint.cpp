/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/fingerprint.h"

#include <memory>
#include <xxhash.h>

namespace saltvane::requests {
namespace {

using HashState = std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)>;

void addNumber(XXH64_state_t& state, uint64_t number) { XXH64_update(&state, &number, sizeof number); }

void addText(XXH64_state_t& state, std::string_view text)
{
    addNumber(state, text.size());
    XXH64_update(&state, text.data(), text.size());
}

} // namespace

uint64_t fingerprintOf(
    std::string_view service, std::string_view method, std::string_view path, const RequestBody& body)
{
    const HashState state(XXH64_createState(), &XXH64_freeState);
    XXH64_reset(state.get(), 0);
    addText(*state, service);
    addText(*state, method);
    addText(*state, path);
    addText(*state, body.buffered().substr(0, InitialBodyWindow));
    if (body.received() >= InitialBodyWindow)
        addNumber(*state, body.declaredLength().value_or(0));
    return XXH64_digest(state.get());
}

} // namespace saltvane::requests
