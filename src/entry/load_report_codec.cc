// Encodes load messages as one flat CBOR array of unsigned numbers: a header,
// the services, then the targets. A target is its cookie, a mask and the
// figures that the mask names, since most figures of most targets are 0.
#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <span>
#include <utility>

#include "rosemaryreach/load_report.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

constexpr std::uint64_t kFormat = 1;
constexpr std::size_t kHeaderNumbers = 12;
constexpr std::size_t kServiceNumbers = 5;
constexpr std::uint64_t kMaxParts = 16;
// Sums are those of 1,000 reports at most.
constexpr std::uint64_t kMaxReports = 1'000;
constexpr std::uint64_t kMaxMillis = 60'000;

// Members in the order of the mask's bits. Masks below 24 take one byte, so the
// figures that are rarely set come last.
constexpr std::array<std::uint32_t target_figures::*, 7> kFigures = {
    &target_figures::running,     &target_figures::open,
    &target_figures::answers,     &target_figures::response_ms,
    &target_figures::opening,     &target_figures::unanswered,
    &target_figures::other_centre};

std::uint32_t MaskOf(const target_figures& figures) {
  std::uint32_t mask = 0;
  for (std::size_t i = 0; i < kFigures.size(); ++i) {
    mask |= figures.*kFigures[i] != 0 ? 1U << i : 0U;
  }
  return mask;
}

// Bytes of an unsigned number in CBOR.
std::size_t NumberSize(std::uint64_t number) {
  constexpr std::uint64_t kMaxInline = 23;
  if (number <= kMaxInline) {
    return 1;
  }
  if (number <= std::numeric_limits<std::uint8_t>::max()) {
    return 2;
  }
  if (number <= std::numeric_limits<std::uint16_t>::max()) {
    return 3;
  }
  return number <= std::numeric_limits<std::uint32_t>::max() ? 5 : 9;
}

// Collects the numbers of a flat array and rejects any other document.
class number_collector : public json::json_sax_t {
 public:
  std::span<const std::uint64_t> numbers() const { return numbers_; }

  bool number_unsigned(number_unsigned_t value) override {
    if (!in_array_) {
      return false;
    }
    numbers_.push_back(value);
    return true;
  }
  bool start_array(std::size_t /*elements*/) override {
    return !std::exchange(in_array_, true);
  }
  bool end_array() override { return true; }
  bool null() override { return false; }
  bool boolean(bool /*value*/) override { return false; }
  bool number_integer(number_integer_t /*value*/) override { return false; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return false;
  }
  bool string(string_t& /*value*/) override { return false; }
  bool binary(binary_t& /*value*/) override { return false; }
  bool start_object(std::size_t /*elements*/) override { return false; }
  bool key(string_t& /*value*/) override { return false; }
  bool end_object() override { return false; }
  bool parse_error(std::size_t /*position*/,
                   const std::string& /*token*/,
                   const json::exception& /*error*/) override {
    return false;
  }

 private:
  std::vector<std::uint64_t> numbers_;
  bool in_array_ = false;
};

// Takes numbers in order and remembers whether one was missing or too large.
class number_reader {
 public:
  explicit number_reader(std::span<const std::uint64_t> numbers)
      : numbers_(numbers) {}

  std::uint64_t Take(std::uint64_t highest) {
    if (at_ >= numbers_.size() || numbers_[at_] > highest) {
      valid_ = false;
      return 0;
    }
    return numbers_[at_++];
  }
  std::uint32_t Take32(
      std::uint64_t highest = std::numeric_limits<std::uint32_t>::max()) {
    return static_cast<std::uint32_t>(Take(highest));
  }
  duration TakeMillis() { return std::chrono::milliseconds(Take(kMaxMillis)); }

  bool valid() const { return valid_; }
  void Reject() { valid_ = false; }
  bool more() const { return valid_ && at_ < numbers_.size(); }

 private:
  std::span<const std::uint64_t> numbers_;
  std::size_t at_ = 0;
  bool valid_ = true;
};

std::uint64_t HighestFor(load_message_kind kind, std::uint64_t reported) {
  return kind == load_message_kind::kReport ? reported : reported * kMaxReports;
}

std::uint32_t ReadHeader(number_reader& reader, load_message& message) {
  if (reader.Take(kFormat) != kFormat) {
    reader.Reject();
  }
  message.kind = static_cast<load_message_kind>(
      reader.Take(static_cast<std::uint64_t>(load_message_kind::kCoarse)));
  message.address = reader.Take32();
  message.incarnation = reader.Take(std::numeric_limits<std::uint64_t>::max());
  message.sequence = reader.Take32();
  message.part = reader.Take32(kMaxParts - 1);
  message.parts = reader.Take32(kMaxParts);
  message.lacks_sums = reader.Take(1) != 0;
  message.age = reader.TakeMillis();
  message.other_centre_age = reader.TakeMillis();
  message.period = reader.TakeMillis();
  if (message.part >= message.parts || message.address == 0) {
    reader.Reject();
  }
  return reader.Take32(kMaxLoadMessageBytes);
}

service_figures ReadService(number_reader& reader, load_message_kind kind) {
  const std::uint64_t highest = HighestFor(kind, kMaxReportedCount);
  service_figures read;
  read.service = reader.Take32();
  read.data_centre = reader.Take32();
  read.offered = reader.Take32(highest);
  read.instances = reader.Take32(highest);
  read.in_flight = reader.Take32(highest);
  return read;
}

target_figures ReadTarget(number_reader& reader, load_message_kind kind) {
  target_figures read;
  read.cookie = reader.Take32();
  const std::uint32_t mask = reader.Take32((1U << kFigures.size()) - 1);
  for (std::size_t i = 0; i < kFigures.size(); ++i) {
    if ((mask >> i & 1U) != 0) {
      const bool is_time = kFigures[i] == &target_figures::response_ms;
      read.*kFigures[i] = reader.Take32(
          HighestFor(kind, is_time ? kMaxReportedMillis : kMaxReportedCount));
    }
  }
  return read;
}

std::optional<load_message> ReadMessage(
    std::span<const std::uint64_t> numbers) {
  number_reader reader(numbers);
  load_message message;
  const std::uint32_t services = ReadHeader(reader, message);
  for (std::uint32_t i = 0; i < services && reader.valid(); ++i) {
    message.services.push_back(ReadService(reader, message.kind));
  }
  std::uint32_t last_cookie = 0;
  while (reader.more()) {
    const target_figures read = ReadTarget(reader, message.kind);
    if (read.cookie <= last_cookie) {
      return std::nullopt;
    }
    last_cookie = read.cookie;
    message.targets.push_back(read);
  }
  return reader.valid() ? std::optional<load_message>(std::move(message))
                        : std::nullopt;
}

}  // namespace

std::uint32_t ServiceHash(std::string_view service) {
  return static_cast<std::uint32_t>(HashBytes(service));
}

std::size_t EncodedSize(const target_figures& figures) {
  std::size_t bytes = NumberSize(figures.cookie) + NumberSize(MaskOf(figures));
  for (std::uint32_t target_figures::*const figure : kFigures) {
    bytes += figures.*figure != 0 ? NumberSize(figures.*figure) : 0;
  }
  return bytes;
}

std::size_t EncodedSize(const service_figures& figures) {
  return NumberSize(figures.service) + NumberSize(figures.data_centre) +
         NumberSize(figures.offered) + NumberSize(figures.instances) +
         NumberSize(figures.in_flight);
}

std::string EncodeLoadMessage(const load_message& message) {
  json::array_t numbers;
  numbers.reserve(kHeaderNumbers + message.services.size() * kServiceNumbers +
                  message.targets.size() * (kFigures.size() + 2));
  const auto add = [&numbers](std::uint64_t number) {
    numbers.emplace_back(number);
  };
  const auto add_millis = [&add](duration value) {
    add(std::clamp<std::uint64_t>(ToMillis(value), 0, kMaxMillis));
  };
  add(kFormat);
  add(static_cast<std::uint64_t>(message.kind));
  add(message.address);
  add(message.incarnation);
  add(message.sequence);
  add(message.part);
  add(message.parts);
  add(message.lacks_sums ? 1 : 0);
  add_millis(message.age);
  add_millis(message.other_centre_age);
  add_millis(message.period);
  add(message.services.size());
  for (const service_figures& one : message.services) {
    add(one.service);
    add(one.data_centre);
    add(one.offered);
    add(one.instances);
    add(one.in_flight);
  }
  for (const target_figures& one : message.targets) {
    add(one.cookie);
    add(MaskOf(one));
    for (std::uint32_t target_figures::*const figure : kFigures) {
      if (one.*figure != 0) {
        add(one.*figure);
      }
    }
  }
  std::string bytes;
  json::to_cbor(json(std::move(numbers)), bytes);
  return bytes;
}

std::optional<load_message> DecodeLoadMessage(std::string_view bytes) {
  if (bytes.size() > kMaxLoadMessageBytes) {
    return std::nullopt;
  }
  number_collector collected;
  try {
    if (!json::sax_parse(bytes, &collected, json::input_format_t::cbor)) {
      return std::nullopt;
    }
  } catch (const std::exception&) {
    // The caller counts invalid datagrams.
    return std::nullopt;
  }
  return ReadMessage(collected.numbers());
}

}  // namespace rosemaryreach
