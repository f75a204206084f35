#ifndef CARDAMOMROUTE_VIEW_VIEW_CODEC_H_
#define CARDAMOMROUTE_VIEW_VIEW_CODEC_H_

#include "base/result.h"
#include "inner/view.pb.h"
#include "view/view.h"
#include "view/view_change.h"

namespace cardamomroute {

/// What leads from `from` to `to`. With a default `from` (version 0) it is
/// the whole of `to`. Costs one pass over both views.
inner::view_delta MakeDelta(const view& from, const view& to);

/// Checks a delta and gives it in the form that the cores take. Fails with
/// kMalformedMessage: addresses that cannot be read, unknown enumerators,
/// ids that are 0 or not strictly rising, versions that do not rise, lost zones
/// outside of the versions or in a whole view.
result<view_change> DecodeDelta(const inner::view_delta& delta);

/// One kind of call. Fails with kMalformedMessage for an unknown class.
result<call_kind> DecodeCall(const inner::call_record& record);

/// Applies `change` in place. A change from version 0 replaces the whole
/// view. Leaves `current` as it was and fails with kStaleView when the change
/// starts from another version, or would lead to an older one.
result<void> ApplyChange(view* current, view_change change);

/// Both of the above on a copy.
result<view> ApplyDelta(const view& base, const inner::view_delta& delta);

/// Fills `since_version`, `epoch` and `previous_epoch` of `after` from what
/// differs from `before`. The control state calls it for each version, in
/// order, so that all nodes know which change followed which.
void StampChanges(const view& before, view* after);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_VIEW_VIEW_CODEC_H_
