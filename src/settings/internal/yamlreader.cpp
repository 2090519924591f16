/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/internal/yamlreader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <yaml-cpp/exceptions.h>

namespace saltvane::settings {
namespace {

template <typename T> std::optional<T> parseNumber(const std::string& text)
{
    T number {};
    const char* end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc {} || parsed != end)
        return std::nullopt;
    return number;
}

std::string rangeText(const std::string& minimum, const std::string& maximum)
{
    return "must be from " + minimum + " to " + maximum;
}

std::string unitCountText(Duration value, Duration unit) { return std::to_string(value / unit); }

template <typename T> Presence presenceFor(const std::optional<T>& fallback)
{
    return fallback ? Presence::Optional : Presence::Required;
}

} // namespace

std::optional<YamlReader> YamlReader::parse(std::string_view text, YamlContext& context)
{
    try {
        const YamlNode& document = context.storeDocument(parseYaml(text));
        if (document.kind == YamlNode::Kind::Mapping)
            return YamlReader(context, document, "", {});
        context.add(context.location(0, 0), "", "must be one YAML document that is a mapping");
    } catch (const YAML::Exception& error) {
        context.add(context.location(error.mark.line, error.mark.column), "", "cannot be parsed: " + error.msg);
    } catch (const std::exception& error) {
        context.add(context.location(0, 0), "", std::string("cannot be parsed: ") + error.what());
    }
    return std::nullopt;
}

YamlReader::YamlReader(YamlContext& context, const YamlNode& node, std::string path, Location entry)
    : context_(&context)
    , path_(std::move(path))
    , place_(locationOf(node))
    , entry_(std::move(entry))
{
    readFields(node);
}

void YamlReader::readFields(const YamlNode& node)
{
    for (size_t i = 0; i + 1 < node.items.size(); i += 2) {
        const YamlNode& key = node.items[i];
        if (key.kind != YamlNode::Kind::Scalar)
            context_->add(locationOf(key), path_, "has a key that is not a scalar");
        else if (find(key.scalar))
            context_->add(locationOf(key), pathOf(key.scalar), "is listed twice");
        else
            fields_.push_back({.key = key.scalar, .keyLocation = locationOf(key), .value = &node.items[i + 1]});
    }
}

std::string YamlReader::pathOf(std::string_view key) const
{
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

Location YamlReader::locationOf(const YamlNode& node) const { return context_->location(node.line, node.column); }

YamlReader::Field* YamlReader::find(std::string_view key)
{
    const auto found
        = std::find_if(fields_.begin(), fields_.end(), [key](const Field& field) { return field.key == key; });
    return found == fields_.end() ? nullptr : &*found;
}

bool YamlReader::has(std::string_view key) const
{
    return std::any_of(fields_.begin(), fields_.end(),
        [key](const Field& field) { return field.key == key && field.value->kind != YamlNode::Kind::Null; });
}

void YamlReader::rejectField(std::string_view key, const Location& location, std::string message)
{
    invalidFields_.emplace_back(key);
    context_->recordInvalidField(entry_, pathOf(key));
    context_->add(location, pathOf(key), std::move(message));
}

bool YamlReader::isInvalid(std::string_view key) const
{
    return std::find(invalidFields_.begin(), invalidFields_.end(), key) != invalidFields_.end();
}

void YamlReader::addFinding(std::string_view key, std::string message)
{
    if (isInvalid(key))
        return;
    const Field* field = find(key);
    rejectField(key, field ? locationOf(*field->value) : place_, std::move(message));
}

void YamlReader::addItemFinding(std::string_view key, const Location& location, std::string message)
{
    rejectField(key, location, std::move(message));
}

const YamlNode* YamlReader::value(std::string_view key, Presence presence)
{
    Field* field = find(key);
    if (field)
        field->isRead = true;
    if (field && field->value->kind != YamlNode::Kind::Null) {
        context_->recordField(entry_, pathOf(key), locationOf(*field->value));
        return field->value;
    }
    if (field)
        rejectField(key, field->keyLocation, "has no value");
    else if (presence == Presence::Required)
        rejectField(key, place_, "is missing");
    return nullptr;
}

std::optional<std::string> YamlReader::scalar(std::string_view key, Presence presence)
{
    const auto node = value(key, presence);
    if (!node)
        return std::nullopt;
    if (node->kind == YamlNode::Kind::Scalar)
        return node->scalar;
    rejectField(key, locationOf(*node), "must be a single value");
    return std::nullopt;
}

std::optional<double> YamlReader::number(std::string_view key, Presence presence)
{
    const auto text = scalar(key, presence);
    if (!text)
        return std::nullopt;
    const Field* field = find(key);
    const auto parsed = parseNumber<double>(*text);
    if (parsed && std::isfinite(*parsed) && field->value->isPlain)
        return parsed;
    rejectField(key, locationOf(*field->value), "must be a number");
    return std::nullopt;
}

const YamlNode* YamlReader::sequence(std::string_view key, Presence presence)
{
    const auto node = value(key, presence);
    if (!node)
        return nullptr;
    if (node->kind == YamlNode::Kind::Sequence)
        return node;
    rejectField(key, locationOf(*node), "must be a list");
    return nullptr;
}

std::string YamlReader::text(std::string_view key, std::optional<std::string> fallback)
{
    const auto found = scalar(key, presenceFor(fallback));
    return found ? *found : fallback.value_or("");
}

uint64_t YamlReader::integer(std::string_view key, IntegerRange range, std::optional<uint64_t> fallback)
{
    const uint64_t defaultValue = fallback.value_or(range.minimum);
    const auto found = scalar(key, presenceFor(fallback));
    if (!found)
        return defaultValue;
    const Field* field = find(key);
    const auto parsed = parseNumber<uint64_t>(*found);
    if (!parsed || !field->value->isPlain) {
        rejectField(key, locationOf(*field->value), "must be a whole number");
        return defaultValue;
    }
    if (*parsed >= range.minimum && *parsed <= range.maximum)
        return *parsed;
    rejectField(
        key, locationOf(*field->value), rangeText(std::to_string(range.minimum), std::to_string(range.maximum)));
    return defaultValue;
}

double YamlReader::decimal(std::string_view key, std::optional<double> fallback)
{
    return number(key, presenceFor(fallback)).value_or(fallback.value_or(0));
}

Duration YamlReader::duration(
    std::string_view key, Duration unit, std::optional<Duration> fallback, DurationRange range)
{
    const Duration defaultValue = fallback.value_or(range.minimum);
    const auto units = number(key, presenceFor(fallback));
    if (!units)
        return defaultValue;
    const double nanoseconds = *units * static_cast<double>(unit.count());
    const bool isInRange = nanoseconds >= static_cast<double>(range.minimum.count())
        && nanoseconds <= static_cast<double>(range.maximum.count());
    if (isInRange)
        return Duration(std::llround(nanoseconds));
    rejectField(key, locationOf(*find(key)->value),
        rangeText(unitCountText(range.minimum, unit), unitCountText(range.maximum, unit)));
    return defaultValue;
}

model::Address YamlReader::address(std::string_view key)
{
    const auto found = scalar(key, Presence::Required);
    if (!found)
        return {};
    const auto parsed = model::parseAddress(*found);
    if (parsed)
        return *parsed;
    rejectField(key, locationOf(*find(key)->value), std::string(AddressRule));
    return {};
}

std::vector<LocatedText> YamlReader::texts(std::string_view key, Presence presence)
{
    std::vector<LocatedText> result;
    const auto items = sequence(key, presence);
    if (!items)
        return result;
    for (const YamlNode& item : items->items) {
        if (item.kind == YamlNode::Kind::Scalar)
            result.push_back({.text = item.scalar, .location = locationOf(item)});
        else
            rejectField(key, locationOf(item), "must be a list of single values");
    }
    return result;
}

std::optional<YamlReader> YamlReader::mapping(std::string_view key, Presence presence)
{
    const auto node = value(key, presence);
    if (!node)
        return std::nullopt;
    if (node->kind == YamlNode::Kind::Mapping)
        return YamlReader(*context_, *node, pathOf(key), entry_);
    rejectField(key, locationOf(*node), "must be a mapping");
    return std::nullopt;
}

std::vector<YamlReader> YamlReader::mappings(std::string_view key, Presence presence)
{
    std::vector<YamlReader> result;
    const auto items = sequence(key, presence);
    if (!items)
        return result;
    for (const YamlNode& item : items->items) {
        const Location itemLocation = locationOf(item);
        if (item.kind == YamlNode::Kind::Mapping)
            result.push_back(YamlReader(*context_, item, pathOf(key), itemLocation));
        else
            rejectField(key, itemLocation, "must be a list of mappings");
    }
    return result;
}

void YamlReader::reportUnknownKeys()
{
    for (const Field& field : fields_) {
        if (!field.isRead)
            context_->add(field.keyLocation, pathOf(field.key), "is not a known key");
    }
}

} // namespace saltvane::settings
