// What an instance passes on to its peers of the store, as bytes.
#ifndef ROSEMARYREACH_VIEW_CODEC_H_
#define ROSEMARYREACH_VIEW_CODEC_H_

#include <string>
#include <string_view>

#include "rosemaryreach/entry_types.h"
#include "rosemaryreach/result.h"

namespace rosemaryreach {

std::string EncodeView(const store_answer& answer);

// Reads what EncodeView() wrote; kUnsupported for anything else.
result<store_answer> DecodeView(std::string_view bytes);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_VIEW_CODEC_H_
